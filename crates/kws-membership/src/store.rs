//! Adoption of configuration revisions: only newer ones, and only if they are valid as a whole.

mod history;

use crate::{CheckedTree, TreeChecker, TreeRejection};
pub(crate) use history::{ChangeHistory, changed_keys};
use kws_protocol::{ConfigMessage, FleetSnapshot, MAX_FRAME_BYTES, PublishedValues, TreeRevision};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// The maximum number of rejected revisions that are remembered.
const MAX_REJECTED_REVISIONS: usize = 16;

/// The maximum size of the changed keys and values in one delta, in bytes. The rest of the frame is
/// left for its encoding.
const MAX_DELTA_BYTES: usize = MAX_FRAME_BYTES / 8 * 7;

/// The result of offering values.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    /// The values are valid and their snapshot is now the active one.
    Adopted(Arc<FleetSnapshot>),
    /// The revision is already known, as the active one or as rejected.
    Known,
    /// Older than the active revision.
    Older,
    /// The revision is known with a different digest; the values known first stay.
    Conflict,
    /// The check failed; the last valid snapshot stays active.
    Rejected(TreeRejection),
}

/// The result of applying a delta.
#[derive(Clone, Debug, PartialEq)]
pub enum DeltaOutcome {
    /// The resulting values were offered, or the revision of the delta is not needed.
    Offered(StoreOutcome),
    /// The base of the delta is not the active revision.
    MissingBase,
    /// The resulting values have a different digest than the delta states.
    BadDigest,
}

/// The fields of [`ConfigMessage::Delta`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreeDelta {
    /// The revision to which the change applies; 0 for a full copy.
    pub base: TreeRevision,
    /// The revision after the change.
    pub revision: TreeRevision,
    /// The digest after the change.
    pub digest: u64,
    /// Values set, with their keys.
    pub set: Vec<(String, Arc<str>)>,
    /// Keys removed.
    pub removed: Vec<String>,
}

/// The active snapshot with the values from which it was decoded.
struct ActiveTree {
    values: PublishedValues,
    digest: u64,
    snapshot: Arc<FleetSnapshot>,
}

/// The newest valid configuration, and the digests of newer revisions that were rejected.
pub struct ConfigStore {
    checker: Box<dyn TreeChecker>,
    active: Option<ActiveTree>,
    rejected: BTreeMap<TreeRevision, u64>,
    history: ChangeHistory<TreeRevision>,
}

impl ConfigStore {
    /// Creates an empty store.
    pub fn new(checker: Box<dyn TreeChecker>) -> Self {
        Self {
            checker,
            active: None,
            rejected: BTreeMap::new(),
            history: ChangeHistory::default(),
        }
    }

    /// The active snapshot.
    pub fn snapshot(&self) -> Option<&Arc<FleetSnapshot>> {
        self.active.as_ref().map(|active| &active.snapshot)
    }

    /// The active revision; 0 for none.
    pub fn revision(&self) -> TreeRevision {
        self.active
            .as_ref()
            .map_or(TreeRevision::default(), |active| active.values.revision)
    }

    /// The revision that was active before; 0 for none.
    pub fn previous_revision(&self) -> TreeRevision {
        self.history.last_base().copied().unwrap_or_default()
    }

    /// The digest of the active values; 0 for none.
    pub fn digest(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.digest)
    }

    /// The highest revision checked so far, active or rejected.
    pub fn newest_seen(&self) -> TreeRevision {
        let rejected = self
            .rejected
            .last_key_value()
            .map(|(revision, _)| *revision);
        self.revision().max(rejected.unwrap_or_default())
    }

    /// Whether `revision` is newer than the active one and has not been rejected.
    pub fn lacks(&self, revision: TreeRevision) -> bool {
        revision > self.revision() && !self.rejected.contains_key(&revision)
    }

    /// Whether `revision` is known with a digest other than `digest`.
    pub fn conflicts(&self, revision: TreeRevision, digest: u64) -> bool {
        self.known_digest(revision)
            .is_some_and(|known| known != digest)
    }

    /// Checks a full copy of the values and adopts it if it is newer and valid.
    pub fn offer(&mut self, values: PublishedValues) -> StoreOutcome {
        let digest = values.digest();
        if let Some(known) = self.known_digest(values.revision) {
            return if known == digest {
                StoreOutcome::Known
            } else {
                StoreOutcome::Conflict
            };
        }
        if values.revision <= self.revision() {
            return StoreOutcome::Older;
        }
        match self.checker.check(&values) {
            Ok(tree) => StoreOutcome::Adopted(self.adopt(values, digest, tree)),
            Err(rejection) => {
                self.reject(values.revision, digest);
                StoreOutcome::Rejected(rejection)
            }
        }
    }

    /// Applies a delta to the active values and offers the result.
    pub fn apply(&mut self, delta: &TreeDelta) -> DeltaOutcome {
        if !self.lacks(delta.revision) {
            return DeltaOutcome::Offered(StoreOutcome::Older);
        }
        let Some(mut values) = self.base_values(delta.base) else {
            return DeltaOutcome::MissingBase;
        };
        for key in &delta.removed {
            values.values.remove(key);
        }
        values.values.extend(delta.set.iter().cloned());
        values.revision = delta.revision;
        if values.digest() != delta.digest {
            return DeltaOutcome::BadDigest;
        }
        DeltaOutcome::Offered(self.offer(values))
    }

    /// The change from `since` to the active values, or a full copy if the history does not reach
    /// back that far. None if the active revision is not newer, or if the change does not fit into
    /// a frame.
    pub fn delta_since(&self, since: TreeRevision) -> Option<ConfigMessage> {
        let active = self.active.as_ref()?;
        if since >= active.values.revision {
            return None;
        }
        let changed = self.history.changed_since(&since);
        let base = if changed.is_some() {
            since
        } else {
            TreeRevision::default()
        };
        let keys = changed.unwrap_or_else(|| active.values.values.keys().cloned().collect());
        (active.size_bytes(&keys) <= MAX_DELTA_BYTES).then(|| active.delta(base, keys))
    }

    fn known_digest(&self, revision: TreeRevision) -> Option<u64> {
        let active = self.active.as_ref();
        active
            .filter(|active| active.values.revision == revision)
            .map(|active| active.digest)
            .or_else(|| self.rejected.get(&revision).copied())
    }

    fn base_values(&self, base: TreeRevision) -> Option<PublishedValues> {
        if base == TreeRevision::default() {
            return Some(PublishedValues::default());
        }
        let active = self.active.as_ref()?;
        (active.values.revision == base).then(|| active.values.clone())
    }

    fn adopt(
        &mut self,
        values: PublishedValues,
        digest: u64,
        tree: CheckedTree,
    ) -> Arc<FleetSnapshot> {
        if let Some(active) = &self.active {
            self.history
                .record(active.values.revision, &active.values, &values);
        }
        let snapshot = Arc::new(FleetSnapshot {
            revision: values.revision,
            settings: tree.settings,
            hosts: tree.hosts,
        });
        self.active = Some(ActiveTree {
            values,
            digest,
            snapshot: Arc::clone(&snapshot),
        });
        snapshot
    }

    fn reject(&mut self, revision: TreeRevision, digest: u64) {
        self.rejected.insert(revision, digest);
        if self.rejected.len() > MAX_REJECTED_REVISIONS {
            self.rejected.pop_first();
        }
    }
}

impl ActiveTree {
    /// The total size of the given keys and their values, in bytes.
    fn size_bytes(&self, keys: &BTreeSet<String>) -> usize {
        let sizes = keys.iter().map(|key| {
            let value = self.values.values.get(key);
            key.len() + value.map_or(0, |value| value.len())
        });
        sizes.sum()
    }

    fn delta(&self, base: TreeRevision, keys: BTreeSet<String>) -> ConfigMessage {
        let mut set = Vec::new();
        let mut removed = Vec::new();
        for key in keys {
            match self.values.values.get(&key) {
                Some(value) => set.push((key, Arc::clone(value))),
                None => removed.push(key),
            }
        }
        ConfigMessage::Delta {
            base,
            revision: self.values.revision,
            digest: self.digest,
            set,
            removed,
        }
    }
}
