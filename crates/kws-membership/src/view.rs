//! The state machine for freshness, membership and configuration of a host whose platform lists the
//! hosts.

mod joining;
mod propagation;
mod queries;

use crate::{
    ConfigStore, FleetAction, FleetCounters, FleetMembers, FreshnessLease, HostIdentity,
    LeaseTerms, Readiness, StoreOutcome, TreeChecker, UnreadyReason, queries::QueryRounds,
};
use kws_protocol::{
    FleetSnapshot, HostList, HostName, LeaseMessage, PeerMessage, PublishedValues, RevisionView,
    TreeRevision,
};
use propagation::PropagationState;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// The lease divided by this is the interval between rounds of queries and the wait time of the
/// platform watch.
const ROUNDS_PER_LEASE: u32 = 3;

/// The platform counts as unreachable when less than the lease divided by this remains of the
/// platform's part of the lease.
const UNREACHABLE_DIVISOR: u32 = 4;

/// The lease divided by this is the interval between calls of [`FleetView::tick`].
const TICKS_PER_LEASE: u32 = 12;

/// A platform watch counts as failed when its answer is late by the lease divided by this.
const WATCH_GRACE_DIVISOR: u32 = 12;

/// The platform's latest answer.
#[derive(Clone, Copy, Debug)]
struct PlatformAnswer {
    revision: TreeRevision,
    sent: Instant,
}

/// The state machine of one host. Each event takes `now` and returns the actions to carry out, in
/// order.
pub struct FleetView {
    store: ConfigStore,
    members: FleetMembers,
    lease: FreshnessLease,
    terms: LeaseTerms,
    queries: QueryRounds,
    propagation: PropagationState,
    counters: FleetCounters,
    platform_answer: Option<PlatformAnswer>,
    platform_failures: u32,
    started_at: Instant,
    round: u64,
    next_round: Instant,
    join_deadline: Option<Instant>,
    joined: bool,
    readiness: Readiness,
}

impl FleetView {
    /// Starts without a snapshot. `seed` must differ between hosts and between starts of the same
    /// host.
    pub fn new(
        identity: HostIdentity,
        checker: Box<dyn TreeChecker>,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            store: ConfigStore::new(checker),
            members: FleetMembers::new(identity),
            lease: FreshnessLease::default(),
            terms: LeaseTerms::default(),
            queries: QueryRounds::new(seed),
            propagation: PropagationState::default(),
            counters: FleetCounters::default(),
            platform_answer: None,
            platform_failures: 0,
            started_at: now,
            round: 0,
            next_round: now,
            join_deadline: None,
            joined: false,
            readiness: Readiness::Unready(UnreadyReason::NoTree),
        }
    }

    /// Adds a peer from this host's own settings. Seeds are asked until the first host list is
    /// adopted.
    pub fn add_seed(&mut self, name: HostName) {
        self.members.add_seed(name);
    }

    /// Whether this host may act on the snapshot. Call it at the time of each decision, with a
    /// clock reading taken for that decision.
    pub fn is_current(&self, now: Instant) -> bool {
        self.joined && self.lease.is_current(now)
    }

    /// The end of the lease, for threads that decide on requests; none while the host has not
    /// joined. It must be read again after each event: it moves forward when the lease is renewed,
    /// and back when new settings shorten the lease.
    pub fn lease_end(&self) -> Option<Instant> {
        self.lease.end().filter(|_| self.joined)
    }

    /// The readiness as of the last event.
    pub fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// The active snapshot.
    pub fn snapshot(&self) -> Option<&Arc<FleetSnapshot>> {
        self.store.snapshot()
    }

    /// The counters since the start of the daemon.
    pub fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// The other hosts and their states.
    pub fn members(&self) -> &FleetMembers {
        &self.members
    }

    /// The lease terms in effect.
    pub fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// The revision and the confirmed age that this host reports to peers.
    pub fn revision_view(&self, now: Instant) -> RevisionView {
        RevisionView {
            revision: self.store.revision(),
            digest: self.store.digest(),
            confirmed_age: self.lease.confirmed_age(now, &self.terms),
        }
    }

    /// How long the platform may delay its answer to a watch while nothing changes: short enough
    /// that an unchanged answer renews the lease in time, and that one lost answer does not end it.
    pub fn watch_wait(&self) -> Duration {
        self.terms.lease / ROUNDS_PER_LEASE
    }

    /// How long after [`Self::watch_wait`] an answer may still arrive before the watch counts as
    /// failed.
    pub fn watch_grace(&self) -> Duration {
        self.terms.lease / WATCH_GRACE_DIVISOR
    }

    /// The interval between calls of [`Self::tick`].
    pub fn tick_interval(&self) -> Duration {
        self.terms.lease / TICKS_PER_LEASE
    }

    /// The pause before the next call to the platform: none after an answer; after failures it
    /// doubles up to [`Self::watch_wait`], so that a platform that is down gets no more calls than
    /// one that is up. A call after a failure must ask for an immediate answer, without a wait
    /// time.
    pub fn retry_pause(&self) -> Duration {
        let Some(doublings) = self.platform_failures.checked_sub(1) else {
            return Duration::ZERO;
        };
        let longest = self.watch_wait();
        let factor = 2_u32.saturating_pow(doublings);
        self.watch_grace().saturating_mul(factor).min(longest)
    }

    /// The platform answered a read sent at `sent` with a full copy of the values.
    pub fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let revision = values.revision;
        self.platform_failures = 0;
        let outcome = self.store.offer(values);
        let conflict = outcome == StoreOutcome::Conflict;
        self.apply_outcome(outcome, now, &mut actions);
        if !conflict {
            self.record_platform_answer(revision, sent);
        }
        self.drive(now, actions)
    }

    /// A watch sent at `sent` returned the same values as the last read, now at `revision`.
    pub fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_failures = 0;
        self.record_platform_answer(revision, sent);
        self.drive(now, Vec::new())
    }

    /// A call to the platform failed or timed out.
    pub fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction> {
        self.counters.failed_platform += 1;
        if self.platform_failures == 0 {
            self.next_round = now;
        }
        self.platform_failures = self.platform_failures.saturating_add(1);
        self.drive(now, Vec::new())
    }

    /// A message from a peer arrived. Messages of other features are ignored.
    pub fn receive(
        &mut self,
        from: &HostName,
        message: PeerMessage,
        now: Instant,
    ) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        match message {
            PeerMessage::Lease(LeaseMessage::Query { nonce, view }) => {
                self.record_view(from, view, now);
                actions.push(self.reply(from, nonce, now));
            }
            PeerMessage::Lease(LeaseMessage::Reply {
                nonce,
                view,
                voting,
            }) => self.receive_reply(from, nonce, view, voting, now),
            PeerMessage::Config(message) => self.receive_config(from, message, now, &mut actions),
            PeerMessage::Health(_)
            | PeerMessage::Loan(_)
            | PeerMessage::Mesh(_)
            | PeerMessage::Ticket(_) => return actions,
        }
        self.drive(now, actions)
    }

    /// The machine resumed from a suspension during which its monotonic clock stopped. Times
    /// measured before are invalid, so the lease ends and all open queries are discarded.
    pub fn clock_suspended(&mut self, now: Instant) -> Vec<FleetAction> {
        self.lease = FreshnessLease::default();
        self.platform_answer = None;
        self.queries.clear();
        self.members.clear_replies();
        self.next_round = now;
        self.drive(now, Vec::new())
    }

    /// Handles timers; to be called every [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        self.members.prune(now, self.terms.lease);
        self.drive(now, Vec::new())
    }

    /// Renews the lease if possible and adds all actions that are due at `now`.
    fn drive(&mut self, now: Instant, mut actions: Vec<FleetAction>) -> Vec<FleetAction> {
        self.renew(now);
        self.send_due_queries(now, &mut actions);
        self.fetch(now, &mut actions);
        self.push(now, &mut actions);
        self.update_joined(now);
        self.update_readiness(now, &mut actions);
        actions
    }

    fn renew(&mut self, now: Instant) {
        if self.is_behind(now) {
            return;
        }
        let newest = self.store.newest_seen();
        if let Some(answer) = self
            .platform_answer
            .filter(|answer| answer.revision == newest)
        {
            self.lease.renew_by_platform(answer.sent, &self.terms);
        }
        if !self.platform_unreachable(now) || self.renewed_by_last_round() {
            return;
        }
        let store = &self.store;
        let agrees = |view: &RevisionView| {
            !store.lacks(view.revision) && !store.conflicts(view.revision, view.digest)
        };
        if let Some(sent) = self.members.majority_sent(now, agrees) {
            self.lease.renew_by_majority(sent, &self.terms);
        }
    }

    /// Whether further replies to the latest queries cannot extend the lease.
    fn renewed_by_last_round(&self) -> bool {
        let longest = self.queries.last_sent().map(|sent| sent + self.terms.lease);
        longest.is_some() && self.lease.end() >= longest
    }

    /// Whether a host heard within the lease holds a revision that this host lacks.
    fn is_behind(&self, now: Instant) -> bool {
        let lacks = |revision| self.store.lacks(revision);
        self.members.any_holder(now, self.terms.lease, lacks)
    }

    fn record_platform_answer(&mut self, revision: TreeRevision, sent: Instant) {
        if revision < self.store.newest_seen() {
            self.counters.stale_platform += 1;
            return;
        }
        let newer = self
            .platform_answer
            .is_none_or(|answer| answer.sent <= sent);
        if newer {
            self.platform_answer = Some(PlatformAnswer { revision, sent });
        }
    }

    /// Updates the counters by the outcome, and publishes an adopted snapshot.
    fn apply_outcome(
        &mut self,
        outcome: StoreOutcome,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        match outcome {
            StoreOutcome::Adopted(snapshot) => self.publish(&snapshot, now, actions),
            StoreOutcome::Conflict => self.counters.conflicts += 1,
            StoreOutcome::Rejected(rejection) => {
                self.counters.rejected_trees += 1;
                actions.push(FleetAction::Reject {
                    revision: self.store.newest_seen(),
                    findings: rejection.findings,
                });
                self.set_contacts(rejection.hosts, now, actions);
            }
            StoreOutcome::Known | StoreOutcome::Older => {}
        }
    }

    /// Without an active snapshot, makes the hosts listed by a rejected revision the peers to ask.
    fn set_contacts(
        &mut self,
        hosts: Option<HostList>,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.store.snapshot().is_some() {
            return;
        }
        let peers = self.members.seed_from(&hosts.unwrap_or_default());
        self.next_round = now;
        actions.push(FleetAction::SetContacts(peers));
    }

    fn publish(
        &mut self,
        snapshot: &Arc<FleetSnapshot>,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.counters.adopted += 1;
        self.terms = LeaseTerms::new(&snapshot.settings.freshness);
        self.lease.apply_terms(&self.terms, now);
        self.members.set_list(&snapshot.hosts);
        self.propagation.reset_after_adoption(now, self.terms.lease);
        // A round at once tells peers the new revision, and tells a new host the revision of its
        // peers.
        self.next_round = now;
        let deadline = now + self.terms.lease;
        self.join_deadline = self.join_deadline.or(Some(deadline));
        actions.push(FleetAction::Publish(Arc::clone(snapshot)));
    }
}
