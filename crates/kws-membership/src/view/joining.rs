//! Decides when a starting host has joined, and its readiness.

use super::FleetView;
use crate::{FleetAction, Readiness, UnreadyReason};
use tokio::time::Instant;

impl FleetView {
    pub(super) fn update_joined(&mut self, now: Instant) {
        let Some(deadline) = self.join_deadline else {
            return;
        };
        let asked = self.members.majority_replied() || now >= deadline;
        if asked && !self.is_behind(now) {
            self.joined = true;
        }
    }

    pub(super) fn update_readiness(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let readiness = self.compute_readiness(now);
        if readiness != self.readiness {
            self.readiness = readiness;
            actions.push(FleetAction::Readiness(readiness));
        }
    }

    fn compute_readiness(&self, now: Instant) -> Readiness {
        if self.store.snapshot().is_none() {
            return Readiness::Unready(UnreadyReason::NoTree);
        }
        if !self.joined {
            return Readiness::Unready(UnreadyReason::Joining);
        }
        if self.members.leaving() {
            return Readiness::Unready(UnreadyReason::Leaving);
        }
        if !self.is_current(now) {
            return Readiness::Unready(UnreadyReason::NotCurrent);
        }
        Readiness::Ready
    }
}
