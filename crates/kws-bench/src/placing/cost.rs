//! The processor time that placing one request takes, by the number of servers and of queued
//! requests.

use kws_dispatch::{PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer};
use kws_fixture::{SampleFleet, place_of};
use kws_protocol::{
    FleetSettings, HostName, RegionName, ServerName, ServiceName, SlotOutcome, TeamName, TryKind,
};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Requests that are timed.
const ROUNDS: u32 = 2_000;
/// Requests before the timed ones.
const WARM_UP: u32 = 200;
/// Simulated time between two requests.
const STEP: Duration = Duration::from_micros(500);
/// Share of the servers that fail all requests: three in ten.
const FAILING: (usize, usize) = (3, 10);
/// Time after which each request may be refused; far beyond the run.
const FAR: Duration = Duration::from_secs(1_000);
/// Teams that send requests.
const TEAMS: u32 = 140;

/// A placer with one service, whose slots are all in use if requests are to queue.
struct CostRun {
    placer: Placer,
    settings: FleetSettings,
    service: ServiceName,
    now: Instant,
    last_key: u64,
    running: VecDeque<(u64, ServerName)>,
    failing: Vec<ServerName>,
}

impl CostRun {
    fn new(servers: usize, queue: usize) -> Self {
        let fleet = SampleFleet {
            queue: 2 * queue as u32 + 64,
            ..SampleFleet::new(1, servers)
        };
        let mut settings = fleet.settings();
        let region = RegionName::new("vidzemes");
        let services = settings.services.values_mut();
        for server in services.flat_map(|service| service.servers.values_mut()) {
            server.region = region.clone();
        }
        let service = settings.services.keys().next().cloned();
        let service = service.unwrap_or_else(|| ServiceName::new("listing"));
        let now = Instant::now();
        let mut placer = Placer::new(region, 1);
        placer.apply_settings(&settings, now);
        let names = placer.servers(&service).into_iter().cloned();
        let failing = names.enumerate();
        let failing = failing
            .filter(|(at, _)| at % FAILING.1 < FAILING.0)
            .map(|(_, name)| name)
            .collect();
        Self {
            placer,
            settings,
            service,
            now,
            last_key: 0,
            running: VecDeque::new(),
            failing,
        }
    }

    fn ask(&mut self) {
        self.last_key += 1;
        let (_, center) = place_of(2 * (self.last_key as usize % 2));
        let team = self.last_key as u32 % TEAMS;
        let request = PlaceRequest {
            key: self.last_key,
            service: self.service.clone(),
            center,
            team: TeamName::new(&format!("team-{team}")),
            weight: 1.0,
            priority: team % 3,
            deadline: self.now + FAR,
            objective: Some(self.now + FAR),
            repeatable: team.is_multiple_of(2),
            bytes: 5_000,
            unserved_share: 0.0,
            excluded: Vec::new(),
            kind: TryKind::First,
            uncoordinated: false,
        };
        let actions = self.placer.request_slot(request, self.now);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<PlaceAction>) {
        for action in actions {
            if let PlaceAction::Grant { key, server, .. } = action {
                self.running.push_back((key, server));
            }
        }
    }

    /// Ends the oldest running request; those on failing servers fail.
    fn end(&mut self) {
        let Some((key, server)) = self.running.pop_front() else {
            return;
        };
        let failed = self.failing.binary_search(&server).is_ok();
        let outcome = PlaceOutcome {
            outcome: if failed {
                SlotOutcome::Failed
            } else {
                SlotOutcome::Succeeded
            },
            latency: Duration::from_millis(if failed { 2 } else { 400 }),
            draining: false,
        };
        let reporter = HostName::new("host-1");
        let report = PlaceReport {
            reporter: &reporter,
            server: Some(&server),
            outcome,
        };
        let service = self.service.clone();
        let actions = self.placer.complete(key, &service, report, self.now);
        self.apply(actions);
    }

    fn round(&mut self) {
        self.now += STEP;
        self.ask();
        self.end();
    }
}

/// Mean processor time of one request: its arrival, its placing and its end, with `queue` others
/// waiting and no slot free, or half of the slots in use if `queue` is 0.
pub fn request_time(servers: usize, queue: usize) -> Duration {
    let mut run = CostRun::new(servers, queue);
    let slots = run.settings.services[&run.service].servers.values();
    let slots: u32 = slots.map(|server| server.slots).sum();
    let started = if queue > 0 {
        slots as usize + queue
    } else {
        slots as usize / 2
    };
    for _ in 0..started {
        run.now += Duration::from_micros(10);
        run.ask();
    }
    for _ in 0..WARM_UP {
        run.round();
    }
    let begin = std::time::Instant::now();
    for _ in 0..ROUNDS {
        run.round();
    }
    begin.elapsed() / ROUNDS
}
