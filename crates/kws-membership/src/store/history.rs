//! Which keys changed from one adopted revision to the next.

use kws_protocol::PublishedValues;
use std::collections::{BTreeSet, VecDeque};

/// Changes that are remembered; a host further behind gets a whole copy.
const MAX_CHANGES: usize = 64;

/// Keys remembered over all changes together.
const MAX_KEYS: usize = 4_096;

#[derive(Clone, Debug)]
struct ChangeRecord<B> {
    base: B,
    keys: BTreeSet<String>,
}

/// The latest changes, oldest first. Only keys are kept: a delta takes the values in force now.
/// `B` tells states apart: their revision, or their digest.
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
    /// Remembers the step from `before`, known as `base`, to `after`.
    pub(crate) fn record(&mut self, base: B, before: &PublishedValues, after: &PublishedValues) {
        self.records.push_back(ChangeRecord {
            base,
            keys: changed_keys(before, after),
        });
        while self.records.len() > MAX_CHANGES || self.key_count() > MAX_KEYS {
            self.records.pop_front();
        }
    }

    /// The state before the latest change.
    pub(crate) fn last_base(&self) -> Option<&B> {
        self.records.back().map(|record| &record.base)
    }

    /// The keys that changed after `since`, when every step since then is remembered.
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

fn changed_keys(before: &PublishedValues, after: &PublishedValues) -> BTreeSet<String> {
    let keys = before.values.keys().chain(after.values.keys());
    keys.filter(|key| before.values.get(*key) != after.values.get(*key))
        .cloned()
        .collect()
}
