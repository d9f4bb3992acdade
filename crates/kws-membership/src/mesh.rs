//! Membership, propagation of configuration values and freshness lease for a fleet whose hosts
//! discover each other through seed addresses only. `docs/PLATFORM.md` gives the rules and their
//! rationale.

mod lists;
mod table;
mod values;

use crate::{
    FleetAction, FleetCounters, FleetProtocol, HostCandidate, Readiness, TreeChecker,
    UnreadyReason, queries::QueryRounds, rank_hosts,
};
use kws_protocol::{
    FleetSnapshot, HostList, HostName, HostState, ListedHost, MemberReport, MeshMember,
    MeshMessage, PeerMessage, PublishedValues, TreeRevision, ValuesView,
};
use lists::{ListSchedule, ListScope};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use table::MemberTable;
use tokio::time::Instant;
use values::{MeshValues, ValuesOutcome};

/// The lease used until the first settings are adopted.
const FIRST_LEASE: Duration = Duration::from_secs(3);

/// The interval between heartbeats of a host that knows peers: three heartbeats fit into a lease of
/// 3 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The heartbeat interval during discovery.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// The heartbeat interval of a host that has just started and knows no peer: its seeds may start
/// slightly later.
const FIRST_DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its start a host uses the short heartbeat intervals.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Every n-th heartbeat also goes to a seed, so that a partitioned fleet merges again.
const SEED_ROUNDS: u64 = 10;

/// Hosts of each region that read the platform on behalf of the others. Two, because the failure of
/// one may go undetected for a while.
const READERS_PER_REGION: usize = 2;

/// The processor share that reading the platform for a region takes at the design size, in
/// thousandths of a processor. `docs/CAPACITY.md` gives the scaling.
const READER_MILLICORES: u32 = 200;

/// A host without a confirmation for this long reads the platform itself, whichever hosts are the
/// readers.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The delay between the starts of two hosts that read the platform themselves, in reader order:
/// full copies for all hosts of a region at once would saturate the link between regions.
const READ_STAGGER: Duration = Duration::from_millis(400);

/// How long a host looks for peers after its start before it reads the platform: a peer may already
/// hold the current values, and a few readers suffice.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);

/// A host that found no peer starts to read at a random time within this period after
/// [`FIRST_READ_DELAY`].
const FIRST_READ_JITTER: Duration = Duration::from_millis(500);

/// The shortest delay before a host retries a failed read, unless it is one of the first in reader
/// order: those retry without delay and detect early enough that the platform has recovered.
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The delay before a missing change is requested again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Without a confirmed read for this long, the platform counts as having had an outage, and entries
/// in it may have expired meanwhile.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(4);

/// How long missing values are kept after an outage: entries that expired during it are restored
/// within 2 s of the recovery, or are gone for good.
const OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// The shortest interval between two publications of the members. While a large fleet starts, they
/// change with nearly every message.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(200);

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
    /// Whether the last read of the platform failed.
    platform_unreachable: bool,
    /// When a read last failed; the start time if none did.
    failed_at: Instant,
    /// When this host starts to read the platform if it has found no peer.
    lone_read_at: Instant,
    /// Until when values that disappeared during a platform outage are kept.
    grace_end: Option<Instant>,
    /// Since when a peer is known to hold newer values; none while there is no such peer.
    behind_since: Option<Instant>,
    fetched_at: Option<Instant>,
    lists: ListSchedule,
    queries: QueryRounds,
    rng: SmallRng,
    started_at: Instant,
    next_heartbeat: Instant,
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
            platform_unreachable: false,
            failed_at: now,
            lone_read_at,
            grace_end: None,
            behind_since: None,
            fetched_at: None,
            lists: ListSchedule::new(now),
            queries: QueryRounds::new(seed),
            rng,
            started_at: now,
            next_heartbeat: now,
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

    fn view(&self, now: Instant) -> ValuesView {
        ValuesView {
            revision: self.values.revision(),
            digest: self.values.digest(),
            confirmed_age: self.confirmed.map(|at| now.saturating_duration_since(at)),
            platform_unreachable: self.platform_unreachable,
            current: self.is_current(now),
        }
    }

    fn is_current(&self, now: Instant) -> bool {
        self.compute_lease_end().is_some_and(|end| now < end)
    }

    /// The time since which a majority of the region's known hosts, this one included, has been
    /// heard: the oldest last-heard time within it. None while no other host of the region is
    /// known.
    fn majority_heard(&self) -> Option<Instant> {
        let region = &self.table.own().region;
        let mut heard: Vec<Instant> = self.table.heard_in(region).collect();
        let needed = heard.len().div_ceil(2);
        if needed == 0 {
            return None;
        }
        heard.sort_unstable_by(|left, right| right.cmp(left));
        heard.get(needed - 1).copied()
    }

    fn is_connected(&self, now: Instant) -> bool {
        let lease = self.lease();
        let by_platform = self.confirmed.is_some_and(|at| now < at + lease);
        by_platform
            || self
                .majority_heard()
                .is_some_and(|at| now < at + table::LIVE_TIMEOUT)
    }

    /// The end of the lease by the current state; none before the first confirmation.
    ///
    /// The majority of the known hosts counts only once a current host has confirmed the values:
    /// a host that was started beside hosts that are cut off knows no others, and theirs is not the
    /// majority of the region.
    fn compute_lease_end(&self) -> Option<Instant> {
        let confirmed = self.confirmed?;
        let lease = self.lease();
        let by_platform = confirmed + lease;
        if self.first_current.is_none() {
            return Some(by_platform);
        }
        let by_majority = match self.majority_heard() {
            Some(heard) => (heard + lease).min(confirmed + self.stale_region()),
            // No other host is known, so none can hold newer values.
            None if self.table.is_alone() => confirmed + self.stale_region(),
            None => by_platform,
        };
        let end = by_platform.max(by_majority);
        Some(
            self.behind_since
                .map_or(end, |since| end.min(since + lease)),
        )
    }

    fn is_reader(&self, now: Instant) -> bool {
        let own = self.table.own();
        self.readers(now).contains(&own.name)
    }

    /// The hosts of the region that read the platform for the others. While all reads fail, the
    /// first ones keep retrying and still receive heartbeats from all hosts: without a common
    /// target the ages reported by other hosts would be too old.
    fn readers(&self, now: Instant) -> Vec<HostName> {
        self.reader_order(now).take(READERS_PER_REGION).collect()
    }

    /// The region's hosts in reader order; those whose reads fail come last.
    fn reader_order(&self, now: Instant) -> impl Iterator<Item = HostName> {
        let readable = self.reader_group(now, false);
        readable.chain(self.reader_group(now, true))
    }

    /// The hosts whose reads fail, if `unreachable` is set, or the others; in reader order.
    fn reader_group(&self, now: Instant, unreachable: bool) -> impl Iterator<Item = HostName> {
        let own = self.table.own();
        let local = self
            .table
            .live(now)
            .filter(|member| member.region == own.region);
        let others =
            local.filter(|member| self.table.platform_unreachable(&member.name) == unreachable);
        let candidates = others.chain((self.platform_unreachable == unreachable).then_some(own));
        let candidates = candidates.map(|member| HostCandidate {
            name: &member.name,
            millicores: member.millicores,
        });
        let order = rank_hosts("reader", READER_MILLICORES, candidates);
        let order: Vec<HostName> = order.into_iter().cloned().collect();
        order.into_iter()
    }

    /// The number of hosts of the region that precede this one in reader order.
    fn reader_rank(&self, now: Instant) -> usize {
        let own = &self.table.own().name;
        self.reader_order(now)
            .position(|name| name == *own)
            .unwrap_or_default()
    }

    /// Whether this host reads the platform because no confirmation from the readers arrives.
    fn reads_unconfirmed(&self, now: Instant) -> bool {
        let since = self
            .confirmed
            .map_or(self.started_at + FIRST_READ_DELAY, |at| {
                at + CONFIRMATION_TIMEOUT
            });
        if now < since {
            return false;
        }
        let rank = self.reader_rank(now);
        let begins = since + READ_STAGGER * rank as u32;
        let delays_retry = self.platform_unreachable && rank >= READERS_PER_REGION;
        now >= begins && !(delays_retry && now < self.failed_at + READ_RETRY_DELAY)
    }

    fn send(to: &HostName, message: MeshMessage) -> FleetAction {
        FleetAction::Send {
            to: to.clone(),
            message: PeerMessage::Mesh(message),
        }
    }

    /// The targets of this round of heartbeats: a reader, which has the most recent data, and a
    /// random host of the region. Readers also contact a random host of another region.
    fn heartbeat_targets(&mut self, now: Instant) -> Vec<HostName> {
        let own = self.table.own().clone();
        let live: Vec<MeshMember> = self.table.live(now).cloned().collect();
        let (local, remote): (Vec<&MeshMember>, Vec<&MeshMember>) =
            live.iter().partition(|member| member.region == own.region);
        let readers = self.readers(now);
        let others = readers.iter().filter(|name| **name != own.name);
        let mut targets: Vec<HostName> = others.take(1).cloned().collect();
        targets.extend(self.pick_random(&local));
        if readers.contains(&own.name) {
            targets.extend(self.pick_random(&remote));
        }
        let contacts_seed =
            live.len() < READERS_PER_REGION || self.round.is_multiple_of(SEED_ROUNDS);
        if contacts_seed && !self.seeds.is_empty() {
            let index = self.rng.random_range(0..self.seeds.len());
            let known = |address| live.iter().find(|member| member.address == address);
            let seed = self.seeds[index];
            targets.push(known(seed).map_or(seed_name(seed), |member| member.name.clone()));
        }
        targets.sort();
        targets.dedup();
        targets
    }

    fn pick_random(&mut self, members: &[&MeshMember]) -> Option<HostName> {
        if members.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..members.len());
        Some(members[index].name.clone())
    }

    fn send_due_heartbeat(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.next_heartbeat {
            return;
        }
        let is_starting = now < self.started_at + DISCOVERY_TIME;
        let period = match self.table.is_alone() {
            true if is_starting => FIRST_DISCOVERY_INTERVAL,
            alone if alone || is_starting => DISCOVERY_INTERVAL,
            _ => HEARTBEAT_INTERVAL,
        };
        self.next_heartbeat = now + period;
        self.round += 1;
        let targets = self.heartbeat_targets(now);
        self.send_heartbeat(&targets, now, actions);
    }

    /// Sends one heartbeat, with a common nonce, to all `targets`.
    fn send_heartbeat(
        &mut self,
        targets: &[HostName],
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        if targets.is_empty() {
            return;
        }
        let nonce = self.queries.open(now, self.lease());
        let message = MeshMessage::Heartbeat {
            nonce,
            view: self.view(now),
            members_digest: self.table.digest(),
            member_count: self.table.count() as u32,
        };
        let sent = targets.iter().map(|to| Self::send(to, message.clone()));
        actions.extend(sent);
    }

    /// Compares a peer's set of members, by its digest and count, with this host's. Returns whether
    /// they are the same.
    fn reconcile_members(
        &mut self,
        from: &HostName,
        (digest, count): (u64, u32),
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        self.table.mark_heard(from, now);
        if digest == self.table.digest() {
            return true;
        }
        let own_count = self.table.count();
        let since = match self.lists.choose(from, count as usize, own_count, now) {
            ListScope::All => None,
            ListScope::Since(since) => Some(since),
        };
        let entries = self.table.entries(since, now);
        actions.push(Self::send(from, MeshMessage::Members(entries)));
        false
    }

    fn merge_members(&mut self, from: &HostName, entries: &[MemberReport], now: Instant) {
        for entry in entries {
            if let Some(heard) = now.checked_sub(entry.age) {
                self.table.upsert(&entry.member, heard, now);
            }
        }
        self.table.mark_heard(from, now);
    }

    /// Handles what a peer reports to hold. `asked` is when the heartbeat was sent that it replies
    /// to; none if the report is not a reply.
    fn handle_view(
        &mut self,
        from: &HostName,
        view: ValuesView,
        asked: Option<Instant>,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.table
            .record_platform_unreachable(from, view.platform_unreachable);
        if view.digest == self.values.digest() && view.digest != 0 {
            self.values.raise_revision(view.revision);
            let heard = asked
                .zip(view.confirmed_age)
                .and_then(|(asked, age)| asked.checked_sub(age));
            self.confirmed = self.confirmed.max(heard);
            let current = heard.filter(|_| view.current);
            self.first_current = self.first_current.or(current);
            return;
        }
        if self.values.accepts(view.revision, view.digest) {
            self.behind_since.get_or_insert(now);
            self.fetch(from, now, actions);
        }
    }

    fn fetch(&mut self, from: &HostName, now: Instant, actions: &mut Vec<FleetAction>) {
        let waiting = self
            .fetched_at
            .is_some_and(|at| now < at + FETCH_RETRY_DELAY);
        if waiting {
            return;
        }
        self.fetched_at = Some(now);
        self.counters.fetches += 1;
        let held = self.values.digest();
        actions.push(Self::send(from, MeshMessage::Fetch { held }));
    }

    fn apply_outcome(
        &mut self,
        outcome: ValuesOutcome,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        match outcome {
            ValuesOutcome::Adopted => {
                self.counters.adopted += 1;
                self.behind_since = None;
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
            ValuesOutcome::Equal => self.behind_since = None,
            ValuesOutcome::Older => {}
        }
    }

    /// Publishes a snapshot of the active settings and the current members.
    fn publish(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
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

    fn host_list(&self, now: Instant) -> HostList {
        let own = self.table.own();
        let members = self.table.live(now).chain([own]);
        HostList {
            hosts: members.map(to_listed_host).collect(),
            servers: Vec::new(),
        }
    }

    /// Passes contacts and a snapshot to the daemon when the set of live members has changed, at
    /// most once in [`PUBLICATION_INTERVAL`].
    fn publish_members(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.next_publication {
            return;
        }
        let live = self.table.live(now);
        let names: Vec<HostName> = live.map(|member| member.name.clone()).collect();
        if self.published_members.as_ref() == Some(&names) {
            return;
        }
        log::info!(
            members = names.len(),
            known = self.table.count() - 1,
            reads = self.is_reader(now);
            "members changed"
        );
        self.published_members = Some(names);
        self.next_publication = now + PUBLICATION_INTERVAL;
        let seeds = self.seeds.iter().map(|seed| ListedHost {
            name: seed_name(*seed),
            region: self.table.own().region.clone(),
            center: self.table.own().center.clone(),
            peer: *seed,
            state: HostState::Live,
            millicores: 0,
        });
        let known = self.table.entries(None, now);
        let known = known.iter().map(|entry| to_listed_host(&entry.member));
        actions.push(FleetAction::SetContacts(known.chain(seeds).collect()));
        self.publish(now, actions);
    }

    /// Sends the change just adopted from the platform to the region's live hosts.
    fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(change) = self.values.change_since(self.values.previous_digest()) else {
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

    fn drive(&mut self, now: Instant, mut actions: Vec<FleetAction>) -> Vec<FleetAction> {
        self.publish_members(now, &mut actions);
        self.send_due_heartbeat(now, &mut actions);
        let current = self.is_current(now);
        self.joined |= current && self.behind_since.is_none();
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

    /// The reply to a heartbeat of a host whose set of members `agrees` with this host's, or not.
    fn reply(&self, nonce: u64, agrees: bool, now: Instant) -> MeshMessage {
        let (ages, hashed_ages) = if agrees {
            (self.table.ages(now), Vec::new())
        } else {
            (Vec::new(), self.table.hashed_ages(now))
        };
        MeshMessage::Reply {
            nonce,
            view: self.view(now),
            members_digest: self.table.digest(),
            member_count: self.table.count() as u32,
            ages,
            hashed_ages,
        }
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
            MeshMessage::Fetch { held } => {
                if let Some(change) = self.values.change_since(held) {
                    actions.push(Self::send(from, change));
                }
            }
            change @ MeshMessage::Delta { .. } => {
                let outcome = self.values.apply(change);
                if outcome == ValuesOutcome::Adopted {
                    // Only a peer with the same values can renew the lease.
                    self.next_heartbeat = now;
                }
                let missing = outcome == ValuesOutcome::MissingBase;
                self.apply_outcome(outcome, now, actions);
                if missing {
                    self.behind_since.get_or_insert(now);
                    self.fetch(from, now, actions);
                }
            }
        }
    }

    /// Detects the end of a platform outage. For [`OUTAGE_GRACE`] from the first answer on, values
    /// that have disappeared are kept.
    fn detect_recovery(&mut self, now: Instant) {
        let confirmed = self.confirmed;
        let had_outage =
            confirmed.is_some_and(|at| now.saturating_duration_since(at) > OUTAGE_THRESHOLD);
        if had_outage && self.grace_end.is_none() {
            log::info!(age_ms = self.confirmed_age_ms(now); "platform reachable again");
            self.grace_end = Some(now + OUTAGE_GRACE);
        }
        if !had_outage && self.grace_end.is_some_and(|end| now >= end) {
            self.grace_end = None;
        }
    }

    fn confirmed_age_ms(&self, now: Instant) -> u64 {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        self.confirmed.map_or(0, age)
    }

    /// Compares the platform's answer with the active values.
    fn handle_platform_answer(&mut self, sent: Instant, now: Instant) -> Vec<FleetAction> {
        self.platform_sent = Some(sent);
        self.platform_unreachable = false;
        self.detect_recovery(now);
        let in_grace = self.grace_end.is_some_and(|end| now < end);
        let loses = self
            .platform_values
            .as_ref()
            .is_some_and(|values| self.values.loses_keys(values));
        if in_grace && loses {
            log::info!("values missing after a platform outage are kept for a grace period");
            return self.drive(now, Vec::new());
        }
        self.offer_platform_values(sent, now)
    }

    fn notify_region(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let region = self.table.own().region.clone();
        let local = self
            .table
            .live(now)
            .filter(|member| member.region == region);
        let names: Vec<HostName> = local.map(|member| member.name.clone()).collect();
        self.send_heartbeat(&names, now, actions);
    }

    fn offer_platform_values(&mut self, sent: Instant, now: Instant) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let Some(values) = self.platform_values.clone() else {
            return self.drive(now, actions);
        };
        let (digest, revision) = (values.digest(), values.revision);
        let outcome = self.values.offer(values);
        let adopted = outcome == ValuesOutcome::Adopted;
        if outcome == ValuesOutcome::Older {
            self.counters.stale_platform += 1;
            log::info!(
                revision = revision.0,
                held = self.values.revision().0;
                "platform answer is older than the active values"
            );
        }
        self.apply_outcome(outcome, now, &mut actions);
        if adopted {
            self.push(now, &mut actions);
        }
        if digest == self.values.digest() {
            self.confirmed = self.confirmed.max(Some(sent));
            self.first_current.get_or_insert(sent);
        }
        self.drive(now, actions)
    }
}

fn to_listed_host(member: &MeshMember) -> ListedHost {
    ListedHost {
        name: member.name.clone(),
        region: member.region.clone(),
        center: member.center.clone(),
        peer: member.address,
        state: HostState::Live,
        millicores: member.millicores,
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
        self.queries.clear();
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
        self.drive(now, Vec::new())
    }

    fn leave(&mut self, now: Instant) -> Vec<FleetAction> {
        let members = self.table.live(now);
        members
            .map(|member| Self::send(&member.name, MeshMessage::Leave))
            .collect()
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
        self.lease() / 3
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
