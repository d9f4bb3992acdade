//! Which keys changed from one adopted revision to the next.

use kws_protocol::{PublishedValues, TreeRevision};
use std::collections::{BTreeSet, VecDeque};

/// Changes that are remembered; a host further behind gets a whole copy.
const MAX_CHANGES: usize = 64;

/// Keys remembered over all changes together.
const MAX_KEYS: usize = 4_096;

#[derive(Clone, Debug)]
struct ChangeRecord {
    base: TreeRevision,
    keys: BTreeSet<String>,
}

/// The latest changes, oldest first. Only keys are kept: a delta takes the values in force now.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeHistory {
    records: VecDeque<ChangeRecord>,
}

impl ChangeHistory {
    /// Remembers the step from `before` to `after`.
    pub(super) fn record(&mut self, before: &PublishedValues, after: &PublishedValues) {
        self.records.push_back(ChangeRecord {
            base: before.revision,
            keys: changed_keys(before, after),
        });
        while self.records.len() > MAX_CHANGES || self.key_count() > MAX_KEYS {
            self.records.pop_front();
        }
    }

    /// The revision before the latest change.
    pub(super) fn last_base(&self) -> Option<TreeRevision> {
        self.records.back().map(|record| record.base)
    }

    /// The keys that changed after `since`, when every step since then is remembered.
    pub(super) fn changed_since(&self, since: TreeRevision) -> Option<BTreeSet<String>> {
        let first = self
            .records
            .iter()
            .position(|record| record.base == since)?;
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
