//! The published values that a host of the mesh holds, ordered by revision and identified by
//! digest.

use crate::{TreeChecker, TreeRejection, store::ChangeHistory};
use kws_protocol::{FleetSettings, MeshMessage, PublishedValues, TreeRevision, ValuesDelta};
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
    Rejected(TreeRejection),
}

struct ActiveValues {
    values: PublishedValues,
    digest: u64,
    settings: Arc<FleetSettings>,
}

/// A change computed for a host that requested it.
#[derive(Clone)]
struct CachedChange {
    /// The digest of the values that the host holds.
    since: u64,
    /// The digest of the values after the change.
    digest: u64,
    /// The digest of the values that the change applies to; 0 for a full copy.
    base: u64,
    values: Arc<ValuesDelta>,
}

/// The active values, and the history from which changes for other hosts are computed.
pub(crate) struct MeshValues {
    checker: Box<dyn TreeChecker>,
    active: Option<ActiveValues>,
    rejected: Option<(TreeRevision, u64)>,
    history: ChangeHistory<u64>,
    /// The change computed last, cached because many hosts request the same one.
    cached_change: Option<CachedChange>,
}

impl MeshValues {
    /// Starts without values.
    pub(crate) fn new(checker: Box<dyn TreeChecker>) -> Self {
        Self {
            checker,
            active: None,
            rejected: None,
            history: ChangeHistory::default(),
            cached_change: None,
        }
    }

    /// The active settings.
    pub(crate) fn settings(&self) -> Option<&Arc<FleetSettings>> {
        self.active.as_ref().map(|active| &active.settings)
    }

    /// The highest revision at which the active values are known to be current; 0 for none.
    pub(crate) fn revision(&self) -> TreeRevision {
        let active = self.active.as_ref();
        active.map_or(TreeRevision::default(), |active| active.values.revision)
    }

    /// The digest of the active values; 0 for none.
    pub(crate) fn digest(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.digest)
    }

    /// Whether values with `digest` at `revision` are newer than the active ones and not the ones
    /// rejected last.
    pub(crate) fn accepts(&self, revision: TreeRevision, digest: u64) -> bool {
        let rejected = self
            .rejected
            .is_some_and(|(_, rejected)| rejected == digest);
        revision > self.revision() && digest != self.digest() && !rejected
    }

    /// Whether `values` lacks a key of the active values.
    pub(crate) fn loses_keys(&self, values: &PublishedValues) -> bool {
        let active = self.active.as_ref();
        let mut keys = active
            .into_iter()
            .flat_map(|active| active.values.values.keys());
        keys.any(|key| !values.values.contains_key(key))
    }

    /// Raises the revision of the active values, which were seen unchanged at `revision`.
    pub(crate) fn raise_revision(&mut self, revision: TreeRevision) {
        if let Some(active) = &mut self.active {
            active.values.revision = active.values.revision.max(revision);
        }
    }

    /// Checks a full copy of the values and adopts it if it is newer and valid.
    pub(crate) fn offer(&mut self, values: PublishedValues) -> ValuesOutcome {
        let digest = values.digest();
        if self.active.is_some() && digest == self.digest() {
            self.raise_revision(values.revision);
            return ValuesOutcome::Equal;
        }
        if !self.accepts(values.revision, digest) {
            return ValuesOutcome::Older;
        }
        match self.checker.check(&values) {
            Ok(tree) => {
                self.adopt(values, digest, tree.settings);
                ValuesOutcome::Adopted
            }
            Err(rejection) => {
                self.rejected = Some((values.revision, digest));
                ValuesOutcome::Rejected(rejection)
            }
        }
    }

    fn adopt(&mut self, values: PublishedValues, digest: u64, settings: Arc<FleetSettings>) {
        if let Some(active) = &self.active {
            self.history.record(active.digest, &active.values, &values);
        }
        self.active = Some(ActiveValues {
            values,
            digest,
            settings,
        });
    }

    /// Applies a [`MeshMessage::Delta`] and offers the result; ignores other messages.
    pub(crate) fn apply(&mut self, change: MeshMessage) -> ValuesOutcome {
        let MeshMessage::Delta {
            base,
            revision,
            digest,
            values: changed,
        } = change
        else {
            return ValuesOutcome::Older;
        };
        if digest == self.digest() {
            self.raise_revision(revision);
            return ValuesOutcome::Equal;
        }
        if !self.accepts(revision, digest) {
            return ValuesOutcome::Older;
        }
        let mut values = match &self.active {
            _ if base == 0 => BTreeMap::new(),
            Some(active) if active.digest == base => active.values.values.clone(),
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
        let active = self
            .active
            .as_ref()
            .filter(|active| active.digest != since)?;
        let last = self.cached_change.take();
        let fits = |cached: &CachedChange| cached.since == since && cached.digest == active.digest;
        let change = last
            .filter(fits)
            .unwrap_or_else(|| self.compute_change(active, since));
        self.cached_change = Some(change.clone());
        Some(MeshMessage::Delta {
            base: change.base,
            revision: active.values.revision,
            digest: active.digest,
            values: change.values,
        })
    }

    /// Computes the change from the values with digest `since`.
    fn compute_change(&self, active: &ActiveValues, since: u64) -> CachedChange {
        let changed = self.history.changed_since(&since);
        let base = if changed.is_some() { since } else { 0 };
        let keys = changed.unwrap_or_else(|| active.values.values.keys().cloned().collect());
        let (mut set, mut removed) = (Vec::new(), Vec::new());
        for key in keys {
            match active.values.values.get(&key) {
                Some(value) => set.push((key, Arc::clone(value))),
                None => removed.push(key),
            }
        }
        CachedChange {
            since,
            digest: active.digest,
            base,
            values: Arc::new(ValuesDelta::new(set, removed)),
        }
    }

    /// The digest of the values that were active before the current ones; 0 for none.
    pub(crate) fn previous_digest(&self) -> u64 {
        self.history.last_base().copied().unwrap_or_default()
    }
}
