//! The keys that changed between adopted states of the values.

use kws_protocol::PublishedValues;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// The maximum number of changes remembered; a host that is further behind gets a full copy.
const MAX_CHANGES: usize = 64;

/// The maximum number of keys remembered in all changes together.
const MAX_KEYS: usize = 4_096;

#[derive(Clone, Debug)]
struct ChangeRecord<B> {
    base: B,
    keys: BTreeSet<String>,
}

/// The latest changes, oldest first. Only keys are stored: a delta carries the values that are
/// active when it is computed. `B` identifies a state by its revision or by its digest.
#[derive(Clone, Debug)]
pub(crate) struct ChangeHistory<B> {
    records: VecDeque<ChangeRecord<B>>,
}

impl<B> Default for ChangeHistory<B> {
    fn default() -> Self {
        Self {
            records: VecDeque::new(),
        }
    }
}

impl<B: PartialEq> ChangeHistory<B> {
    /// Records the change from `before`, identified by `base`, to `after`.
    pub(crate) fn record(&mut self, base: B, before: &PublishedValues, after: &PublishedValues) {
        self.records.push_back(ChangeRecord {
            base,
            keys: changed_keys(&before.values, &after.values),
        });
        while self.records.len() > MAX_CHANGES || self.key_count() > MAX_KEYS {
            self.records.pop_front();
        }
    }

    /// The identifier of the state before the latest change.
    pub(crate) fn last_base(&self) -> Option<&B> {
        self.records.back().map(|record| &record.base)
    }

    /// The keys that changed after the state `since`; none if that state is not remembered.
    pub(crate) fn changed_since(&self, since: &B) -> Option<BTreeSet<String>> {
        let first = self
            .records
            .iter()
            .position(|record| &record.base == since)?;
        let records = self.records.iter().skip(first);
        Some(records.flat_map(|record| record.keys.clone()).collect())
    }

    fn key_count(&self) -> usize {
        self.records.iter().map(|record| record.keys.len()).sum()
    }
}

/// The keys whose values differ.
pub(crate) fn changed_keys(
    before: &BTreeMap<String, Arc<str>>,
    after: &BTreeMap<String, Arc<str>>,
) -> BTreeSet<String> {
    let keys = before.keys().chain(after.keys());
    keys.filter(|key| before.get(*key) != after.get(*key))
        .cloned()
        .collect()
}
