//! Membership, propagation of configuration values and freshness lease for a fleet whose hosts
//! discover each other through seed addresses only. `docs/PLATFORM.md` gives the rules and their
//! rationale.

mod freshness;
mod heartbeats;
mod lists;
mod members;
mod platform;
mod publication;
mod readers;
mod retained;
mod table;
mod values;
mod views;

use crate::{
    FleetAction, FleetCounters, FleetProtocol, Readiness, TreeChecker, UnreadyReason,
    queries::QueryRounds,
};
use kws_protocol::{HostName, MeshMember, MeshMessage, PeerMessage, PublishedValues, TreeRevision};
use lists::ListSchedule;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use readers::FIRST_READ_DELAY;
use std::{net::SocketAddr, time::Duration};
use table::MemberTable;
use tokio::time::Instant;
use values::{MeshValues, ValuesOutcome};

/// The lease used until the first settings are adopted.
const FIRST_LEASE: Duration = Duration::from_secs(3);

/// A host that found no peer starts to read at a random time within this period after
/// [`FIRST_READ_DELAY`].
const FIRST_READ_JITTER: Duration = Duration::from_millis(500);

/// The interval between heartbeats of a host that waits for a confirmation by the platform.
const CONFIRMATION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a read waits for changes while the platform's values are expected to change.
const RETURN_WAIT: Duration = Duration::from_millis(250);

/// How long a host that joins waits for a peer, and for values that one retains.
const RETAINED_WAIT: Duration = Duration::from_secs(1);

/// The interval between calls of [`MeshView::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause between two reads, in which changes are batched: entries change many times a second,
/// and each answer costs a call.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// How long after its wait time a call to the platform may still answer before it counts as failed.
const READ_GRACE: Duration = Duration::from_millis(500);

/// A placeholder name for the host at a seed's address, whose actual name is not known yet.
fn seed_name(address: SocketAddr) -> HostName {
    HostName::new(&address.to_string())
}

/// The seeds without the address of this host.
fn other_seeds(seeds: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    seeds.iter().copied().filter(|seed| *seed != own).collect()
}

/// The state machine of one host. Each event takes `now` and returns the actions to carry out, in
/// order.
pub struct MeshView {
    table: MemberTable,
    seeds: Vec<SocketAddr>,
    /// Whether this host is a seed. Seeds read the platform immediately, since starting hosts
    /// contact them first.
    is_seed: bool,
    values: MeshValues,
    /// The platform's last answer, kept for comparison with the values of peers.
    platform_values: Option<PublishedValues>,
    /// When the latest read was sent in which the platform confirmed the active values, to this
    /// host or to a peer.
    confirmed: Option<Instant>,
    /// When the platform or a host that was current first confirmed the values.
    first_current: Option<Instant>,
    platform_sent: Option<Instant>,
    /// Like `confirmed`, but only by reads of hosts that order revisions by the era.
    era_confirmed: Option<Instant>,
    /// Whether the last read of the platform failed.
    platform_unreachable: bool,
    /// Since when reads of this host or of peers have failed; none while they succeed.
    failing_since: Option<Instant>,
    /// When a read last failed; the start time if none did.
    failed_at: Instant,
    /// When this host starts to read the platform if it has found no peer.
    lone_read_at: Instant,
    /// Until when values that disappeared during a platform outage are kept.
    grace_end: Option<Instant>,
    /// Since when a peer is known to hold newer values, and their revision; none while there is no such
    /// peer.
    behind_since: Option<(Instant, TreeRevision)>,
    fetched_at: Option<Instant>,
    /// Since when a peer is known to retain values that this host lacks, and their digest; none while there is
    /// no such peer.
    awaited_retained: Option<(Instant, u64)>,
    /// How long a read waits for changes after the platform's return from an older copy; none at other times.
    return_wait: Option<Duration>,
    /// When a peer with the same values first reported what it retains.
    agreed_at: Option<Instant>,
    lists: ListSchedule,
    queries: QueryRounds,
    rng: SmallRng,
    started_at: Instant,
    next_heartbeat: Instant,
    last_heartbeat: Instant,
    round: u64,
    joined: bool,
    readiness: Readiness,
    counters: FleetCounters,
    /// The live members last passed to the daemon; none before the first time.
    published_members: Option<Vec<HostName>>,
    /// Until when a change of the members waits, so that several are passed on together.
    next_publication: Instant,
}

impl MeshView {
    /// Starts without known members or values. `seed` must differ between hosts and between starts
    /// of the same host.
    pub fn new(
        own: MeshMember,
        seeds: &[SocketAddr],
        checker: Box<dyn TreeChecker>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let is_seed = seeds.contains(&own.address);
        let seeds = other_seeds(seeds, own.address);
        let mut rng = SmallRng::seed_from_u64(seed);
        let lone_read_at = if is_seed || seeds.is_empty() {
            now
        } else {
            now + FIRST_READ_DELAY + FIRST_READ_JITTER.mul_f64(rng.random())
        };
        Self {
            seeds,
            is_seed,
            table: MemberTable::new(own),
            values: MeshValues::new(checker),
            platform_values: None,
            confirmed: None,
            first_current: None,
            platform_sent: None,
            era_confirmed: None,
            platform_unreachable: false,
            failing_since: None,
            failed_at: now,
            lone_read_at,
            grace_end: None,
            behind_since: None,
            fetched_at: None,
            awaited_retained: None,
            return_wait: None,
            agreed_at: None,
            lists: ListSchedule::new(now),
            queries: QueryRounds::new(seed),
            rng,
            started_at: now,
            next_heartbeat: now,
            last_heartbeat: now,
            round: 0,
            joined: false,
            readiness: Readiness::Unready(UnreadyReason::NoTree),
            counters: FleetCounters::default(),
            published_members: None,
            next_publication: now,
        }
    }

    /// The other live members.
    pub fn members(&self, now: Instant) -> Vec<MeshMember> {
        self.table.live(now).cloned().collect()
    }

    /// The highest revision at which the active values are known to be current; 0 for none.
    pub fn revision(&self) -> TreeRevision {
        self.values.revision()
    }

    fn lease(&self) -> Duration {
        let settings = self.values.settings();
        settings.map_or(FIRST_LEASE, |settings| settings.freshness.lease)
    }

    fn stale_region(&self) -> Duration {
        let settings = self.values.settings();
        settings.map_or(Duration::ZERO, |settings| settings.freshness.stale_region)
    }

    fn send(to: &HostName, message: MeshMessage) -> FleetAction {
        FleetAction::Send {
            to: to.clone(),
            message: PeerMessage::Mesh(message),
        }
    }

    fn apply_outcome(
        &mut self,
        outcome: ValuesOutcome,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.end_behind();
        match outcome {
            ValuesOutcome::Adopted => {
                self.counters.adopted += 1;
                self.fetched_at = None;
                self.publish(now, actions);
            }
            ValuesOutcome::Rejected(rejection) => {
                self.counters.rejected_trees += 1;
                actions.push(FleetAction::Reject {
                    revision: self.values.revision(),
                    findings: rejection.findings,
                });
            }
            ValuesOutcome::MissingBase => {
                self.counters.bad_deltas += 1;
                self.fetched_at = None;
            }
            ValuesOutcome::Equal | ValuesOutcome::Older => {}
        }
    }

    fn drive(&mut self, now: Instant, mut actions: Vec<FleetAction>) -> Vec<FleetAction> {
        self.report_era_change(now, &mut actions);
        self.publish_members(now, &mut actions);
        self.send_due_heartbeat(now, &mut actions);
        let current = self.is_current(now);
        self.awaited_retained = self
            .awaited_retained
            .filter(|(_, digest)| self.values.lacks_retained(*digest));
        let awaits_retained = self
            .awaited_retained
            .is_some_and(|(since, _)| now < since + RETAINED_WAIT);
        // In a later era the platform's values may be older than those that peers know.
        let asks_peers = self.values.revision().era() > TreeRevision::FIRST_ERA
            && self.agreed_at.is_none()
            && now < self.started_at + RETAINED_WAIT;
        self.joined |= current && self.behind_since.is_none() && !awaits_retained && !asks_peers;
        let readiness = match (self.values.settings(), self.joined) {
            (None, _) => Readiness::Unready(UnreadyReason::NoTree),
            (_, false) => Readiness::Unready(UnreadyReason::Joining),
            _ if !current => Readiness::Unready(UnreadyReason::NotCurrent),
            _ => Readiness::Ready,
        };
        if readiness != self.readiness {
            self.readiness = readiness;
            actions.push(FleetAction::Readiness(readiness));
        }
        actions
    }

    fn receive_mesh(
        &mut self,
        from: &HostName,
        message: MeshMessage,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        match message {
            MeshMessage::Heartbeat {
                nonce,
                view,
                members_digest,
                member_count,
            } => {
                let members = (members_digest, member_count);
                let agrees = self.reconcile_members(from, members, now, actions);
                self.handle_view(from, view, None, now, actions);
                actions.push(Self::send(from, self.reply(nonce, agrees, now)));
            }
            MeshMessage::Reply {
                nonce,
                view,
                members_digest,
                member_count,
                ages,
                hashed_ages,
            } => {
                let Some(asked) = self.queries.sent(nonce) else {
                    self.counters.late_replies += 1;
                    return;
                };
                let members = (members_digest, member_count);
                if self.reconcile_members(from, members, now, actions) {
                    self.table.merge_ages(&ages, asked);
                }
                self.table.merge_hashed_ages(&hashed_ages, asked);
                self.handle_view(from, view, Some(asked), now, actions);
            }
            MeshMessage::Members(entries) => self.merge_members(from, &entries, now),
            MeshMessage::Leave => {
                self.table.mark_left(from, now);
            }
            MeshMessage::Fetch { held, newer } => {
                if let Some(change) = self.values.reply_since(held, newer, now) {
                    actions.push(Self::send(from, change));
                }
            }
            MeshMessage::Delta { .. } if !self.believes(from, now) => {}
            MeshMessage::Delta { revision, .. } => {
                let outcome = self.values.apply(message, now);
                if outcome == ValuesOutcome::Adopted {
                    // Only a peer with the same values can renew the lease.
                    self.next_heartbeat = now;
                }
                let missing = outcome == ValuesOutcome::MissingBase;
                self.apply_outcome(outcome, now, actions);
                if missing {
                    self.behind_since.get_or_insert((now, revision));
                    self.fetch(from, now, actions);
                }
            }
        }
    }
}

impl FleetProtocol for MeshView {
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_values = Some(values);
        self.handle_platform_answer(sent, now)
    }

    fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        if let Some(values) = &mut self.platform_values {
            values.revision = values.revision.max(revision);
        }
        self.handle_platform_answer(sent, now)
    }

    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction> {
        self.counters.failed_platform += 1;
        let mut actions = Vec::new();
        self.failed_at = now;
        self.record_failing_reads(now);
        if !self.platform_unreachable {
            // Another host must take over, so all of the region are notified immediately.
            self.platform_unreachable = true;
            self.notify_region(now, &mut actions);
        }
        self.drive(now, actions)
    }

    fn receive(&mut self, from: &HostName, message: PeerMessage, now: Instant) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        if let PeerMessage::Mesh(message) = message {
            self.receive_mesh(from, message, now, &mut actions);
        }
        self.drive(now, actions)
    }

    fn clock_suspended(&mut self, now: Instant) -> Vec<FleetAction> {
        self.confirmed = None;
        self.era_confirmed = None;
        self.queries.clear();
        self.table.clear_asked();
        self.next_heartbeat = now;
        self.drive(now, Vec::new())
    }

    fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        let connected = self.is_connected(now);
        self.table.prune(now, connected);
        let grace_over = self.grace_end.filter(|end| now >= *end);
        if let Some(sent) = grace_over.and(self.platform_sent) {
            self.grace_end = None;
            return self.offer_platform_values(sent, now);
        }
        let mut actions = Vec::new();
        if self.values.drop_expired(now) {
            self.publish(now, &mut actions);
        }
        self.return_wait = self.values.has_returned(now).then_some(RETURN_WAIT);
        if self.values.awaits_confirmation(now) {
            self.next_heartbeat = self
                .next_heartbeat
                .min(self.last_heartbeat + CONFIRMATION_RETRY_DELAY);
        }
        self.ask_next_readers(now, &mut actions);
        self.drive(now, actions)
    }

    fn leave(&mut self, now: Instant) -> Vec<FleetAction> {
        self.table.leave();
        let live = self.table.live(now).map(|member| &member.name);
        // Hosts that stop at the same time still serve, and would go on taking this one for an owner.
        let names = live.chain(self.table.left());
        let mut actions: Vec<FleetAction> = names
            .map(|name| Self::send(name, MeshMessage::Leave))
            .collect();
        self.published_members = None;
        self.next_publication = now;
        self.publish_members(now, &mut actions);
        actions
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = other_seeds(seeds, self.table.own().address);
        // Passes the new addresses to the daemon with the next update, and restarts the count of
        // rounds.
        self.published_members = None;
        self.round = 0;
    }

    fn lease_end(&self) -> Option<Instant> {
        self.compute_lease_end().filter(|_| self.joined)
    }

    fn reads_platform(&self, now: Instant) -> bool {
        if self.table.is_alone() {
            return now >= self.lone_read_at;
        }
        let reads = match self.confirmed {
            Some(_) => self.is_reader(now),
            None => self.is_seed,
        };
        reads || self.reads_unconfirmed(now)
    }

    fn tick_interval(&self) -> Duration {
        TICK_INTERVAL
    }

    fn watch_wait(&self) -> Duration {
        self.return_wait.unwrap_or(self.lease() / 3)
    }

    fn watch_grace(&self) -> Duration {
        READ_GRACE
    }

    fn watch_pause(&self) -> Duration {
        READ_PAUSE
    }

    fn counters(&self) -> &FleetCounters {
        &self.counters
    }
}
