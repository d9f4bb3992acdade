//! What a new tree changes, as effects rather than as lines of text.

use crate::{
    Finding,
    effective::{EffectiveField, FieldOwner, effective_fields},
    resolve::merge_checked,
    value::{FieldValue, short_digest},
};
use kws_protocol::{KeyDigest, PublishedValues};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// What happens to one thing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EffectChange {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// One of its fields has another value.
    Changed {
        /// The path of the field below the thing.
        field: String,
        /// The old value.
        old: String,
        /// The new value.
        new: String,
    },
    /// A key is accepted from now on.
    KeyIssued(String),
    /// A key is no longer accepted.
    KeyWithdrawn(String),
}

/// One effect of a new tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreeEffect {
    /// What it happens to, such as `team shop`.
    pub subject: String,
    /// The path of the thing, such as `teams.shop`.
    pub path: String,
    /// What happens.
    pub change: EffectChange,
}

impl fmt::Display for TreeEffect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.subject)?;
        match &self.change {
            EffectChange::Added => formatter.write_str("added"),
            EffectChange::Removed => formatter.write_str("removed"),
            EffectChange::Changed { field, old, new } => {
                write!(formatter, "{field} {old} -> {new}")
            }
            EffectChange::KeyIssued(digest) => write!(formatter, "key {digest} issued"),
            EffectChange::KeyWithdrawn(digest) => write!(formatter, "key {digest} withdrawn"),
        }
    }
}

/// The fields of one thing by name.
type OwnedFields = BTreeMap<String, Option<FieldValue>>;

/// The effects of replacing `old` by `new`, in the order of the paths.
///
/// # Errors
/// The findings of the tree that is not accepted; those of `old` come first.
pub fn diff(old: &PublishedValues, new: &PublishedValues) -> Result<Vec<TreeEffect>, Vec<Finding>> {
    let old = by_owner(effective_fields(&merge_checked(old)?));
    let new = by_owner(effective_fields(&merge_checked(new)?));
    let owners: BTreeSet<&FieldOwner> = old.keys().chain(new.keys()).collect();
    let mut effects = Vec::new();
    for owner in owners {
        match (old.get(owner), new.get(owner)) {
            (Some(before), Some(after)) => add_changes(&mut effects, owner, before, after),
            (None, _) => effects.push(effect(owner, EffectChange::Added)),
            (_, None) => effects.push(effect(owner, EffectChange::Removed)),
        }
    }
    Ok(effects)
}

fn by_owner(fields: Vec<EffectiveField>) -> BTreeMap<FieldOwner, OwnedFields> {
    let mut owners: BTreeMap<FieldOwner, OwnedFields> = BTreeMap::new();
    for field in fields {
        let owned = owners.entry(field.owner).or_default();
        owned.insert(field.name, field.value);
    }
    owners
}

fn add_changes(
    effects: &mut Vec<TreeEffect>,
    owner: &FieldOwner,
    before: &OwnedFields,
    after: &OwnedFields,
) {
    for (field, new) in after {
        let old = before.get(field).unwrap_or(&None);
        if old == new {
            continue;
        }
        if let (Some(FieldValue::Digests(old)), Some(FieldValue::Digests(new))) = (old, new) {
            add_key_changes(effects, owner, old, new);
            continue;
        }
        let change = EffectChange::Changed {
            field: field.clone(),
            old: describe(old.as_ref()),
            new: describe(new.as_ref()),
        };
        effects.push(effect(owner, change));
    }
}

fn add_key_changes(
    effects: &mut Vec<TreeEffect>,
    owner: &FieldOwner,
    old: &BTreeSet<KeyDigest>,
    new: &BTreeSet<KeyDigest>,
) {
    let withdrawn = old
        .difference(new)
        .map(short_digest)
        .map(EffectChange::KeyWithdrawn);
    let issued = new
        .difference(old)
        .map(short_digest)
        .map(EffectChange::KeyIssued);
    effects.extend(withdrawn.chain(issued).map(|change| effect(owner, change)));
}

fn effect(owner: &FieldOwner, change: EffectChange) -> TreeEffect {
    TreeEffect {
        subject: format!("{} {}", owner.kind, owner.name)
            .trim_end()
            .to_owned(),
        path: owner.path.clone(),
        change,
    }
}

fn describe(value: Option<&FieldValue>) -> String {
    value.map_or_else(|| "absent".to_owned(), ToString::to_string)
}
