//! Sends queries to peers and handles their queries and replies.

use super::{FleetView, ROUNDS_PER_LEASE, UNREACHABLE_DIVISOR};
use crate::{FleetAction, members::PeerReply};
use kws_protocol::{HostName, LeaseMessage, PeerMessage, RevisionView};
use tokio::time::Instant;

impl FleetView {
    pub(super) fn send_due_queries(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let unreachable = self.platform_unreachable(now);
        if now < self.next_round {
            return;
        }
        self.round += 1;
        self.next_round = now + self.terms.lease / ROUNDS_PER_LEASE;
        let mut targets = self.members.region_targets(self.round, unreachable);
        let cross = self
            .members
            .cross_region_targets(self.round, now, self.terms.lease);
        targets.extend(cross);
        let nonce = self.queries.open(now, self.terms.lease);
        let view = self.revision_view(now);
        for to in targets {
            self.members.record_query(&to, now);
            let message = PeerMessage::Lease(LeaseMessage::Query { nonce, view });
            actions.push(FleetAction::Send { to, message });
        }
    }

    pub(super) fn platform_unreachable(&self, now: Instant) -> bool {
        let needed = now + self.terms.lease / UNREACHABLE_DIVISOR;
        self.platform_failures > 0 || self.lease.platform_end().is_none_or(|end| end < needed)
    }

    pub(super) fn reply(&self, to: &HostName, nonce: u64, now: Instant) -> FleetAction {
        let old_enough = now.saturating_duration_since(self.started_at) >= self.terms.restart_wait;
        FleetAction::Send {
            to: to.clone(),
            message: PeerMessage::Lease(LeaseMessage::Reply {
                nonce,
                view: self.revision_view(now),
                voting: self.joined && old_enough,
            }),
        }
    }

    pub(super) fn receive_reply(
        &mut self,
        from: &HostName,
        nonce: u64,
        view: RevisionView,
        voting: bool,
        now: Instant,
    ) {
        self.record_view(from, view, now);
        let Some(sent) = self.queries.sent(nonce) else {
            self.counters.late_replies += 1;
            return;
        };
        let reply = PeerReply { sent, view, voting };
        self.members.record_reply(from, reply, now);
        // Only for a peer that is not behind does the reported age apply to the newest revision.
        if view.revision >= self.store.revision() && !self.store.lacks(view.revision) {
            let age = self.terms.enlarged(view.confirmed_age);
            if let Some(heard) = sent.checked_sub(age) {
                self.lease.record_platform_confirmation(heard);
            }
        }
    }

    pub(super) fn record_view(&mut self, from: &HostName, view: RevisionView, now: Instant) {
        if self.store.conflicts(view.revision, view.digest) {
            self.counters.conflicts += 1;
        }
        self.members.record_report(from, view.revision, now);
    }
}
