//! What a host passes on of the values in force: to its own tasks, to other hosts and to the log.

use super::MeshView;
use crate::FleetAction;
use kws_protocol::FleetSnapshot;
use std::sync::Arc;
use tokio::time::Instant;

impl MeshView {
    /// Publishes a snapshot of the active settings and the current members.
    pub(super) fn publish(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(settings) = self.values.settings().cloned() else {
            return;
        };
        let hosts = self.host_list(now);
        let snapshot = FleetSnapshot {
            revision: self.values.revision(),
            settings,
            hosts,
        };
        actions.push(FleetAction::Publish(Arc::new(snapshot)));
    }

    /// Sends the change just adopted from the platform to the region's live hosts.
    pub(super) fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(change) = self.values.last_change(now) else {
            return;
        };
        let own = self.table.own();
        for member in self.table.live(now) {
            if member.region == own.region {
                self.counters.pushes += 1;
                actions.push(Self::send(&member.name, change.clone()));
            }
        }
    }

    /// Reports that the platform has come back from an older copy of its data.
    pub(super) fn report_era_change(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(change) = self.values.take_era_change() else {
            return;
        };
        let is_published = actions
            .iter()
            .any(|action| matches!(action, FleetAction::Publish(_)));
        if !is_published {
            self.publish(now, actions);
        }
        self.counters.era_changes += 1;
        log::warn!(
            era = change.to.era(),
            revision = change.to.count(),
            former_era = change.from.era(),
            former_revision = change.from.count(),
            newer = change.retained.newer,
            missing = change.retained.missing,
            left = change.retained.left,
            unconfirmed = change.retained.unconfirmed;
            "platform came back from an older copy"
        );
    }
}
