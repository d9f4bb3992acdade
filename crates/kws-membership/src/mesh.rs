//! Membership, propagation of configuration values and freshness lease for a fleet whose hosts
//! discover each other through seed addresses only. `docs/PLATFORM.md` gives the rules and their
//! rationale.

mod table;
mod values;

use crate::{
    FleetAction, FleetCounters, FreshnessRule, KeeperCandidate, Readiness, TreeChecker,
    UnreadyReason, keeper_order, questions::QuestionRounds,
};
use kws_protocol::{
    FleetSnapshot, HostList, HostName, HostState, ListedHost, MeshMember, MeshMessage, PeerMessage,
    PublishedValues, TreeRevision, ValuesView,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use table::MemberTable;
use tokio::time::Instant;
use values::{MeshValues, ValuesOutcome};

/// The lease used until the first settings are adopted.
const FIRST_LEASE: Duration = Duration::from_secs(3);

/// The interval between heartbeats of a host that knows peers: three heartbeats fit into a lease of
/// 3 s.
const BEAT_PERIOD: Duration = Duration::from_secs(1);

/// The heartbeat interval during discovery.
const SEEK_PERIOD: Duration = Duration::from_millis(250);

/// The heartbeat interval of a host that has just started and knows no peer: its seeds may start
/// slightly later.
const FIRST_SEEK_PERIOD: Duration = Duration::from_millis(100);

/// How long after its start a host uses the short heartbeat intervals.
const SEEK_TIME: Duration = Duration::from_secs(4);

/// Every n-th heartbeat also goes to a seed, so that a partitioned fleet merges again.
const SEED_ROUNDS: u64 = 10;

/// Hosts of each region that read the platform on behalf of the others. Two, because the failure of
/// one may go undetected for a while.
const READERS: usize = 2;

/// The processor share that reading the platform for a region takes at the design size, in
/// thousandths of a processor. `docs/CAPACITY.md` gives the scaling.
const READER_MILLICORES: u32 = 200;

/// A host without a confirmation for this long reads the platform itself, whichever hosts are the
/// readers.
const FEED_LIMIT: Duration = Duration::from_millis(3_500);

/// The delay between the starts of two hosts that read the platform themselves, in reader order:
/// full copies for all hosts of a region at once would saturate the link between regions.
const READ_TURN: Duration = Duration::from_millis(400);

/// How long a host looks for peers after its start before it reads the platform: a peer may already
/// hold the current values, and a few readers suffice.
const MEET_TIME: Duration = Duration::from_millis(300);

/// A host that found no peer starts to read at a random time within this period after
/// [`MEET_TIME`].
const ALONE_SPREAD: Duration = Duration::from_millis(500);

/// The shortest delay before a host retries a failed read, unless it is one of the first in reader
/// order: those retry without delay and detect early enough that the platform has recovered.
const FAILED_PAUSE: Duration = Duration::from_secs(2);

/// The delay before a missing change is requested again.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// Without a confirmed read for this long, the platform counts as having had an outage, and entries
/// in it may have expired meanwhile.
const AWAY_AFTER: Duration = Duration::from_secs(4);

/// How long missing values are kept after an outage: entries that expired during it are restored
/// within 2 s of the recovery, or are gone for good.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// The interval between calls of [`MeshView::tick`].
const TICK: Duration = Duration::from_millis(100);

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
    platform_sent: Option<Instant>,
    /// Whether the last read of the platform failed.
    cut_off: bool,
    /// When a read last failed; the start time if none did.
    failed_at: Instant,
    /// When this host starts to read the platform if it has found no peer.
    reads_alone: Instant,
    /// Until when values that disappeared during a platform outage are kept.
    lapse_end: Option<Instant>,
    /// Since when a peer is known to hold newer values; none while there is no such peer.
    behind: Option<Instant>,
    fetched: Option<Instant>,
    questions: QuestionRounds,
    rng: SmallRng,
    born: Instant,
    next_beat: Instant,
    round: u64,
    joined: bool,
    readiness: Readiness,
    counters: FleetCounters,
    /// The live members last passed to the daemon; none before the first time.
    roster: Option<Vec<HostName>>,
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
        let reads_alone = if is_seed || seeds.is_empty() {
            now
        } else {
            now + MEET_TIME + ALONE_SPREAD.mul_f64(rng.random())
        };
        Self {
            seeds,
            is_seed,
            table: MemberTable::new(own),
            values: MeshValues::new(checker),
            platform_values: None,
            confirmed: None,
            platform_sent: None,
            cut_off: false,
            failed_at: now,
            reads_alone,
            lapse_end: None,
            behind: None,
            fetched: None,
            questions: QuestionRounds::new(seed),
            rng,
            born: now,
            next_beat: now,
            round: 0,
            joined: false,
            readiness: Readiness::Unready(UnreadyReason::NoTree),
            counters: FleetCounters::default(),
            roster: None,
        }
    }

    /// The other live members.
    pub fn members(&self, now: Instant) -> Vec<MeshMember> {
        self.table.fresh(now).cloned().collect()
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
            cut_off: self.cut_off,
        }
    }

    /// The time since which a majority of the region's known hosts, this one included, has been
    /// heard: the oldest last-heard time within it. None while no other host of the region is
    /// known.
    fn quorum(&self) -> Option<Instant> {
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
        by_platform || self.quorum().is_some_and(|at| now < at + table::FRESH_AGE)
    }

    /// The end of the lease by the current state; none before the first confirmation.
    fn lease_end(&self) -> Option<Instant> {
        let confirmed = self.confirmed?;
        let lease = self.lease();
        let by_platform = confirmed + lease;
        let by_quorum = match self.quorum() {
            Some(heard) => (heard + lease).min(confirmed + self.stale_region()),
            // No other host is known, so none can hold newer values.
            None if self.table.is_alone() => confirmed + self.stale_region(),
            None => by_platform,
        };
        let end = by_platform.max(by_quorum);
        Some(self.behind.map_or(end, |since| end.min(since + lease)))
    }

    fn is_reader(&self, now: Instant) -> bool {
        let own = self.table.own();
        self.readers(now).contains(&own.name)
    }

    /// The hosts of the region that read the platform for the others. While all reads fail, the
    /// first ones keep retrying and still receive heartbeats from all hosts: without a common
    /// target the ages reported by other hosts would be too old.
    fn readers(&self, now: Instant) -> Vec<HostName> {
        self.whole_order(now).take(READERS).collect()
    }

    /// The region's hosts in reader order; those whose reads fail come last.
    fn whole_order(&self, now: Instant) -> impl Iterator<Item = HostName> {
        let able = self.reading_order(now, false);
        able.chain(self.reading_order(now, true))
    }

    /// The part of the reader order with hosts whose reads fail (`cut_off`), or with the others.
    fn reading_order(&self, now: Instant, cut_off: bool) -> impl Iterator<Item = HostName> {
        let own = self.table.own();
        let near = self.table.fresh(now).filter(|one| one.region == own.region);
        let others = near.filter(|one| self.table.is_cut_off(&one.name) == cut_off);
        let candidates = others.chain((self.cut_off == cut_off).then_some(own));
        let candidates = candidates.map(|one| KeeperCandidate {
            name: &one.name,
            millicores: one.millicores,
        });
        let order = keeper_order("reader", READER_MILLICORES, candidates);
        let order: Vec<HostName> = order.into_iter().cloned().collect();
        order.into_iter()
    }

    /// The number of hosts of the region that precede this one in reader order.
    fn reading_turn(&self, now: Instant) -> usize {
        let own = &self.table.own().name;
        self.whole_order(now)
            .position(|name| name == *own)
            .unwrap_or_default()
    }

    /// Whether this host reads the platform because no confirmation from the readers arrives.
    fn reads_unfed(&self, now: Instant) -> bool {
        let since = self
            .confirmed
            .map_or(self.born + MEET_TIME, |at| at + FEED_LIMIT);
        if now < since {
            return false;
        }
        let turn = self.reading_turn(now);
        let begins = since + READ_TURN * turn as u32;
        let pauses = self.cut_off && turn >= READERS;
        now >= begins && !(pauses && now < self.failed_at + FAILED_PAUSE)
    }

    fn send(to: &HostName, message: MeshMessage) -> FleetAction {
        FleetAction::Send {
            to: to.clone(),
            message: PeerMessage::Mesh(message),
        }
    }

    /// The targets of this round of heartbeats: a reader, which has the most recent data, and a
    /// random host of the region. Readers also contact a random host of another region.
    fn beat_targets(&mut self, now: Instant) -> Vec<HostName> {
        let own = self.table.own().clone();
        let fresh: Vec<MeshMember> = self.table.fresh(now).cloned().collect();
        let (near, far): (Vec<&MeshMember>, Vec<&MeshMember>) =
            fresh.iter().partition(|one| one.region == own.region);
        let readers = self.readers(now);
        let others = readers.iter().filter(|name| **name != own.name);
        let mut targets: Vec<HostName> = others.take(1).cloned().collect();
        targets.extend(self.draw(&near));
        if readers.contains(&own.name) {
            targets.extend(self.draw(&far));
        }
        let seeking = fresh.len() < READERS || self.round.is_multiple_of(SEED_ROUNDS);
        if seeking && !self.seeds.is_empty() {
            let turn = self.rng.random_range(0..self.seeds.len());
            let known = |address| fresh.iter().find(|one| one.address == address);
            let seed = self.seeds[turn];
            targets.push(known(seed).map_or(seed_name(seed), |one| one.name.clone()));
        }
        targets.sort();
        targets.dedup();
        targets
    }

    fn draw(&mut self, members: &[&MeshMember]) -> Option<HostName> {
        if members.is_empty() {
            return None;
        }
        let turn = self.rng.random_range(0..members.len());
        Some(members[turn].name.clone())
    }

    fn beat(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.next_beat {
            return;
        }
        let young = now < self.born + SEEK_TIME;
        let period = match self.table.is_alone() {
            true if young => FIRST_SEEK_PERIOD,
            alone if alone || young => SEEK_PERIOD,
            _ => BEAT_PERIOD,
        };
        self.next_beat = now + period;
        self.round += 1;
        let targets = self.beat_targets(now);
        self.beat_all(&targets, now, actions);
    }

    /// Sends one heartbeat, with a common nonce, to all `targets`.
    fn beat_all(&mut self, targets: &[HostName], now: Instant, actions: &mut Vec<FleetAction>) {
        if targets.is_empty() {
            return;
        }
        let nonce = self.questions.open(now, self.lease());
        let message = MeshMessage::Beat {
            nonce,
            view: self.view(now),
            members: self.table.digest(),
        };
        let sent = targets.iter().map(|to| Self::send(to, message.clone()));
        actions.extend(sent);
    }

    fn take_ages(
        &mut self,
        from: &HostName,
        (members, ages): (u64, &[Duration]),
        told: Instant,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.table.hear(from, now);
        if members == self.table.digest() {
            self.table.merge_ages(ages, told);
        } else {
            actions.push(Self::send(
                from,
                MeshMessage::Members(self.table.words(now)),
            ));
        }
    }

    /// Handles what a peer reports to hold. `asked` is when the heartbeat was sent that it replies
    /// to; none if the report is not a reply.
    fn take_view(
        &mut self,
        from: &HostName,
        view: ValuesView,
        asked: Option<Instant>,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.table.note_cut_off(from, view.cut_off);
        if view.digest == self.values.digest() && view.digest != 0 {
            self.values.raise(view.revision);
            let heard = asked
                .zip(view.confirmed_age)
                .and_then(|(asked, age)| asked.checked_sub(age));
            self.confirmed = self.confirmed.max(heard);
            return;
        }
        if self.values.lacks(view.revision, view.digest) {
            self.behind.get_or_insert(now);
            self.fetch(from, now, actions);
        }
    }

    fn fetch(&mut self, from: &HostName, now: Instant, actions: &mut Vec<FleetAction>) {
        let waiting = self.fetched.is_some_and(|at| now < at + FETCH_PAUSE);
        if waiting {
            return;
        }
        self.fetched = Some(now);
        self.counters.fetches += 1;
        let held = self.values.digest();
        actions.push(Self::send(from, MeshMessage::Fetch { held }));
    }

    fn settle(&mut self, outcome: ValuesOutcome, now: Instant, actions: &mut Vec<FleetAction>) {
        match outcome {
            ValuesOutcome::Adopted => {
                self.counters.adopted += 1;
                self.behind = None;
                self.fetched = None;
                self.publish(now, actions);
            }
            ValuesOutcome::Refused(rejection) => {
                self.counters.refused_trees += 1;
                actions.push(FleetAction::Refuse {
                    revision: self.values.revision(),
                    findings: rejection.findings,
                });
            }
            ValuesOutcome::MissingBase => {
                self.counters.bad_deltas += 1;
                self.fetched = None;
            }
            ValuesOutcome::Equal => self.behind = None,
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
        let members = self.table.fresh(now).chain([own]);
        HostList {
            hosts: members.map(listed).collect(),
            servers: Vec::new(),
        }
    }

    /// Passes contacts and a snapshot to the daemon when the set of live members has changed.
    fn share_roster(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let fresh = self.table.fresh(now);
        let roster: Vec<HostName> = fresh.map(|one| one.name.clone()).collect();
        if self.roster.as_ref() == Some(&roster) {
            return;
        }
        log::info!(
            members = roster.len(),
            known = self.table.words(now).len() - 1,
            reads = self.is_reader(now);
            "members changed"
        );
        self.roster = Some(roster);
        let seeds = self.seeds.iter().map(|seed| ListedHost {
            name: seed_name(*seed),
            region: self.table.own().region.clone(),
            center: self.table.own().center.clone(),
            peer: *seed,
            state: HostState::Live,
            millicores: 0,
        });
        let known = self.table.words(now);
        let known = known.iter().map(|word| listed(&word.member));
        actions.push(FleetAction::Contact(known.chain(seeds).collect()));
        self.publish(now, actions);
    }

    /// Sends the change just adopted from the platform to the region's live hosts.
    fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(change) = self.values.change_since(self.values.previous()) else {
            return;
        };
        let own = self.table.own();
        for member in self.table.fresh(now) {
            if member.region == own.region {
                self.counters.pushes += 1;
                actions.push(Self::send(&member.name, change.clone()));
            }
        }
    }

    fn drive(&mut self, now: Instant, mut actions: Vec<FleetAction>) -> Vec<FleetAction> {
        self.share_roster(now, &mut actions);
        self.beat(now, &mut actions);
        let current = self.lease_end().is_some_and(|end| now < end);
        self.joined |= current && self.behind.is_none();
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
            MeshMessage::Beat {
                nonce,
                view,
                members,
            } => {
                self.take_ages(from, (members, &[]), now, now, actions);
                self.take_view(from, view, None, now, actions);
                let reply = MeshMessage::Reply {
                    nonce,
                    view: self.view(now),
                    members: self.table.digest(),
                    ages: self.table.ages(now),
                };
                actions.push(Self::send(from, reply));
            }
            MeshMessage::Reply {
                nonce,
                view,
                members,
                ages,
            } => {
                let Some(asked) = self.questions.sent(nonce) else {
                    self.counters.late_answers += 1;
                    return;
                };
                self.take_ages(from, (members, &ages), asked, now, actions);
                self.take_view(from, view, Some(asked), now, actions);
            }
            MeshMessage::Members(words) => {
                for word in words {
                    if let Some(heard) = now.checked_sub(word.age) {
                        self.table.learn(&word.member, heard, now);
                    }
                }
                self.table.hear(from, now);
            }
            MeshMessage::Leave => {
                self.table.leave(from, now);
            }
            MeshMessage::Fetch { held } => {
                if let Some(change) = self.values.change_since(held) {
                    actions.push(Self::send(from, change));
                }
            }
            change @ MeshMessage::Change { .. } => {
                let outcome = self.values.apply(change);
                if outcome == ValuesOutcome::Adopted {
                    // Only a peer with the same values can renew the lease.
                    self.next_beat = now;
                }
                let missing = outcome == ValuesOutcome::MissingBase;
                self.settle(outcome, now, actions);
                if missing {
                    self.behind.get_or_insert(now);
                    self.fetch(from, now, actions);
                }
            }
        }
    }

    /// Detects the end of a platform outage. For [`LAPSE_GRACE`] from the first answer on, values
    /// that have disappeared are kept.
    fn note_outage(&mut self, now: Instant) {
        let confirmed = self.confirmed;
        let away = confirmed.is_some_and(|at| now.saturating_duration_since(at) > AWAY_AFTER);
        if away && self.lapse_end.is_none() {
            log::info!(age_ms = self.confirmed_age_ms(now); "platform reachable again");
            self.lapse_end = Some(now + LAPSE_GRACE);
        }
        if !away && self.lapse_end.is_some_and(|end| now >= end) {
            self.lapse_end = None;
        }
    }

    fn confirmed_age_ms(&self, now: Instant) -> u64 {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        self.confirmed.map_or(0, age)
    }

    /// Compares the platform's answer with the active values.
    fn hear_platform(&mut self, sent: Instant, now: Instant) -> Vec<FleetAction> {
        self.platform_sent = Some(sent);
        self.cut_off = false;
        self.note_outage(now);
        let lapsing = self.lapse_end.is_some_and(|end| now < end);
        let loses = self
            .platform_values
            .as_ref()
            .is_some_and(|values| self.values.loses_keys(values));
        if lapsing && loses {
            log::info!("values missing after a platform outage are kept for a grace period");
            return self.drive(now, Vec::new());
        }
        self.offer_platform(sent, now)
    }

    fn beat_region(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let region = self.table.own().region.clone();
        let near = self.table.fresh(now).filter(|one| one.region == region);
        let names: Vec<HostName> = near.map(|one| one.name.clone()).collect();
        self.beat_all(&names, now, actions);
    }

    fn offer_platform(&mut self, sent: Instant, now: Instant) -> Vec<FleetAction> {
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
        self.settle(outcome, now, &mut actions);
        if adopted {
            self.push(now, &mut actions);
        }
        if digest == self.values.digest() {
            self.confirmed = self.confirmed.max(Some(sent));
        }
        self.drive(now, actions)
    }
}

fn listed(member: &MeshMember) -> ListedHost {
    ListedHost {
        name: member.name.clone(),
        region: member.region.clone(),
        center: member.center.clone(),
        peer: member.address,
        state: HostState::Live,
        millicores: member.millicores,
    }
}

impl FreshnessRule for MeshView {
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_values = Some(values);
        self.hear_platform(sent, now)
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
        self.hear_platform(sent, now)
    }

    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction> {
        self.counters.failed_platform += 1;
        let mut actions = Vec::new();
        self.failed_at = now;
        if !self.cut_off {
            // Another host must take over, so all of the region are notified immediately.
            self.cut_off = true;
            self.beat_region(now, &mut actions);
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

    fn clock_stood_still(&mut self, now: Instant) -> Vec<FleetAction> {
        self.confirmed = None;
        self.questions.void();
        self.next_beat = now;
        self.drive(now, Vec::new())
    }

    fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        let connected = self.is_connected(now);
        self.table.prune(now, connected);
        let lapsed = self.lapse_end.filter(|end| now >= *end);
        if let Some(sent) = lapsed.and(self.platform_sent) {
            self.lapse_end = None;
            return self.offer_platform(sent, now);
        }
        self.drive(now, Vec::new())
    }

    fn leave(&mut self, now: Instant) -> Vec<FleetAction> {
        let members = self.table.fresh(now);
        members
            .map(|member| Self::send(&member.name, MeshMessage::Leave))
            .collect()
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = other_seeds(seeds, self.table.own().address);
        // Passes the new addresses to the daemon with the next update, and restarts the count of
        // rounds.
        self.roster = None;
        self.round = 0;
    }

    fn current_until(&self) -> Option<Instant> {
        self.lease_end().filter(|_| self.joined)
    }

    fn reads_platform(&self, now: Instant) -> bool {
        if self.table.is_alone() {
            return now >= self.reads_alone;
        }
        let reads = match self.confirmed {
            Some(_) => self.is_reader(now),
            None => self.is_seed,
        };
        reads || self.reads_unfed(now)
    }

    fn tick_interval(&self) -> Duration {
        TICK
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
