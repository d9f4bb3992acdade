//! The fleet, the store, the servers and the operator in one order of events.

mod drills;
mod faults;

use super::{
    CALM,
    backends::Backends,
    checks::BrokenPromise,
    host::OrderHost,
    links::Links,
    operator::Operator,
    plan::{HostFault, OrderOptions, PlannedEvent, plan_events},
    seconds,
    store::OrderStore,
    values::ActiveState,
};
use kws_membership::{FleetAction, FleetProtocol};
use kws_protocol::{HostName, PeerMessage};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(25);
/// Hosts of an order that doesn't state their number.
const HOSTS: std::ops::RangeInclusive<usize> = 4..=9;
/// Seeds of the fleet, of which one stays up.
const SEEDS: usize = 3;
/// Servers at the start.
const FIRST_SERVERS: usize = 4;
/// An order that isn't calm by then ends.
const LONGEST_ORDER: Duration = Duration::from_secs(90);
/// How long reads of the store are counted from its going away on.
const READ_COUNT_TIME: Duration = Duration::from_secs(5);

/// What a return of the store from a copy costs.
#[derive(Clone, Debug)]
pub struct DrillCost {
    /// How long the store was away.
    pub away: Duration,
    /// Reads by all hosts in the 5 s after the store went away.
    pub reads: usize,
    /// Bytes that all hosts sent to each other in the 5 s before the store went away.
    pub bytes_before: usize,
    /// Bytes that they sent to each other in the 5 s after it.
    pub bytes: usize,
    /// Bytes that the busiest host sent then.
    pub busiest: usize,
    /// Number of changes with retained values that were sent then.
    pub retained: usize,
    /// Bytes of these changes.
    pub retained_bytes: usize,
    /// Number of messages that were too large to be sent then.
    pub too_large: usize,
    /// Hosts that read then, by region.
    pub readers: BTreeMap<String, usize>,
}

/// What happened in one order.
#[derive(Clone, Debug)]
pub struct OrderReport {
    /// The seed of the order.
    pub seed: u64,
    /// Number of hosts at the start.
    pub hosts: usize,
    /// The promises that did not hold.
    pub broken: Vec<BrokenPromise>,
    /// The events with their times.
    pub trace: Vec<String>,
    /// The cost of each return of the store.
    pub drills: Vec<DrillCost>,
}

enum Scheduled {
    Planned(PlannedEvent),
    Return {
        copy_age: Duration,
        counts_from_return: bool,
    },
    StartHost(usize),
    Heal {
        name: HostName,
        fault: HostFault,
    },
    LossEnds,
    CountCost {
        away: Duration,
        before: DrillStart,
    },
}

/// What was counted when the store went away.
struct DrillStart {
    /// Reads of each host.
    reads: BTreeMap<HostName, usize>,
    /// Bytes sent by each host.
    bytes_of: BTreeMap<HostName, usize>,
    /// Number of changes with retained values, and their bytes.
    retained: (usize, usize),
    /// Number of messages that were too large.
    too_large: usize,
}

pub(super) struct World {
    start: Instant,
    pub(super) now: Instant,
    rng: StdRng,
    pub(super) store: OrderStore,
    pub(super) operator: Operator,
    pub(super) backends: Backends,
    pub(super) hosts: BTreeMap<usize, OrderHost>,
    links: Links,
    /// Bytes sent between hosts up to each step.
    step_bytes: Vec<usize>,
    queue: BTreeMap<(Instant, u64), Scheduled>,
    scheduled: u64,
    starts: u64,
    joined: usize,
    /// The count of changes before the last return of the store.
    lost_count: u64,
    trace: Vec<String>,
    pub(super) broken: Vec<BrokenPromise>,
    drills: Vec<DrillCost>,
}

/// Plays the order of events of a seed.
pub fn run_order(seed: u64, options: OrderOptions) -> OrderReport {
    let mut world = World::new(seed, options);
    let hosts = world.hosts.len();
    world.run();
    OrderReport {
        seed,
        hosts,
        broken: world.broken,
        trace: world.trace,
        drills: world.drills,
    }
}

impl World {
    fn new(seed: u64, options: OrderOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut store = OrderStore::new(rng.random_range(1..100), start);
        let operator = Operator::new(options.teams, &mut store, start);
        let mut world = Self {
            start,
            now: start,
            store,
            operator,
            backends: Backends::new(),
            hosts: BTreeMap::new(),
            links: Links::default(),
            step_bytes: Vec::new(),
            queue: BTreeMap::new(),
            scheduled: 0,
            starts: 0,
            joined: 0,
            lost_count: 0,
            trace: Vec::new(),
            broken: Vec::new(),
            drills: Vec::new(),
            rng,
        };
        for _ in 0..FIRST_SERVERS {
            world.join_server();
        }
        let hosts = world.rng.random_range(HOSTS);
        for number in 0..options.hosts.unwrap_or(hosts) {
            let delay = Duration::from_millis(world.rng.random_range(0..300));
            world.schedule(delay, Scheduled::StartHost(number));
        }
        for (at, event) in plan_events(options, &mut world.rng) {
            world.schedule(at, Scheduled::Planned(event));
        }
        while world.elapsed() < Duration::from_millis(300) {
            world.step();
        }
        world
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.start)
    }

    /// The moment `time` ago.
    pub(super) fn before(&self, time: Duration) -> Instant {
        self.now.checked_sub(time).unwrap_or(self.start)
    }

    pub(super) fn note(&mut self, text: &str) {
        self.trace
            .push(format!("{} {text}", seconds(self.elapsed())));
    }

    fn schedule(&mut self, delay: Duration, event: Scheduled) {
        self.scheduled += 1;
        self.queue.insert((self.now + delay, self.scheduled), event);
    }

    fn run(&mut self) {
        while !self.is_calm() && self.elapsed() < LONGEST_ORDER {
            self.step();
        }
        self.check_settled();
    }

    /// Whether nothing has happened for [`CALM`], and nothing will.
    fn is_calm(&self) -> bool {
        let impaired = self.hosts.values().map(|host| host.impaired);
        let last = impaired.chain([self.store.changed()]).max();
        self.queue.is_empty() && last.is_some_and(|last| self.now >= last + CALM)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.step_bytes.push(self.links.bytes);
        while let Some(event) = self.next_due() {
            self.handle(event);
        }
        self.update_store();
        while let Some((from, to, message)) = self.links.next_arrived(self.now) {
            self.deliver(&from, &to, message);
        }
        let numbers: Vec<usize> = self.hosts.keys().copied().collect();
        for number in numbers {
            self.run_host(number);
        }
        self.check_hosts();
    }

    fn next_due(&mut self) -> Option<Scheduled> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= self.now).then(|| entry.remove())
    }

    fn update_store(&mut self) {
        let before = self.store.revision();
        for id in self.store.tick(self.now) {
            self.note(&format!("the entry of {id} is removed after silence"));
        }
        for note in self.backends.tick(&mut self.store, self.now) {
            self.note(&note);
        }
        let written = self.operator.tick(&mut self.store, &mut self.rng, self.now);
        if let Some(text) = written {
            self.note(&format!(
                "operator: {text}, revision {}",
                self.store.revision()
            ));
        }
        if self.store.revision() != before {
            self.backends.record_held(&self.store, self.now);
        }
    }

    fn run_host(&mut self, number: usize) {
        let now = self.now;
        let lossy = self.links.loss > 0.0;
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        if host.is_impaired() || lossy {
            host.impaired = now;
        }
        if host.faults.suspended {
            return;
        }
        for (from, message) in std::mem::take(&mut host.inbox) {
            self.receive(number, &from, message);
        }
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        let mut actions = host.read_store(&self.store, &mut self.rng, now);
        if now >= host.next_tick {
            host.next_tick = now + host.view.tick_interval();
            actions.extend(host.view.tick(now));
        }
        self.carry_out(number, actions);
    }

    fn receive(&mut self, number: usize, from: &HostName, message: PeerMessage) {
        if let Some(host) = self.hosts.get_mut(&number) {
            let actions = host.view.receive(from, message, self.now);
            self.carry_out(number, actions);
        }
    }

    fn deliver(&mut self, from: &HostName, to: &HostName, message: PeerMessage) {
        let sender = self.hosts.values().find(|host| host.name == *from);
        let is_cut = sender.is_some_and(|host| host.faults.peers_cut);
        let Some(target) = self.hosts.values_mut().find(|host| to.matches(&host.name)) else {
            return;
        };
        if is_cut || target.faults.peers_cut {
            return;
        }
        if target.faults.suspended {
            target.inbox.push((from.clone(), message));
            return;
        }
        let number = target.number;
        self.receive(number, from, message);
    }

    fn carry_out(&mut self, number: usize, actions: Vec<FleetAction>) {
        for action in actions {
            let Some(host) = self.hosts.get_mut(&number) else {
                return;
            };
            match action {
                FleetAction::Send { to, message } => {
                    self.links
                        .send(&host.name, to, &message, &mut self.rng, self.now);
                }
                FleetAction::Publish(snapshot) => {
                    let state = ActiveState::of_settings(&snapshot.settings);
                    self.record_published(number, state);
                }
                FleetAction::Readiness(readiness) => {
                    host.is_ready = readiness.is_ready();
                    self.note(&format!("host {number}: readiness {readiness}"));
                }
                FleetAction::Reject { findings, .. } => {
                    self.note(&format!("host {number}: rejects: {findings}"));
                }
                FleetAction::SetContacts(_) => {}
            }
        }
    }

    fn handle(&mut self, event: Scheduled) {
        match event {
            Scheduled::Planned(event) => self.handle_planned(event),
            Scheduled::Return {
                copy_age,
                counts_from_return,
            } => self.restore_store(copy_age, counts_from_return),
            Scheduled::StartHost(number) => self.start_host(number),
            Scheduled::Heal { name, fault } => self.heal(&name, fault),
            Scheduled::LossEnds => {
                self.links.loss = 0.0;
                self.note("no more messages are lost");
            }
            Scheduled::CountCost { away, before } => self.count_cost(away, &before),
        }
    }

    fn handle_planned(&mut self, event: PlannedEvent) {
        match event {
            PlannedEvent::Configure => {
                let written = self
                    .operator
                    .configure(&mut self.store, &mut self.rng, self.now);
                if let Some(text) = written {
                    self.note(&format!(
                        "operator: {text}, revision {}",
                        self.store.revision()
                    ));
                }
            }
            PlannedEvent::Join => self.join_server(),
            PlannedEvent::Drain | PlannedEvent::Leave | PlannedEvent::Die => {
                self.end_server(event);
            }
            PlannedEvent::StartAgain => {
                let mut ids = self.backends.in_service();
                ids.extend(self.backends.ended());
                if let Some(id) = self.pick(&ids) {
                    self.note(&format!("{id} starts again"));
                    self.backends.start(&id, self.now);
                }
            }
            PlannedEvent::OtherChanges(changes) => self.count_other_changes(changes),
            PlannedEvent::CatchUp { beyond } => {
                let wanted = self.lost_count + beyond;
                self.count_other_changes(wanted.saturating_sub(self.store.revision().count()));
            }
            PlannedEvent::Drill {
                away,
                copy_age,
                counts_from_return,
            } => self.lose_store(away, copy_age, counts_from_return),
            PlannedEvent::Fault { fault, time } => self.impair(fault, time),
            PlannedEvent::Loss { share, time } => {
                self.note(&format!("{share:.2} of all messages are lost"));
                self.links.loss = share;
                self.schedule(time, Scheduled::LossEnds);
            }
        }
    }

    fn pick(&mut self, ids: &[String]) -> Option<String> {
        if ids.is_empty() {
            return None;
        }
        Some(ids[self.rng.random_range(0..ids.len())].clone())
    }

    fn join_server(&mut self) {
        self.joined += 1;
        let id = format!("i-{}", self.joined);
        self.note(&format!("{id} joins"));
        self.backends.start(&id, self.now);
    }

    /// Ends one of several servers in service.
    fn end_server(&mut self, event: PlannedEvent) {
        let ids = self.backends.in_service();
        if ids.len() < 2 {
            return;
        }
        let Some(id) = self.pick(&ids) else {
            return;
        };
        match event {
            PlannedEvent::Drain => {
                self.note(&format!("{id} drains"));
                self.backends.drain(&id, &mut self.rng, self.now);
            }
            PlannedEvent::Leave => {
                self.note(&format!("{id} leaves without a report"));
                self.backends.leave(&id, &mut self.store, self.now);
                self.backends.record_held(&self.store, self.now);
            }
            _ => {
                self.note(&format!("{id} dies"));
                self.backends.end(&id);
            }
        }
    }

    fn count_other_changes(&mut self, changes: u64) {
        if self.store.is_away() || changes == 0 {
            return;
        }
        self.store.count_other_changes(changes, self.now);
        self.note(&format!(
            "other changes, revision {}",
            self.store.revision()
        ));
    }
}
