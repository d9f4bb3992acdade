//! The published values that a host of the mesh holds, ordered by revision and identified by
//! digest.

use crate::{TreeChecker, TreeRejection, store::ChangeHistory};
use kws_protocol::{FleetSettings, MeshMessage, PublishedValues, TreeRevision, ValuesChange};
use std::{collections::BTreeMap, sync::Arc};

/// The result of offering values.
#[derive(Debug, PartialEq)]
pub(crate) enum ValuesOutcome {
    /// The values are now the active ones.
    Adopted,
    /// The same as the active values, whose revision may have been lower.
    Equal,
    /// Not newer than the active values, or rejected before.
    Older,
    /// The change does not apply to the active values.
    MissingBase,
    /// The check failed; the active values stay.
    Refused(TreeRejection),
}

struct HeldValues {
    values: PublishedValues,
    digest: u64,
    settings: FleetSettings,
}

/// A change computed for a host that requested it.
#[derive(Clone)]
struct MadeChange {
    /// The digest of the values that the host holds.
    since: u64,
    /// The digest of the values after the change.
    digest: u64,
    /// The digest of the values that the change applies to; 0 for a full copy.
    base: u64,
    values: Arc<ValuesChange>,
}

/// The active values, and the history from which changes for other hosts are computed.
pub(crate) struct MeshValues {
    checker: Box<dyn TreeChecker>,
    held: Option<HeldValues>,
    refused: Option<(TreeRevision, u64)>,
    history: ChangeHistory<u64>,
    /// The change computed last, cached because many hosts request the same one.
    last_change: Option<MadeChange>,
}

impl MeshValues {
    /// Starts without values.
    pub(crate) fn new(checker: Box<dyn TreeChecker>) -> Self {
        Self {
            checker,
            held: None,
            refused: None,
            history: ChangeHistory::default(),
            last_change: None,
        }
    }

    /// The active settings.
    pub(crate) fn settings(&self) -> Option<&FleetSettings> {
        self.held.as_ref().map(|held| &held.settings)
    }

    /// The highest revision at which the active values are known to be current; 0 for none.
    pub(crate) fn revision(&self) -> TreeRevision {
        let held = self.held.as_ref();
        held.map_or(TreeRevision::default(), |held| held.values.revision)
    }

    /// The digest of the active values; 0 for none.
    pub(crate) fn digest(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.digest)
    }

    /// Whether values with `digest` at `revision` are newer than the active ones and not the ones
    /// rejected last.
    pub(crate) fn lacks(&self, revision: TreeRevision, digest: u64) -> bool {
        let refused = self.refused.is_some_and(|(_, refused)| refused == digest);
        revision > self.revision() && digest != self.digest() && !refused
    }

    /// Whether `values` lacks a key of the active values.
    pub(crate) fn loses_keys(&self, values: &PublishedValues) -> bool {
        let held = self.held.as_ref();
        let mut keys = held.into_iter().flat_map(|held| held.values.values.keys());
        keys.any(|key| !values.values.contains_key(key))
    }

    /// Raises the revision of the active values, which were seen unchanged at `revision`.
    pub(crate) fn raise(&mut self, revision: TreeRevision) {
        if let Some(held) = &mut self.held {
            held.values.revision = held.values.revision.max(revision);
        }
    }

    /// Checks a full copy of the values and adopts it if it is newer and valid.
    pub(crate) fn offer(&mut self, values: PublishedValues) -> ValuesOutcome {
        let digest = values.digest();
        if self.held.is_some() && digest == self.digest() {
            self.raise(values.revision);
            return ValuesOutcome::Equal;
        }
        if !self.lacks(values.revision, digest) {
            return ValuesOutcome::Older;
        }
        match self.checker.check(&values) {
            Ok(tree) => {
                self.adopt(values, digest, tree.settings);
                ValuesOutcome::Adopted
            }
            Err(rejection) => {
                self.refused = Some((values.revision, digest));
                ValuesOutcome::Refused(rejection)
            }
        }
    }

    fn adopt(&mut self, values: PublishedValues, digest: u64, settings: FleetSettings) {
        if let Some(held) = &self.held {
            self.history.record(held.digest, &held.values, &values);
        }
        self.held = Some(HeldValues {
            values,
            digest,
            settings,
        });
    }

    /// Applies a [`MeshMessage::Change`] and offers the result; ignores other messages.
    pub(crate) fn apply(&mut self, change: MeshMessage) -> ValuesOutcome {
        let MeshMessage::Change {
            base,
            revision,
            digest,
            values: changed,
        } = change
        else {
            return ValuesOutcome::Older;
        };
        if digest == self.digest() {
            self.raise(revision);
            return ValuesOutcome::Equal;
        }
        if !self.lacks(revision, digest) {
            return ValuesOutcome::Older;
        }
        let mut values = match &self.held {
            _ if base == 0 => BTreeMap::new(),
            Some(held) if held.digest == base => held.values.values.clone(),
            _ => return ValuesOutcome::MissingBase,
        };
        for key in &changed.removed {
            values.remove(key);
        }
        values.extend(changed.set.iter().cloned());
        let values = PublishedValues { revision, values };
        if values.digest() != digest {
            return ValuesOutcome::MissingBase;
        }
        self.offer(values)
    }

    /// The change from the values with digest `since`, or a full copy when the history does not
    /// reach back to them; none if no values are active or the active ones have this digest.
    pub(crate) fn change_since(&mut self, since: u64) -> Option<MeshMessage> {
        let held = self.held.as_ref().filter(|held| held.digest != since)?;
        let last = self.last_change.take();
        let fits = |made: &MadeChange| made.since == since && made.digest == held.digest;
        let change = last
            .filter(fits)
            .unwrap_or_else(|| self.make_change(held, since));
        self.last_change = Some(change.clone());
        Some(MeshMessage::Change {
            base: change.base,
            revision: held.values.revision,
            digest: held.digest,
            values: change.values,
        })
    }

    /// Computes the change from the values with digest `since`.
    fn make_change(&self, held: &HeldValues, since: u64) -> MadeChange {
        let changed = self.history.changed_since(&since);
        let base = if changed.is_some() { since } else { 0 };
        let keys = changed.unwrap_or_else(|| held.values.values.keys().cloned().collect());
        let (mut set, mut removed) = (Vec::new(), Vec::new());
        for key in keys {
            match held.values.values.get(&key) {
                Some(value) => set.push((key, Arc::clone(value))),
                None => removed.push(key),
            }
        }
        MadeChange {
            since,
            digest: held.digest,
            base,
            values: Arc::new(ValuesChange::new(set, removed)),
        }
    }

    /// The digest of the values that were active before the current ones; 0 for none.
    pub(crate) fn previous(&self) -> u64 {
        self.history.last_base().copied().unwrap_or_default()
    }
}
