//! One run in virtual time: arrivals, servers with slots, and what the callers saw.

use super::{
    fault::{Deployment, FAULT_START, FaultKind, RUN_END},
    rule::{HostRule, RuleKind, TryEnd, listing},
};
use hdrhistogram::Histogram;
use kws_dispatch::{DispatchAction, DispatchRequest, ServerGrant, TicketId};
use kws_fixture::{SampleFleet, host_name, place_of, server_name};
use kws_health::ResponseOutcome;
use kws_protocol::{TeamName, TryKind};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Entry hosts.
const HOSTS: usize = 40;

/// The mean time in service.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// The longest wait that a server takes on before it sheds.
const SERVER_WAIT: Duration = Duration::from_millis(80);

/// The round trip between regions.
const REGION_TRIP: Duration = Duration::from_millis(30);

/// The time within which a request wants its answer.
const DEADLINE: Duration = Duration::from_secs(1);

/// The time between two ticks of a host, and how many ticks lie between digests.
const TICK: Duration = Duration::from_millis(10);
const TICKS_A_DIGEST: u64 = 50;
const TICKS_A_JUDGEMENT: u64 = 25;

/// The teams' shares of the load, which are also their weights.
const TEAMS: [f64; 8] = [0.3, 0.3, 0.0667, 0.0667, 0.0667, 0.0667, 0.0667, 0.0666];

/// The sizes, the fault and the rule of one run.
#[derive(Clone, Copy, Debug)]
pub struct TableRun {
    /// The deployment.
    pub deployment: Deployment,
    /// Servers of the service.
    pub servers: usize,
    /// What goes wrong.
    pub fault: FaultKind,
    /// The rule.
    pub rule: RuleKind,
    /// The share of the capacity that is asked for.
    pub load: f64,
    /// The seed.
    pub seed: u64,
}

/// What a run measured, from the start of the fault on.
#[derive(Clone, Debug, Default)]
pub struct RunScore {
    /// Until half of the hosts had ejected the sick server.
    pub detected: Option<Duration>,
    /// Ejections by one host of a server that was healthy for it.
    pub false_ejections: usize,
    /// The share of requests that met an error or a timeout.
    pub bad_share: f64,
    /// The share of requests that were refused without running.
    pub refused_share: f64,
    /// Good answers over entitlement of the team that fared worst.
    pub worst_team: f64,
    /// Of the good answers.
    pub p99_ms: u64,
}

enum RunEvent {
    Arrival,
    Finish(usize, TryEnd),
    Tick(usize, u64),
}

struct Caller {
    team: usize,
    arrived: Duration,
}

struct RunState {
    run: TableRun,
    start: Instant,
    now: Duration,
    hosts: Vec<Box<dyn HostRule>>,
    /// When each slot of each server is free again.
    slots: Vec<Vec<Duration>>,
    events: BTreeMap<(Duration, u64), RunEvent>,
    sequence: u64,
    callers: BTreeMap<TicketId, Caller>,
    ejected: BTreeSet<(usize, usize)>,
    score: RunScore,
    offered: [f64; 8],
    good: [f64; 8],
    bad: f64,
    refused: f64,
    latencies: Histogram<u64>,
    rng: SmallRng,
}

impl TableRun {
    /// Runs to the end.
    pub fn score(&self) -> RunScore {
        let mut state = RunState::new(*self);
        while let Some(((at, _), event)) = state.events.pop_first() {
            if at > RUN_END {
                break;
            }
            state.now = at;
            state.step(event);
        }
        state.finish()
    }

    fn capacity(&self) -> f64 {
        self.servers as f64 * 3.0 / SERVICE_TIME.as_secs_f64()
    }
}

impl RunState {
    fn new(run: TableRun) -> Self {
        let mut fleet = SampleFleet::new(HOSTS, run.servers);
        fleet.connections = run.deployment.connections();
        let snapshot = fleet.snapshot();
        let start = Instant::now();
        let mut state = Self {
            run,
            start,
            now: Duration::ZERO,
            hosts: (0..HOSTS)
                .map(|at| run.rule.host(at, &snapshot, start))
                .collect(),
            slots: vec![vec![Duration::ZERO; 3]; run.servers],
            events: BTreeMap::new(),
            sequence: 0,
            callers: BTreeMap::new(),
            ejected: BTreeSet::new(),
            score: RunScore::default(),
            offered: [0.0; 8],
            good: [0.0; 8],
            bad: 0.0,
            refused: 0.0,
            latencies: Histogram::new(3).expect("3 digits are in range"),
            rng: SmallRng::seed_from_u64(run.seed),
        };
        state.push(Duration::ZERO, RunEvent::Arrival);
        for host in 0..HOSTS {
            let phase = TICK.mul_f64(host as f64 / HOSTS as f64);
            state.push(phase, RunEvent::Tick(host, host as u64));
        }
        state
    }

    fn push(&mut self, at: Duration, event: RunEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn step(&mut self, event: RunEvent) {
        let now = self.start + self.now;
        match event {
            RunEvent::Arrival => self.arrive(now),
            RunEvent::Finish(host, end) => {
                self.count(&end);
                let actions = self.hosts[host].finish(&end, now);
                self.act(host, actions);
            }
            RunEvent::Tick(host, tick) => self.tick(host, tick, now),
        }
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    fn arrive(&mut self, now: Instant) {
        let mut weights = TEAMS;
        weights[0] *= self.run.fault.flood(self.now);
        let total: f64 = weights.iter().sum();
        let gap = Duration::from_secs_f64(1.0 / (self.run.capacity() * self.run.load * total));
        let next = self.now + self.exponential(gap);
        self.push(next, RunEvent::Arrival);
        let mut mark = self.rng.random::<f64>() * total;
        let passed = weights.iter().position(|weight| {
            mark -= weight;
            mark < 0.0
        });
        let team = passed.unwrap_or(0);
        let host = self.rng.random_range(0..HOSTS);
        let ticket = TicketId(self.sequence);
        if self.now >= FAULT_START {
            self.offered[team] += 1.0;
        }
        let arrived = self.now;
        self.callers.insert(ticket, Caller { team, arrived });
        let request = DispatchRequest {
            ticket,
            service: listing(),
            team: TeamName::new(&format!("team-{team}")),
            weight: TEAMS[team],
            objective: None,
            deadline: now + DEADLINE,
            priority: 0,
            repeatable: true,
            kind: TryKind::First,
            bytes: 2_000,

            unserved_share: 0.0,
            excluded: Vec::new(),
        };
        let actions = self.hosts[host].enqueue(request, now);
        self.act(host, actions);
    }

    fn act(&mut self, host: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Grant(grant) => self.run_try(host, &grant),
                DispatchAction::Refuse { ticket, .. } => {
                    let caller = self.callers.remove(&ticket);
                    if caller.is_some_and(|caller| caller.arrived >= FAULT_START) {
                        self.refused += 1.0;
                    }
                }
            }
        }
    }

    /// Runs a try at a server: its end is known as soon as it arrives there.
    fn run_try(&mut self, host: usize, grant: &ServerGrant) {
        let server = (0..self.run.servers)
            .find(|at| server_name("listing", *at) == grant.server)
            .expect("a server of the fleet");
        let fault = self.run.fault.meets(host, server, self.now);
        let trip = self.trip(host, server);
        let service = self.exponential(SERVICE_TIME).mul_f64(fault.slower);
        let failed = self.rng.random::<f64>() < fault.error;
        let slot = self.slots[server]
            .iter_mut()
            .min()
            .expect("servers have slots");
        let begin = (*slot).max(self.now + trip / 2);
        let (done, mut outcome) = if begin > self.now + trip / 2 + SERVER_WAIT {
            (self.now + trip, ResponseOutcome::NotRun)
        } else {
            *slot = begin + service;
            (begin + service + trip / 2, ResponseOutcome::Succeeded)
        };
        if failed && outcome == ResponseOutcome::Succeeded {
            outcome = ResponseOutcome::Failed;
        }
        let caller = &self.callers[&grant.ticket];
        let deadline = caller.arrived + DEADLINE;
        if done > deadline {
            outcome = ResponseOutcome::TimedOut;
        }
        let at = done.min(deadline).max(self.now);
        let end = TryEnd {
            ticket: grant.ticket,
            server: grant.server.clone(),
            outcome,
            latency: at.saturating_sub(self.now),
        };
        self.push(at, RunEvent::Finish(host, end));
    }

    fn trip(&self, host: usize, server: usize) -> Duration {
        let (from, to) = (place_of(host), place_of(server));
        if from == to {
            Duration::from_micros(100)
        } else if from.0 == to.0 {
            self.run.deployment.center_trip()
        } else {
            REGION_TRIP
        }
    }

    fn count(&mut self, end: &TryEnd) {
        if end.outcome == ResponseOutcome::NotRun {
            return;
        }
        let Some(caller) = self.callers.remove(&end.ticket) else {
            return;
        };
        if caller.arrived < FAULT_START {
            return;
        }
        if end.outcome.is_failure() {
            self.bad += 1.0;
            return;
        }
        self.good[caller.team] += 1.0;
        let latency = self.now.saturating_sub(caller.arrived);
        self.latencies.saturating_record(latency.as_millis() as u64);
    }

    fn tick(&mut self, host: usize, tick: u64, now: Instant) {
        self.push(self.now + TICK, RunEvent::Tick(host, tick + 1));
        if tick.is_multiple_of(TICKS_A_DIGEST) {
            let message = self.hosts[host].digest(now);
            for peer in (0..HOSTS).filter(|peer| *peer != host) {
                self.hosts[peer].receive(&host_name(host), &message, now);
            }
        }
        let judge = tick.is_multiple_of(TICKS_A_JUDGEMENT);
        let actions = self.hosts[host].tick(judge, now);
        self.act(host, actions);
        if judge {
            self.watch(host, now);
        }
    }

    /// Notes new ejections, and whether the sick server is out at half of the hosts.
    fn watch(&mut self, host: usize, now: Instant) {
        for server in 0..self.run.servers {
            let out = self.hosts[host].ejects(&server_name("listing", server), now);
            if !out {
                self.ejected.remove(&(host, server));
            } else if self.ejected.insert((host, server)) && !self.run.fault.sick(host, server) {
                self.score.false_ejections += 1;
            }
        }
        let Some(sick) = self.run.fault.sick_server() else {
            return;
        };
        let out = self.ejected.iter().filter(|(_, server)| *server == sick);
        if self.score.detected.is_none() && out.count() * 2 >= HOSTS {
            self.score.detected = Some(self.now.saturating_sub(FAULT_START));
        }
    }

    fn finish(mut self) -> RunScore {
        let offered: f64 = self.offered.iter().sum();
        let seconds = RUN_END.saturating_sub(FAULT_START).as_secs_f64();
        let shares = (0..TEAMS.len()).map(|team| {
            let share = TEAMS[team] * self.run.capacity() * seconds;
            self.good[team] / self.offered[team].min(share)
        });
        self.score.worst_team = shares.fold(f64::INFINITY, f64::min);
        self.score.bad_share = self.bad / offered;
        self.score.refused_share = self.refused / offered;
        self.score.p99_ms = self.latencies.value_at_quantile(0.99);
        self.score
    }
}
