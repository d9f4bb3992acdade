//! A fleet in virtual time: hosts with drifting clocks, a lossy network, a platform.

use super::{
    lease::LeaseModel,
    rule::LimitRule,
    score::{RunScore, TeamScore},
};
use kws_limits::{AdmitDecision, AdmitTicket, LedgerAction};
use kws_protocol::{
    FleetSnapshot, HostName, LoanMessage, PeerMessage, RegionName, TeamName, TreeRevision,
    encode_message,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How often a host asks the platform and its peers.
const POLL: Duration = Duration::from_millis(300);

/// How often a host's ledger is ticked.
const TICK: Duration = Duration::from_millis(4);

/// How long the balancer takes to see that a host is not ready.
const BALANCER_LAG: Duration = Duration::from_secs(1);

/// WebSocket, TCP and IP headers of a frame that travels alone.
const HEADER_BYTES: u64 = 58;

/// The place of the platform in cuts.
pub const PLATFORM: usize = usize::MAX;

/// What may befall messages; the shares lie between 0 and 1.
#[derive(Clone, Debug)]
pub struct NetworkModel {
    /// One way within a region.
    pub near: Duration,
    /// One way between regions.
    pub far: Duration,
    /// Lost messages.
    pub lost: f64,
    /// Repeated messages.
    pub repeated: f64,
    /// Messages late by up to `late_by`.
    pub late: f64,
    /// The longest extra delay.
    pub late_by: Duration,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The platform publishes its next revision.
    Publish(Arc<FleetSnapshot>),
    /// A host starts; its clock runs fast by the given share.
    Start(HostName, RegionName, f64),
    /// A host dies.
    Kill(usize),
    /// A host stands still.
    Pause(usize, Duration),
    /// Messages from the first to the second are lost for a while.
    Cut(Vec<usize>, Vec<usize>, Duration),
    /// A request of a team arrives at one of the hosts, the first of them that is ready.
    Request(usize, Vec<usize>),
}

#[derive(Clone, Debug)]
enum HostEvent {
    Poll,
    Tick,
    Platform(Instant, Arc<FleetSnapshot>),
    Question(usize, Instant, TreeRevision),
    Answer(
        usize,
        Instant,
        Option<Arc<FleetSnapshot>>,
        Option<Duration>,
        bool,
    ),
    Loan(usize, LoanMessage),
    Request(usize, Duration),
}

enum ModelEvent {
    Fleet(FleetEvent),
    Host(usize, HostEvent),
}

struct ModelHost {
    name: HostName,
    region: RegionName,
    rule: Box<dyn LimitRule>,
    lease: LeaseModel,
    drift: f64,
    born: Duration,
    awake: Duration,
    ticked: Duration,
    alive: bool,
    waiting: HashMap<AdmitTicket, (usize, Duration)>,
}

struct NetworkCut {
    from: Vec<usize>,
    to: Vec<usize>,
    until: Duration,
}

/// Makes the rule of a host that starts.
pub type RuleMaker = Box<dyn Fn(HostName, RegionName, Instant) -> Box<dyn LimitRule>>;

/// The fleet and its future.
pub struct FleetModel {
    base: Instant,
    now: Duration,
    queue: BTreeMap<(Duration, u64), ModelEvent>,
    next: u64,
    rng: StdRng,
    network: NetworkModel,
    make: RuleMaker,
    teams: Vec<TeamName>,
    hosts: Vec<ModelHost>,
    names: HashMap<HostName, usize>,
    cuts: Vec<NetworkCut>,
    published: Vec<(Duration, Arc<FleetSnapshot>)>,
    scored_from: Duration,
    /// What was measured.
    pub score: RunScore,
}

impl FleetModel {
    /// An empty fleet; teams are (name, rate, burst), outcomes count from `scored_from` on.
    pub fn new(
        seed: u64,
        network: NetworkModel,
        teams: &[(TeamName, f64, f64)],
        scored_from: Duration,
        make: RuleMaker,
    ) -> Self {
        let scores = teams
            .iter()
            .map(|(_, rate, burst)| TeamScore::new(*rate, *burst));
        Self {
            base: Instant::now(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
            network,
            make,
            teams: teams.iter().map(|(name, _, _)| name.clone()).collect(),
            hosts: Vec::new(),
            names: HashMap::new(),
            cuts: Vec::new(),
            published: Vec::new(),
            scored_from,
            score: RunScore {
                teams: scores.collect(),
                ..RunScore::default()
            },
        }
    }

    /// Plans an event.
    pub fn plan(&mut self, at: Duration, event: FleetEvent) {
        self.push(at, ModelEvent::Fleet(event));
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Duration) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            match event {
                ModelEvent::Fleet(event) => self.befall(event),
                ModelEvent::Host(host, event) => self.wake(host, event),
            }
        }
    }

    fn push(&mut self, at: Duration, event: ModelEvent) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    fn later(&mut self, host: usize, delay: Duration, event: HostEvent) {
        self.push(self.now + delay, ModelEvent::Host(host, event));
    }

    fn befall(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Publish(snapshot) => self.published.push((self.now, snapshot)),
            FleetEvent::Start(name, region, drift) => self.start(name, region, drift),
            FleetEvent::Kill(host) => self.hosts[host].alive = false,
            FleetEvent::Pause(host, time) => self.hosts[host].awake = self.now + time,
            FleetEvent::Cut(from, to, time) => {
                let until = self.now + time;
                self.cuts.push(NetworkCut { from, to, until });
            }
            FleetEvent::Request(team, hosts) => {
                let counts = self.now >= self.scored_from;
                self.score.teams[team].offer(self.now, counts);
                if let Some(host) = hosts.into_iter().find(|host| self.is_ready(*host)) {
                    self.wake(host, HostEvent::Request(team, self.now));
                }
            }
        }
    }

    /// Whether the balancer sends requests to a host; its view is [`BALANCER_LAG`] old.
    fn is_ready(&self, host: usize) -> bool {
        let judged = &self.hosts[host];
        let lapse = judged
            .lease
            .until(&judged.name, &judged.region, self.local(host));
        let current = lapse.is_none_or(|lapse| self.local(host) < lapse + BALANCER_LAG);
        judged.alive && current && self.now < judged.ticked + BALANCER_LAG
    }

    fn start(&mut self, name: HostName, region: RegionName, drift: f64) {
        let index = self.hosts.len();
        let local = clock(self.base, self.now, drift);
        self.names.insert(name.clone(), index);
        self.hosts.push(ModelHost {
            rule: (self.make)(name.clone(), region.clone(), local),
            name,
            region,
            lease: LeaseModel::default(),
            drift,
            born: self.now,
            awake: self.now,
            ticked: self.now,
            alive: true,
            waiting: HashMap::new(),
        });
        let stagger = POLL.mul_f64(self.rng.random());
        self.later(index, stagger, HostEvent::Poll);
        let stagger = TICK.mul_f64(self.rng.random());
        self.later(index, stagger, HostEvent::Tick);
    }

    /// Gives a host an event; one that stands still gets it when it wakes.
    fn wake(&mut self, host: usize, event: HostEvent) {
        if !self.hosts[host].alive {
            return;
        }
        if self.hosts[host].awake > self.now {
            let awake = self.hosts[host].awake;
            return self.push(awake, ModelEvent::Host(host, event));
        }
        let now = self.local(host);
        match event {
            HostEvent::Poll => self.poll(host, now),
            HostEvent::Tick => {
                self.hosts[host].ticked = self.now;
                self.hosts[host].rule.tick(now);
                self.later(host, TICK, HostEvent::Tick);
            }
            HostEvent::Platform(sent, snapshot) => self.hear_platform(host, sent, &snapshot, now),
            HostEvent::Question(from, sent, revision) => {
                self.answer(host, from, sent, revision, now);
            }
            HostEvent::Answer(from, sent, held, age, counts) => {
                self.hear_peer(host, from, sent, held, age.filter(|_| counts), now);
            }
            HostEvent::Loan(from, message) => {
                let from = self.hosts[from].name.clone();
                self.hosts[host].rule.receive(&from, &message, now);
            }
            HostEvent::Request(team, offered) => self.request(host, team, offered, now),
        }
        self.carry_out(host);
    }

    fn request(&mut self, host: usize, team: usize, offered: Duration, now: Instant) {
        match self.hosts[host].rule.admit(&self.teams[team], now) {
            AdmitDecision::Waiting(ticket) => {
                self.hosts[host].waiting.insert(ticket, (team, offered));
            }
            decision => self.decide(team, offered, decision),
        }
    }

    fn decide(&mut self, team: usize, offered: Duration, decision: AdmitDecision) {
        let counts = offered >= self.scored_from;
        if decision == AdmitDecision::Admitted {
            self.score.teams[team].admit(self.now, counts);
        }
        if counts {
            let wait = self.now.saturating_sub(offered);
            self.score.waits.push(wait.as_secs_f64() * 1e3);
        }
    }

    fn carry_out(&mut self, host: usize) {
        for action in self.hosts[host].rule.take_actions() {
            match action {
                LedgerAction::Send { to, message } => {
                    if let Some(&to) = self.names.get(&to) {
                        self.count_message(host, to, &message);
                        self.transmit(host, to, HostEvent::Loan(host, message));
                    }
                }
                LedgerAction::Settle { ticket, decision } => {
                    if let Some((team, offered)) = self.hosts[host].waiting.remove(&ticket) {
                        self.decide(team, offered, decision);
                    }
                }
            }
        }
    }

    fn count_message(&mut self, from: usize, to: usize, message: &LoanMessage) {
        if self.now < self.scored_from {
            return;
        }
        self.score.messages += 1;
        if self.hosts[from].region != self.hosts[to].region {
            let frame = encode_message(&PeerMessage::Loan(message.clone()));
            self.score.link_bytes += HEADER_BYTES + frame.map_or(0, |frame| frame.len() as u64);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, event: HostEvent) {
        if self.is_cut(from, to) || self.rng.random_bool(self.network.lost) {
            return;
        }
        if self.rng.random_bool(self.network.repeated) {
            let delay = self.delay(from, to);
            self.later(to, delay, event.clone());
        }
        let delay = self.delay(from, to);
        self.later(to, delay, event);
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let near = self.hosts[from].region == self.hosts[to].region;
        let base = if near {
            self.network.near
        } else {
            self.network.far
        };
        let jitter = base.mul_f64(self.rng.random::<f64>() * 0.2);
        let late = self.rng.random_bool(self.network.late);
        let extra = self.network.late_by.mul_f64(self.rng.random());
        base + jitter + if late { extra } else { Duration::ZERO }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .iter()
            .any(|cut| cut.until > self.now && cut.from.contains(&from) && cut.to.contains(&to))
    }

    fn local(&self, host: usize) -> Instant {
        clock(self.base, self.now, self.hosts[host].drift)
    }

    fn poll(&mut self, host: usize, now: Instant) {
        self.later(host, POLL, HostEvent::Poll);
        if !self.is_cut(host, PLATFORM) && !self.is_cut(PLATFORM, host) {
            self.ask_platform(host, now);
        }
        let Some(held) = self.hosts[host].lease.held.clone() else {
            return;
        };
        let region = self.hosts[host].region.clone();
        for listed in held.hosts.in_region(&region) {
            let to = self.names.get(&listed.name).copied();
            if let Some(to) = to.filter(|to| *to != host) {
                self.transmit(host, to, HostEvent::Question(host, now, held.revision));
            }
        }
    }

    /// The platform's answer lags by up to the list lag of its newest revision.
    fn ask_platform(&mut self, host: usize, now: Instant) {
        let Some((_, newest)) = self.published.last() else {
            return;
        };
        let lag = newest
            .settings
            .freshness
            .list_lag
            .mul_f64(self.rng.random());
        let seen = self.now.saturating_sub(lag);
        let known = self.published.iter().rev().find(|(at, _)| *at <= seen);
        if let Some((_, snapshot)) = known.cloned() {
            self.later(host, self.network.near, HostEvent::Platform(now, snapshot));
        }
    }

    fn hear_platform(
        &mut self,
        host: usize,
        sent: Instant,
        snapshot: &Arc<FleetSnapshot>,
        now: Instant,
    ) {
        self.hold(host, snapshot, now);
        let lease = &mut self.hosts[host].lease;
        lease.platform_sent = lease.platform_sent.max(Some(sent));
        lease.platform_seen = lease.platform_seen.max(Some(sent));
        self.renew(host, now);
    }

    fn answer(
        &mut self,
        host: usize,
        from: usize,
        sent: Instant,
        revision: TreeRevision,
        now: Instant,
    ) {
        let asker = self.hosts[from].name.clone();
        let answering = &mut self.hosts[host];
        answering.rule.peer_revision(&asker, revision, now);
        let held = answering.lease.held.clone();
        let seen = answering.lease.platform_seen;
        let age = seen.map(|seen| now.saturating_duration_since(seen));
        let age = age.map(|age| age.mul_f64(1.0 + 3.0 * answering.drift.abs()));
        let lease = held.as_ref().map(|held| held.settings.freshness.lease);
        let counts = lease.is_some_and(|lease| self.now >= answering.born + lease);
        self.transmit(host, from, HostEvent::Answer(host, sent, held, age, counts));
    }

    fn hear_peer(
        &mut self,
        host: usize,
        from: usize,
        sent: Instant,
        held: Option<Arc<FleetSnapshot>>,
        age: Option<Duration>,
        now: Instant,
    ) {
        let Some(held) = held else { return };
        self.hold(host, &held, now);
        let peer = self.hosts[from].name.clone();
        let own = &mut self.hosts[host];
        own.rule.peer_revision(&peer, held.revision, now);
        if let Some(age) = age {
            let seen = sent.checked_sub(age).unwrap_or(self.base);
            own.lease.platform_seen = own.lease.platform_seen.max(Some(seen));
            let answered = own.lease.answers.entry(peer).or_insert(sent);
            *answered = sent.max(*answered);
        }
        self.renew(host, now);
    }

    fn hold(&mut self, host: usize, snapshot: &Arc<FleetSnapshot>, now: Instant) {
        let own = &mut self.hosts[host];
        if own.lease.hold(snapshot) {
            own.rule.adopt(snapshot, now);
        }
    }

    fn renew(&mut self, host: usize, now: Instant) {
        let own = &mut self.hosts[host];
        if let Some(until) = own.lease.until(&own.name, &own.region, now) {
            own.rule.set_current(until, now);
        }
    }
}

/// What a clock that runs fast by `drift` shows at a time.
fn clock(base: Instant, at: Duration, drift: f64) -> Instant {
    base + at.mul_f64(1.0 + drift)
}
