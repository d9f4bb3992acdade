//! What decides on one host, behind one interface, so that other rules can be tried.

use kws_limits::{AdmitDecision, LedgerAction, LimitsLedger};
use kws_protocol::{FleetSnapshot, HostName, LoanMessage, TeamName, TreeRevision};
use std::sync::Arc;
use tokio::time::Instant;

/// A rule that decides on one host.
pub trait LimitRule: Send {
    /// Takes a revision into use.
    fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant);
    /// Sets the validity of the lease.
    fn set_current(&mut self, _until: Instant, _now: Instant) {}
    /// A peer holds a revision.
    fn peer_revision(&mut self, _peer: &HostName, _revision: TreeRevision, _now: Instant) {}
    /// Decides on one request.
    fn admit(&mut self, team: &TeamName, now: Instant) -> AdmitDecision;
    /// Takes a message.
    fn receive(&mut self, _from: &HostName, _message: &LoanMessage, _now: Instant) {}
    /// Lets time pass.
    fn tick(&mut self, _now: Instant) {}
    /// What must be done.
    fn take_actions(&mut self) -> Vec<LedgerAction> {
        Vec::new()
    }
}

impl LimitRule for LimitsLedger {
    fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) {
        Self::adopt(self, snapshot, now);
    }

    fn set_current(&mut self, until: Instant, now: Instant) {
        Self::set_lease_end(self, until, now);
    }

    fn peer_revision(&mut self, peer: &HostName, revision: TreeRevision, now: Instant) {
        Self::record_peer_revision(self, peer, revision, now);
    }

    fn admit(&mut self, team: &TeamName, now: Instant) -> AdmitDecision {
        Self::admit(self, team, now)
    }

    fn receive(&mut self, from: &HostName, message: &LoanMessage, now: Instant) {
        Self::receive(self, from, message, now);
    }

    fn tick(&mut self, now: Instant) {
        Self::tick(self, now);
    }

    fn take_actions(&mut self) -> Vec<LedgerAction> {
        Self::take_actions(self)
    }
}
