//! A run: callers in two regions, a placer in each, and the events between them.

use super::{
    floor::FloorCheck,
    load::{ENTRY_LAG, ServiceLoad},
    score::PlacingScore,
    world::{ServerVerdict, ServerWorld},
};
use kws_dispatch::{PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, ServerHealth};
use kws_fixture::{SampleFleet, place_of};
use kws_protocol::{
    CenterName, FleetSettings, HostName, RegionName, ServerName, ServiceName, SlotOutcome,
    TeamName, TryKind,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// One way between two hosts of a region, or a host and a server.
const HOP: Duration = Duration::from_millis(1);
/// Interval between ticks of a placer.
const TICK: Duration = Duration::from_millis(10);
/// Interval between load reports to the other region.
const LOADS_PERIOD: Duration = Duration::from_secs(1);
/// Interval between confirmations of requests that still run.
const CONFIRM_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a running request is first confirmed.
const CONFIRM_DELAY: Duration = Duration::from_millis(500);
/// Time over which hosts count their requests.
const OUTCOME_WINDOW: Duration = Duration::from_secs(1);
/// Tries of a request.
const MAX_TRIES: u32 = 2;
/// Tries of a request that reach no server and are replaced.
const MAX_UNREACHED: u32 = 3;
/// Requests that a route sends elsewhere for each one that comes to the service.
const REQUESTS_ELSEWHERE: usize = 3;
/// Teams that send requests.
const TEAMS: usize = 40;
/// Hosts that send requests.
const HOSTS: usize = 40;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunEvent {
    /// A request arrives at its region's placer.
    Ask(u64),
    /// A granted request arrives at its server.
    Start(u64, u32),
    /// A try ends at the host that sent it.
    End(u64, u32),
    /// The end of a try is reported to the placer.
    Report(u64, u32),
    /// A host confirms that a try still runs.
    Confirm(u64, u32),
    /// The placers handle their timeouts.
    Tick,
    /// The placers tell each other their loads.
    Loads,
    /// The entries of crashed servers are removed.
    RemoveEntries,
}

struct ModelRequest {
    kind: usize,
    center: CenterName,
    region: usize,
    arrived: Duration,
    asked: Duration,
    excluded: Vec<ServerName>,
    tries: u32,
    /// Tries that reached no server.
    unreached: u32,
    server: usize,
    health: ServerHealth,
    started: Duration,
    verdict: ServerVerdict,
}

/// Latest requests of a region, as its hosts count them.
#[derive(Clone, Copy, Debug, Default)]
struct RegionOutcomes {
    requests: f64,
    unserved: f64,
    updated_at: Duration,
}

impl RegionOutcomes {
    fn record(&mut self, served: bool, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / OUTCOME_WINDOW.as_secs_f64()).exp();
        self.requests = self.requests * decay + 1.0;
        self.unserved = self.unserved * decay + f64::from(u8::from(!served));
        self.updated_at = now;
    }

    fn unserved_share(&self) -> f64 {
        if self.requests > 0.0 {
            self.unserved / self.requests
        } else {
            0.0
        }
    }
}

/// One run of a load.
pub struct PlacingRun {
    load: ServiceLoad,
    world: ServerWorld,
    floor: FloorCheck,
    settings: FleetSettings,
    service: ServiceName,
    regions: Vec<RegionName>,
    placers: Vec<Placer>,
    names: Vec<ServerName>,
    index: HashMap<ServerName, usize>,
    requests: BTreeMap<u64, ModelRequest>,
    outcomes: [RegionOutcomes; 2],
    events: BinaryHeap<Reverse<(Duration, u64, RunEvent)>>,
    order: u64,
    base: Instant,
    now: Duration,
    score: PlacingScore,
    rng: SmallRng,
}

impl PlacingRun {
    /// Prepares a run; the seed decides arrivals, times in service and failures.
    ///
    /// # Panics
    /// If the sample fleet has no service.
    pub fn new(load: ServiceLoad, seed: u64) -> Self {
        let fleet = SampleFleet {
            slots: load.slots,
            queue: 512,
            ..SampleFleet::new(1, load.servers)
        };
        let mut settings = fleet.settings();
        let (service, one) = settings.services.iter_mut().next().expect("one service");
        let service = service.clone();
        one.ejection.base = Duration::from_secs(2);
        one.ejection.max = Duration::from_secs(3);
        one.slow_start = Duration::from_secs(3);
        let names: Vec<ServerName> = one.servers.keys().cloned().collect();
        let regions: Vec<RegionName> = settings.regions.keys().cloned().collect();
        let base = Instant::now();
        let placers = regions.iter().enumerate().map(|(at, region)| {
            let mut placer = Placer::new(region.clone(), seed + at as u64);
            placer.apply_settings(&settings, base);
            placer
        });
        let placers = placers.collect();
        let index = names.iter().cloned().zip(0..).collect();
        Self {
            world: ServerWorld::new(load.clone(), seed),
            floor: FloorCheck::new(load.servers),
            load,
            settings,
            service,
            regions,
            placers,
            names,
            index,
            requests: BTreeMap::new(),
            outcomes: [RegionOutcomes::default(); 2],
            events: BinaryHeap::new(),
            order: 0,
            base,
            now: Duration::ZERO,
            score: PlacingScore::default(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Plays the run to its end.
    pub fn score(mut self) -> PlacingScore {
        self.draw_arrivals();
        self.schedule(Duration::ZERO, RunEvent::Tick);
        self.schedule(LOADS_PERIOD, RunEvent::Loads);
        if let Some((at, _)) = self.load.crash {
            self.schedule(at + ENTRY_LAG, RunEvent::RemoveEntries);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            if self.requests.is_empty() && at > self.load.length {
                break;
            }
        }
        self.score.spells = self.world.spells();
        self.score.runs = 1;
        self.score
    }

    fn schedule(&mut self, at: Duration, event: RunEvent) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Draws the arrivals of all kinds: a Poisson process, thinned where the rate is lower.
    fn draw_arrivals(&mut self) {
        let factors = self.load.bursts.iter().map(|phase| phase.value);
        let highest = factors.fold(1.0, f64::max);
        let mut key = 0;
        for kind in 0..self.load.kinds.len() {
            let rate = self.load.kinds[kind].rate * highest;
            let mut at = Duration::ZERO;
            loop {
                let uniform: f64 = self.rng.random::<f64>().max(f64::MIN_POSITIVE);
                at += Duration::from_secs_f64(-uniform.ln() / rate);
                if at >= self.load.length {
                    break;
                }
                if self.rng.random::<f64>() * highest > self.load.rate_factor(at) {
                    continue;
                }
                key += 1;
                self.add_request(key, kind, at);
            }
        }
    }

    fn add_request(&mut self, key: u64, kind: usize, at: Duration) {
        let (region, center) = place_of(self.rng.random_range(0..4));
        let region = self.regions.iter().position(|name| *name == region);
        let request = ModelRequest {
            kind,
            center,
            region: region.unwrap_or_default(),
            arrived: at,
            asked: at,
            excluded: Vec::new(),
            tries: 0,
            unreached: 0,
            server: 0,
            health: ServerHealth::Healthy,
            started: at,
            verdict: ServerVerdict::Good,
        };
        self.score.requests += 1;
        self.requests.insert(key, request);
        self.schedule(at + HOP, RunEvent::Ask(key));
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::Ask(key) => self.ask(key),
            RunEvent::Start(key, number) => self.start(key, number),
            RunEvent::End(key, number) => self.end(key, number),
            RunEvent::Report(key, number) => self.report(key, number),
            RunEvent::Confirm(key, number) => self.confirm(key, number),
            RunEvent::Tick => self.tick(),
            RunEvent::Loads => self.exchange_loads(),
            RunEvent::RemoveEntries => self.remove_entries(),
        }
    }

    /// Key of a try for its placer; keys are never reused.
    fn place_key(key: u64, number: u32) -> u64 {
        key * 8 + u64::from(number)
    }

    fn ask(&mut self, key: u64) {
        let now = self.instant();
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.tries += 1;
        request.asked = self.now;
        let kind = self.load.kinds[request.kind];
        let place = PlaceRequest {
            key: Self::place_key(key, request.tries),
            service: self.service.clone(),
            center: request.center.clone(),
            team: TeamName::new(&format!("team-{}", key as usize % TEAMS)),
            weight: 1.0,
            priority: kind.priority,
            deadline: self.base + request.arrived + kind.timeout,
            objective: Some(self.base + request.arrived + kind.objective),
            repeatable: kind.repeatable,
            bytes: 5_000,

            unserved_share: self.outcomes[request.region].unserved_share(),
            excluded: request.excluded.clone(),
            kind: match request.verdict {
                _ if request.tries == 1 => TryKind::First,
                ServerVerdict::Unreachable => TryKind::Replacement,
                _ => TryKind::Retry,
            },
            uncoordinated: false,
        };
        let region = request.region;
        let actions = self.placers[region].request_slot(place, now);
        self.apply(&actions);
    }

    fn apply(&mut self, actions: &[PlaceAction]) {
        for action in actions {
            match action {
                PlaceAction::Grant {
                    key,
                    server,
                    health,
                    ..
                } => self.grant(key / 8, server, *health),
                PlaceAction::Refuse { key, .. } => self.refuse(key / 8),
                PlaceAction::HealthChanged { .. } => {}
            }
        }
    }

    fn grant(&mut self, key: u64, server: &ServerName, health: ServerHealth) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.server = self.index[server];
        request.health = health;
        request.started = self.now;
        request.excluded.push(server.clone());
        self.score.waits += self.now.saturating_sub(request.asked);
        let number = request.tries;
        self.schedule(self.now + 2 * HOP, RunEvent::Start(key, number));
        self.schedule(self.now + CONFIRM_DELAY, RunEvent::Confirm(key, number));
    }

    /// A refused second try leaves the first one's failure.
    fn refuse(&mut self, key: u64) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.record_end(request.region, false, true);
        if request.tries > 1 && request.verdict == ServerVerdict::Error {
            self.score.failed += 1;
        } else {
            self.score.refused += 1;
        }
    }

    fn start(&mut self, key: u64, number: u32) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let server = request.server;
        let (verdict, time) = self.world.start(server, self.now);
        request.verdict = verdict;
        self.floor.record_use(server, self.now);
        if verdict == ServerVerdict::Error {
            self.floor.record_failure(server, self.now);
        }
        if number > 1 && verdict != ServerVerdict::Unreachable {
            self.score.repeats += 1;
        }
        let sick = self.world.is_sick(server, self.now) && verdict == ServerVerdict::Error;
        self.score.sick_tries[request.health as usize] += u64::from(sick);
        self.score.unreachable_tries += u64::from(verdict == ServerVerdict::Unreachable);
        self.schedule(self.now + time + HOP, RunEvent::End(key, number));
    }

    fn end(&mut self, key: u64, number: u32) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let verdict = request.verdict;
        if matches!(verdict, ServerVerdict::Good | ServerVerdict::Error) {
            self.world.end(request.server);
        }
        self.schedule(self.now + HOP, RunEvent::Report(key, number));
    }

    /// Reports the end of a try and sends the request again where that is allowed.
    fn report(&mut self, key: u64, number: u32) {
        let now = self.instant();
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let kind = self.load.kinds[request.kind];
        let in_time = self.now <= request.arrived + kind.timeout;
        let outcome = match request.verdict {
            _ if !in_time => SlotOutcome::TimedOut,
            ServerVerdict::Good => SlotOutcome::Succeeded,
            ServerVerdict::Error => SlotOutcome::Failed,
            ServerVerdict::NotRun => SlotOutcome::NotRun,
            ServerVerdict::Unreachable => SlotOutcome::ConnectFailed,
        };
        let reporter = HostName::new(&format!("host-{}", key as usize % HOSTS));
        let report = PlaceReport {
            reporter: &reporter,
            server: Some(&self.names[request.server]),
            outcome: PlaceOutcome {
                outcome,
                latency: self.now.saturating_sub(request.started),
                draining: false,
            },
        };
        let (region, tries) = (request.region, request.tries);
        let (verdict, arrived) = (request.verdict, request.arrived);
        let place_key = Self::place_key(key, number);
        let actions = self.placers[region].complete(place_key, &self.service, report, now);
        self.finish(key, verdict, (arrived, in_time), tries);
        self.apply(&actions);
    }

    fn finish(
        &mut self,
        key: u64,
        verdict: ServerVerdict,
        (arrived, in_time): (Duration, bool),
        tries: u32,
    ) {
        let kind = self.load.kinds[self.requests[&key].kind];
        let may_repeat = match verdict {
            ServerVerdict::Good => false,
            ServerVerdict::Error => kind.repeatable,
            ServerVerdict::NotRun | ServerVerdict::Unreachable => true,
        };
        let sent = self.requests.get_mut(&key).map_or(tries, |request| {
            request.unreached += u32::from(verdict == ServerVerdict::Unreachable);
            tries - request.unreached
        });
        if may_repeat && in_time && sent < MAX_TRIES && tries < MAX_TRIES + MAX_UNREACHED {
            return self.schedule(self.now + 2 * HOP, RunEvent::Ask(key));
        }
        let (region, health) = (self.requests[&key].region, self.requests[&key].health);
        self.requests.remove(&key);
        let served = verdict == ServerVerdict::Good && in_time;
        self.record_end(region, served, served || health == ServerHealth::Healthy);
        match verdict {
            ServerVerdict::Good if self.now <= arrived + kind.objective => self.score.fast += 1,
            ServerVerdict::Good if in_time => self.score.late += 1,
            ServerVerdict::NotRun | ServerVerdict::Unreachable => self.score.refused += 1,
            ServerVerdict::Good | ServerVerdict::Error => self.score.failed += 1,
        }
    }

    /// Records the end of a request, and of those that the same routes send elsewhere.
    fn record_end(&mut self, region: usize, served: bool, counted: bool) {
        if counted {
            self.outcomes[region].record(served, self.now);
        }
        self.floor.record_end(served, self.now);
        let unserved = self.load.elsewhere_share(self.now);
        if self.load.elsewhere.is_empty() {
            return;
        }
        for _ in 0..REQUESTS_ELSEWHERE {
            let served = self.rng.random::<f64>() >= unserved;
            self.outcomes[region].record(served, self.now);
            self.floor.record_end(served, self.now);
        }
    }

    fn confirm(&mut self, key: u64, number: u32) {
        let now = self.instant();
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if request.tries != number {
            return;
        }
        let region = request.region;
        let change = self.placers[region].confirm_running(Self::place_key(key, number), now);
        self.apply(&change);
        self.schedule(self.now + CONFIRM_PERIOD, RunEvent::Confirm(key, number));
    }

    fn tick(&mut self) {
        let now = self.instant();
        for region in 0..self.placers.len() {
            let actions = self.placers[region].tick(now);
            self.apply(&actions);
        }
        let (world, at) = (&self.world, self.now);
        let broken = self
            .floor
            .is_broken(at, |server| !world.is_gone(server, at));
        self.score.floor_ticks += u64::from(broken && at < self.load.length);
        self.schedule(self.now + TICK, RunEvent::Tick);
    }

    fn exchange_loads(&mut self) {
        let now = self.instant();
        for from in 0..self.placers.len() {
            let loads = self.placers[from].loads(&self.service, now);
            for to in (0..self.placers.len()).filter(|to| *to != from) {
                let sender = &self.regions[from];
                self.placers[to].apply_loads(&self.service, &loads, sender, now);
            }
        }
        self.schedule(self.now + LOADS_PERIOD, RunEvent::Loads);
    }

    fn remove_entries(&mut self) {
        let now = self.instant();
        let gone: Vec<ServerName> = (0..self.load.servers)
            .filter(|index| self.world.is_gone(*index, self.now))
            .map(|index| self.names[index].clone())
            .collect();
        let services = &mut self.settings.services;
        if let Some(service) = services.get_mut(&self.service) {
            service.servers.retain(|name, _| !gone.contains(name));
        }
        for region in 0..self.placers.len() {
            let actions = self.placers[region].apply_settings(&self.settings, now);
            self.apply(&actions);
        }
    }
}
