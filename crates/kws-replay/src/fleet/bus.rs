//! The message bus of a trace, on virtual time.

mod steps;

use super::{
    NodeFactory, NodeIdentity,
    host::{HostPhase, TraceHost},
    links::LinkFaults,
    outcome::OutcomeCheck,
    platform::{FakePlatform, WatchCall, WatchReply},
    trace::{FleetTrace, PLATFORM, TraceStep},
};
use crate::ReplayFinding;
use kws_membership::FleetAction;
use kws_protocol::{HostName, PeerMessage, RegionName};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// How often hosts tick, in parts of the lease.
const TICKS_PER_LEASE: f64 = 12.0;

/// Something due at a virtual time.
#[derive(Clone, Debug)]
pub(super) enum BusEvent {
    /// An event of the trace.
    Step(TraceStep),
    /// A host ticks.
    Tick(HostName),
    /// A host calls the platform.
    Call(HostName),
    /// A message arrives.
    Deliver {
        from: HostName,
        to: HostName,
        message: PeerMessage,
    },
    /// A call arrives at the platform.
    Arrive(WatchCall),
    /// The wait of a call is over.
    Expire { host: HostName, id: u64 },
    /// A reply arrives, or the host stops waiting for it.
    Reply {
        host: HostName,
        id: u64,
        reply: WatchReply,
    },
    /// The outcomes are checked.
    Check,
}

/// The running trace.
pub(super) struct FleetBus<'a> {
    factory: &'a NodeFactory,
    start: Instant,
    at: Duration,
    end: Duration,
    tick: Duration,
    queue: BTreeMap<Duration, VecDeque<BusEvent>>,
    hosts: BTreeMap<HostName, TraceHost>,
    platform: FakePlatform,
    links: LinkFaults,
    checks: Vec<OutcomeCheck<'a>>,
}

impl<'a> FleetBus<'a> {
    pub(super) fn new(trace: &'a FleetTrace, factory: &'a NodeFactory) -> Self {
        let mut bus = Self {
            factory,
            start: Instant::now(),
            at: Duration::ZERO,
            end: Duration::from_secs_f64(trace.length),
            tick: Duration::from_secs_f64(trace.lease / TICKS_PER_LEASE),
            queue: BTreeMap::new(),
            hosts: BTreeMap::new(),
            platform: FakePlatform::new(trace),
            links: LinkFaults::default(),
            checks: trace.outcomes.iter().map(OutcomeCheck::new).collect(),
        };
        for (region, names) in &trace.hosts {
            for name in names {
                bus.start_host(name, region);
            }
        }
        for event in &trace.events {
            let at = Duration::from_secs_f64(event.value.at);
            bus.queue_at(at, BusEvent::Step(event.value.step.clone()));
        }
        let begins: Vec<Duration> = bus.checks.iter().map(OutcomeCheck::begins).collect();
        for at in begins {
            bus.queue_at(at, BusEvent::Check);
        }
        bus.queue_at(Duration::ZERO, BusEvent::Check);
        bus
    }

    /// Runs to the end and returns the breaches in the order of the file.
    pub(super) fn run(mut self) -> Vec<ReplayFinding> {
        while let Some(mut slot) = self.queue.first_entry() {
            if *slot.key() > self.end {
                break;
            }
            self.at = *slot.key();
            match slot.get_mut().pop_front() {
                Some(event) => self.handle(event),
                None => drop(slot.remove()),
            }
        }
        let checks = self.checks.into_iter();
        checks.filter_map(OutcomeCheck::into_finding).collect()
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn queue_at(&mut self, at: Duration, event: BusEvent) {
        self.queue.entry(at).or_default().push_back(event);
    }

    fn queue_in(&mut self, delay: Duration, event: BusEvent) {
        self.queue_at(self.at + delay, event);
    }

    fn handle(&mut self, event: BusEvent) {
        match event {
            BusEvent::Step(step) => self.step(&step),
            BusEvent::Arrive(call) => self.arrive(call),
            BusEvent::Expire { host, id } => {
                let expired = self.platform.expire(&host, id);
                self.reply_all(expired.into_iter().collect());
            }
            BusEvent::Check => {
                self.check();
                self.queue_in(self.tick, BusEvent::Check);
            }
            event => self.handle_host(event),
        }
    }

    /// Events of one host wait while it is paused and are lost once it is dead.
    fn handle_host(&mut self, event: BusEvent) {
        let name = match &event {
            BusEvent::Tick(name) | BusEvent::Call(name) => name.clone(),
            BusEvent::Deliver { to, .. } => to.clone(),
            BusEvent::Reply { host, .. } => host.clone(),
            _ => return,
        };
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        match host.phase {
            HostPhase::Running => self.run_host(&name, event),
            HostPhase::Paused => host.backlog.push(event),
            HostPhase::Dead => {}
        }
    }

    fn run_host(&mut self, name: &HostName, event: BusEvent) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let actions = match event {
            BusEvent::Tick(_) => {
                let actions = host.node.tick(now);
                self.queue_in(self.tick, BusEvent::Tick(name.clone()));
                actions
            }
            BusEvent::Call(_) => return self.call(name),
            BusEvent::Deliver { from, message, .. } => host.node.receive(&from, message, now),
            BusEvent::Reply { id, reply, .. } => {
                let Some(actions) = host.take(id, reply, now) else {
                    return;
                };
                let pause = host.next_call();
                self.queue_in(pause, BusEvent::Call(name.clone()));
                actions
            }
            _ => return,
        };
        self.send_all(name, actions);
    }

    fn send_all(&mut self, from: &HostName, actions: Vec<FleetAction>) {
        for action in actions {
            if let FleetAction::Send { to, message } = action {
                self.send(from, to, message);
            }
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: PeerMessage) {
        if let Some(delay) = self.links.delay(from, &to) {
            let from = from.clone();
            self.queue_in(delay, BusEvent::Deliver { from, to, message });
        }
    }

    fn call(&mut self, name: &HostName) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let call = host.call(now);
        let patience = host.patience(&call);
        let failed = BusEvent::Reply {
            host: name.clone(),
            id: call.id,
            reply: WatchReply::Failed,
        };
        self.queue_in(patience, failed);
        if let Some(delay) = self.links.delay(name, &HostName::new(PLATFORM)) {
            self.queue_in(delay, BusEvent::Arrive(call));
        }
    }

    fn arrive(&mut self, call: WatchCall) {
        let expire = BusEvent::Expire {
            host: call.host.clone(),
            id: call.id,
        };
        self.queue_in(call.wait, expire);
        let ended = self.platform.take(call);
        self.reply_all(ended);
    }

    fn reply_all(&mut self, calls: Vec<WatchCall>) {
        for call in calls {
            let Some(delay) = self.links.delay(&HostName::new(PLATFORM), &call.host) else {
                continue;
            };
            let reply = BusEvent::Reply {
                reply: self.platform.reply(&call),
                host: call.host,
                id: call.id,
            };
            self.queue_in(delay, reply);
        }
    }

    fn start_host(&mut self, name: &str, region: &str) {
        let identity = NodeIdentity {
            name: HostName::new(name),
            region: RegionName::new(region),
            born: self.now(),
        };
        let name = identity.name.clone();
        let node = (self.factory)(&identity);
        self.hosts
            .insert(name.clone(), TraceHost::new(identity, node));
        self.queue_in(Duration::ZERO, BusEvent::Call(name.clone()));
        self.queue_in(self.tick, BusEvent::Tick(name));
    }

    fn check(&mut self) {
        let (now, at) = (self.now(), self.at);
        let mut checks = std::mem::take(&mut self.checks);
        for check in &mut checks {
            let names = check.open_names(at).unwrap_or_default();
            for name in self.expand(names) {
                if let Some(host) = self.hosts.get(&name) {
                    check.check(host, now, at);
                }
            }
        }
        self.checks = checks;
    }
}
