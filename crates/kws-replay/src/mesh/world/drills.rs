//! Returns of the store from older copies, and what they cost.

use super::{DrillCost, DrillStart, READ_COUNT_TIME, STEP, Scheduled, World};
use crate::mesh::{host::host_region, seconds};
use std::{collections::BTreeMap, time::Duration};

impl World {
    pub(super) fn lose_store(
        &mut self,
        away: Duration,
        copy_age: Duration,
        counts_from_return: bool,
    ) {
        if self.store.is_away() {
            return;
        }
        self.note(&format!(
            "the store goes away at revision {}",
            self.store.revision()
        ));
        self.store.go_away(self.now);
        for host in self.hosts.values_mut() {
            host.lose_store(&self.store, self.now + away, &mut self.rng);
        }
        let reads = self
            .hosts
            .values()
            .map(|host| (host.name.clone(), host.reads));
        let before = DrillStart {
            reads: reads.collect(),
            bytes_of: self.links.bytes_of.clone(),
            retained: self.links.retained,
            too_large: self.links.too_large,
        };
        self.schedule(READ_COUNT_TIME, Scheduled::CountCost { away, before });
        let back = Scheduled::Return {
            copy_age,
            counts_from_return,
        };
        if away.is_zero() {
            self.handle(back);
        } else {
            self.schedule(away, back);
        }
    }

    pub(super) fn restore_store(&mut self, copy_age: Duration, counts_from_return: bool) {
        let lost = self.store.restore(copy_age, counts_from_return, self.now);
        self.lost_count = lost.count;
        let silence = if counts_from_return { "return" } else { "copy" };
        self.note(&format!(
            "the store is back from a copy {} old, revision {} instead of {}, silence counts from the {silence}",
            seconds(lost.age),
            self.store.revision(),
            lost.count,
        ));
        self.backends.handle_return(&mut self.rng, self.now);
        self.operator
            .handle_return(&self.store, &mut self.rng, self.now);
        self.backends.record_held(&self.store, self.now);
    }

    pub(super) fn count_cost(&mut self, away: Duration, before: &DrillStart) {
        let (mut reads, mut readers) = (0, BTreeMap::new());
        for host in self.hosts.values() {
            let further = host.reads - before.reads.get(&host.name).copied().unwrap_or_default();
            reads += further;
            if further > 0 {
                *readers
                    .entry(host_region(host.number).to_owned())
                    .or_default() += 1;
            }
        }
        let bytes = |counts: usize| {
            let steps = counts * (READ_COUNT_TIME.as_millis() / STEP.as_millis()) as usize;
            let at = self.step_bytes.len().saturating_sub(steps + 1);
            self.step_bytes[at]
        };
        let sent = self.links.bytes_of.iter().map(|(name, sent)| {
            let former = before.bytes_of.get(name).copied();
            sent - former.unwrap_or_default()
        });
        self.drills.push(DrillCost {
            away,
            reads,
            bytes_before: bytes(1) - bytes(2),
            bytes: bytes(0) - bytes(1),
            busiest: sent.max().unwrap_or_default(),
            retained: self.links.retained.0 - before.retained.0,
            too_large: self.links.too_large - before.too_large,
            retained_bytes: self.links.retained.1 - before.retained.1,
            readers,
        });
    }
}
