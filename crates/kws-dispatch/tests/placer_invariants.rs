//! What holds for a placer after every event, whatever the order of events.

use kws_dispatch::{PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, ServerHealth};
use kws_fixture::SampleFleet;
use kws_protocol::{
    CenterName, FleetSettings, HostName, RegionName, ServerLoad, ServerName, ServiceName,
    SlotOutcome, TeamName, TryKind,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

const SERVERS: usize = 8;
const CENTERS: [&str; 2] = ["turaida", "ligatne"];

#[derive(Clone, Debug)]
enum Event {
    /// A request arrives; the numbers select its kind, its data centre and a server to exclude.
    Ask {
        repeatable: bool,
        kind: u8,
        center: usize,
        excluded: Option<usize>,
    },
    /// The n-th running request ends.
    End {
        index: usize,
        outcome: SlotOutcome,
        ms: u64,
    },
    /// Time passes.
    Advance(u64),
    /// A server is removed from the settings, or returns.
    Toggle(usize),
    /// Another host of the region reports a load.
    Load(usize, u32),
    /// A queued or running request is cancelled.
    Cancel(usize),
}

fn event() -> impl Strategy<Value = Event> {
    // A failed connection or a rejection makes a healthy server rest for a while, which its health
    // doesn't show.
    let outcome = prop_oneof![
        5 => Just(SlotOutcome::Succeeded),
        3 => Just(SlotOutcome::Failed),
        1 => Just(SlotOutcome::TimedOut),
    ];
    let excluded = prop_oneof![3 => Just(None), 1 => (0..SERVERS).prop_map(Some)];
    prop_oneof![
        6 => (any::<bool>(), 0..3_u8, 0..2_usize, excluded).prop_map(
            |(repeatable, kind, center, excluded)| Event::Ask { repeatable, kind, center, excluded }
        ),
        5 => (0..64_usize, outcome, prop_oneof![Just(5_u64), Just(200)]).prop_map(
            |(index, outcome, ms)| Event::End { index, outcome, ms }
        ),
        3 => prop_oneof![1..50_u64, 500..4_000_u64].prop_map(Event::Advance),
        1 => (0..SERVERS).prop_map(Event::Toggle),
        1 => ((0..SERVERS), 0..4_u32).prop_map(|(server, load)| Event::Load(server, load)),
        1 => (0..64_usize).prop_map(Event::Cancel),
    ]
}

struct Checked {
    placer: Placer,
    settings: FleetSettings,
    all: FleetSettings,
    service: ServiceName,
    names: Vec<ServerName>,
    now: Instant,
    last_key: u64,
    /// Excluded servers of the requests that are queued.
    queued: BTreeMap<u64, Vec<ServerName>>,
    running: Vec<(u64, ServerName)>,
    reported: BTreeMap<ServerName, (u32, Instant)>,
}

impl Checked {
    fn new() -> Self {
        let mut settings = SampleFleet::new(1, SERVERS).settings();
        let region = RegionName::new("vidzemes");
        let (service, one) = settings.services.iter_mut().next().expect("a service");
        let service = service.clone();
        one.ejection.base = Duration::from_secs(2);
        one.ejection.max = Duration::from_secs(3);
        one.slow_start = Duration::ZERO;
        for (at, server) in one.servers.values_mut().enumerate() {
            server.region = region.clone();
            server.center = CenterName::new(CENTERS[at % 2]);
        }
        let names = one.servers.keys().cloned().collect();
        let now = Instant::now();
        let mut placer = Placer::new(region, 7);
        placer.apply_settings(&settings, now);
        Self {
            placer,
            all: settings.clone(),
            settings,
            service,
            names,
            now,
            last_key: 0,
            queued: BTreeMap::new(),
            running: Vec::new(),
            reported: BTreeMap::new(),
        }
    }

    fn play(&mut self, event: &Event) {
        match event {
            Event::Ask {
                repeatable,
                kind,
                center,
                excluded,
            } => self.ask(*repeatable, *kind, *center, *excluded),
            Event::End { index, outcome, ms } => self.end(*index, *outcome, *ms),
            Event::Advance(ms) => self.now += Duration::from_millis(*ms),
            Event::Toggle(server) => self.toggle(*server),
            Event::Load(server, load) => self.report_load(*server, *load),
            Event::Cancel(index) => self.cancel(*index),
        }
        let actions = self.placer.tick(self.now);
        self.apply(&actions);
    }

    fn ask(&mut self, repeatable: bool, kind: u8, center: usize, excluded: Option<usize>) {
        self.last_key += 1;
        let key = self.last_key;
        let excluded: Vec<ServerName> = excluded
            .map(|at| self.names[at].clone())
            .into_iter()
            .collect();
        self.queued.insert(key, excluded.clone());
        let request = PlaceRequest {
            key,
            service: self.service.clone(),
            center: CenterName::new(CENTERS[center]),
            team: TeamName::new("orchard"),
            weight: 1.0,
            priority: 1,
            deadline: self.now + Duration::from_mins(1),
            objective: Some(self.now + Duration::from_secs(50)),
            repeatable,
            bytes: 1_000,
            unserved_share: 0.0,
            excluded,
            kind: [TryKind::First, TryKind::Replacement, TryKind::Retry][usize::from(kind)],
            uncoordinated: false,
        };
        let actions = self.placer.request_slot(request, self.now);
        self.apply(&actions);
    }

    fn apply(&mut self, actions: &[PlaceAction]) {
        for action in actions {
            match action {
                PlaceAction::Grant { key, server, .. } => {
                    let excluded = self.queued.remove(key).expect("was queued");
                    assert!(!excluded.contains(server), "an excluded server");
                    let present = &self.settings.services[&self.service].servers;
                    assert!(present.contains_key(server), "a server that left");
                    self.running.push((*key, server.clone()));
                    let slots = present[server].slots as usize;
                    assert!(self.own_load(server) <= slots, "too many on {server}");
                }
                PlaceAction::Refuse { key, .. } => {
                    self.queued.remove(key).expect("was queued");
                }
                PlaceAction::HealthChanged { .. } => {}
            }
        }
    }

    fn own_load(&self, server: &ServerName) -> usize {
        self.running
            .iter()
            .filter(|(_, name)| name == server)
            .count()
    }

    fn end(&mut self, index: usize, outcome: SlotOutcome, ms: u64) {
        if self.running.is_empty() {
            return;
        }
        let (key, server) = self.running.remove(index % self.running.len());
        let reporter = HostName::new(&format!("host-{key}"));
        let report = PlaceReport {
            reporter: &reporter,
            server: Some(&server),
            outcome: PlaceOutcome {
                outcome,
                latency: Duration::from_millis(ms),
                draining: false,
            },
        };
        let service = self.service.clone();
        let actions = self.placer.complete(key, &service, report, self.now);
        self.apply(&actions);
    }

    fn toggle(&mut self, server: usize) {
        let name = &self.names[server];
        let full = self.all.services[&self.service].servers[name].clone();
        let service = self.settings.services.get_mut(&self.service);
        let servers = &mut service.expect("a service").servers;
        if servers.remove(name).is_none() {
            servers.insert(name.clone(), full);
        }
        // The requests of a server that left run on, but count no longer when it returns.
        let present: BTreeSet<ServerName> = servers.keys().cloned().collect();
        self.running.retain(|(_, server)| present.contains(server));
        self.reported.retain(|server, _| present.contains(server));
        let actions = self.placer.apply_settings(&self.settings, self.now);
        self.apply(&actions);
    }

    fn report_load(&mut self, server: usize, placed: u32) {
        let load = ServerLoad {
            server: self.names[server].clone(),
            placed,
            evidence: 0.0,
        };
        self.reported = BTreeMap::from([(load.server.clone(), (placed, self.now))]);
        let region = RegionName::new("zemgales");
        self.placer
            .apply_loads(&self.service, &[load], &region, self.now);
    }

    fn cancel(&mut self, index: usize) {
        let keys: Vec<u64> = self.queued.keys().copied().collect();
        let Some(key) = keys.get(index % keys.len().max(1)) else {
            return;
        };
        self.queued.remove(key);
        let actions = self.placer.cancel(*key, self.now);
        self.apply(&actions);
    }

    /// No request waits while a healthy server that it may use has a free slot.
    fn check_queue(&self) {
        assert_eq!(self.placer.queue_length(), self.queued.len());
        for (service, server, health) in self.placer.server_health(self.now) {
            let slots = self.settings.services[service].servers[server].slots;
            let reported = self.reported.get(server);
            let reported = reported.map_or(0, |(placed, _)| *placed);
            let is_free = self.own_load(server) as u32 + reported < slots;
            if health != ServerHealth::Healthy || !is_free {
                continue;
            }
            let waits = |excluded: &Vec<ServerName>| !excluded.contains(server);
            assert!(!self.queued.values().any(waits), "{server} has a free slot");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Slots are never exceeded, no request goes to a server that it must not use, and none waits
    /// while a server is free for it.
    #[test]
    fn placed_requests(events in prop::collection::vec(event(), 1..200)) {
        let mut checked = Checked::new();
        for event in &events {
            checked.play(event);
            checked.check_queue();
        }
    }
}
