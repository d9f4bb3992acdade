//! Turns a trace into a fleet with its future.

use super::{
    model::{FleetEvent, LimitsFleet, NetworkModel, PLATFORM, RuleMaker},
    trace::{ArrivalStep, CutStep, LimitsEvent, LimitsStep, LimitsTrace, ListStep, StartStep},
};
use crate::ReplayFinding;
use kws_protocol::{
    FleetSettings, FleetSnapshot, FreshnessSettings, HostList, HostName, HostState, ListedHost,
    RegionName, RegionSettings, TeamName, TeamSettings, TreeRevision,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_saphyr::Spanned;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// One way within a region, and between regions.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(30);

/// Questions of a host in a lease.
const POLLS: u32 = 4;

/// How far each clock may be off, in parts of a million.
const DRIFT_PPM: u32 = 200;

/// A host as it starts; its place in the list of these is its number in the fleet.
struct PlannedHost<'a> {
    name: &'a str,
    region: &'a str,
    at: f64,
}

struct FleetPlan<'a> {
    trace: &'a LimitsTrace,
    fleet: LimitsFleet,
    hosts: Vec<PlannedHost<'a>>,
    listed: Vec<(String, String)>,
    revision: u64,
    rng: StdRng,
    unknown: Vec<ReplayFinding>,
    line: u64,
    at: f64,
}

/// The fleet of a trace, or one finding for each name that it uses without making it.
pub(super) fn planned(
    trace: &LimitsTrace,
    maker: RuleMaker,
) -> Result<LimitsFleet, Vec<ReplayFinding>> {
    let mut events: Vec<&Spanned<LimitsEvent>> = trace.events.iter().collect();
    events.sort_by(|left, right| left.value.at.total_cmp(&right.value.at));
    let mut plan = FleetPlan {
        trace,
        fleet: empty_fleet(trace, maker),
        hosts: planned_hosts(trace, &events),
        listed: initial_list(trace),
        revision: 0,
        rng: StdRng::seed_from_u64(trace.seed),
        unknown: Vec::new(),
        line: 0,
        at: 0.0,
    };
    plan.start_hosts();
    plan.publish(&ListStep::default());
    for event in events {
        (plan.line, plan.at) = (event.referenced.line(), event.value.at);
        plan.take(&event.value.step);
    }
    for outcome in &trace.outcomes {
        plan.line = outcome.referenced.line();
        plan.team(&outcome.value.team);
    }
    if plan.unknown.is_empty() {
        return Ok(plan.fleet);
    }
    Err(plan.unknown)
}

fn empty_fleet(trace: &LimitsTrace, maker: RuleMaker) -> LimitsFleet {
    let network = NetworkModel {
        near: NEAR,
        far: FAR,
        lost: 0.0,
        repeated: 0.0,
        late: 0.0,
        late_by: Duration::ZERO,
    };
    let teams = trace.teams.iter();
    let teams: Vec<(TeamName, f64, f64)> = teams
        .map(|(name, total)| (TeamName::new(name), total.rate, total.burst))
        .collect();
    LimitsFleet::new(trace.seed, network, &teams, Duration::ZERO, maker).with_pace(
        Duration::from_secs_f64(trace.tick),
        Duration::from_secs_f64(trace.lease) / POLLS,
    )
}

fn planned_hosts<'a>(
    trace: &'a LimitsTrace,
    events: &[&'a Spanned<LimitsEvent>],
) -> Vec<PlannedHost<'a>> {
    let initial = trace.hosts.iter().flat_map(|(region, names)| {
        let host = |name: &'a String| PlannedHost {
            name,
            region,
            at: 0.0,
        };
        names.iter().map(host)
    });
    let later = events.iter().filter_map(|event| match &event.value.step {
        LimitsStep::Start(StartStep { host, region, .. }) => Some(PlannedHost {
            name: host,
            region,
            at: event.value.at,
        }),
        _ => None,
    });
    initial.chain(later).collect()
}

fn initial_list(trace: &LimitsTrace) -> Vec<(String, String)> {
    pairs(&trace.hosts)
}

/// (host, region) of each host by region.
fn pairs(hosts: &BTreeMap<String, Vec<String>>) -> Vec<(String, String)> {
    let pairs = hosts
        .iter()
        .flat_map(|(region, names)| names.iter().map(|name| (name.clone(), region.clone())));
    pairs.collect()
}

impl FleetPlan<'_> {
    fn plan(&mut self, event: FleetEvent) {
        self.fleet.plan(Duration::from_secs_f64(self.at), event);
    }

    fn start_hosts(&mut self) {
        for (index, host) in self.hosts.iter().enumerate() {
            // Half of the clocks run fast, half slow, as far as the settings allow.
            let sign = if index % 2 == 0 { 1.0 } else { -1.0 };
            let drift = sign * f64::from(DRIFT_PPM) * 1e-6;
            let (name, region) = (HostName::new(host.name), RegionName::new(host.region));
            let event = FleetEvent::Start(name, region, drift);
            self.fleet.plan(Duration::from_secs_f64(host.at), event);
        }
    }

    fn take(&mut self, step: &LimitsStep) {
        match step {
            LimitsStep::Publish(list) => self.publish(list),
            LimitsStep::Start(start) => self.readdress(start),
            LimitsStep::Kill(names) => {
                for host in self.started(names) {
                    self.plan(FleetEvent::Kill(host));
                }
            }
            LimitsStep::Pause(pause) => {
                let time = Duration::from_secs_f64(pause.seconds);
                for host in self.started(&pause.hosts) {
                    self.plan(FleetEvent::Pause(host, time));
                }
            }
            LimitsStep::Cut(cut) => self.cut(cut, false),
            LimitsStep::Split(cut) => self.cut(cut, true),
            LimitsStep::PlatformDown(seconds) => {
                let (all, time) = (
                    (0..self.hosts.len()).collect(),
                    Duration::from_secs_f64(*seconds),
                );
                self.plan(FleetEvent::Cut(vec![PLATFORM], all, time));
            }
            LimitsStep::Stale(stale) => {
                let hosts = self.numbers(&stale.hosts);
                let time = Duration::from_secs_f64(stale.seconds);
                self.plan(FleetEvent::Stale(
                    hosts,
                    TreeRevision::first(stale.revision),
                    time,
                ));
            }
            LimitsStep::Arrivals(arrivals) => self.arrive(arrivals),
        }
    }

    fn cut(&mut self, cut: &CutStep, both: bool) {
        let (from, to) = (self.numbers(&cut.from), self.numbers(&cut.to));
        let time = Duration::from_secs_f64(cut.seconds);
        if both {
            self.plan(FleetEvent::Cut(to.clone(), from.clone(), time));
        }
        self.plan(FleetEvent::Cut(from, to, time));
    }

    fn readdress(&mut self, start: &StartStep) {
        let Some(old) = &start.address_of else { return };
        self.numbers(std::slice::from_ref(old));
        let (old, new) = (HostName::new(old), HostName::new(&start.host));
        self.plan(FleetEvent::Readdress(old, new));
    }

    fn arrive(&mut self, arrivals: &ArrivalStep) {
        let team = self.team(&arrivals.team);
        let hosts = self.started(&arrivals.hosts);
        let (Some(team), false) = (team, hosts.is_empty()) else {
            return;
        };
        let end = self.at + arrivals.seconds;
        let mut at = self.at;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / arrivals.rate;
            if at >= end {
                return;
            }
            let mut order = hosts.clone();
            order.rotate_left(self.rng.random_range(0..hosts.len()));
            let event = FleetEvent::Request(team, order);
            self.fleet.plan(Duration::from_secs_f64(at), event);
        }
    }

    fn publish(&mut self, step: &ListStep) {
        self.listed.retain(|(name, _)| !step.remove.contains(name));
        self.listed.extend(pairs(&step.add));
        let names: Vec<String> = step
            .add
            .values()
            .flatten()
            .chain(&step.remove)
            .cloned()
            .collect();
        self.numbers(&names);
        self.revision += 1;
        let snapshot = Arc::new(FleetSnapshot {
            revision: TreeRevision::first(self.revision),
            settings: Arc::new(settings(self.trace)),
            hosts: HostList {
                hosts: self.listed.iter().map(listed).collect(),
                servers: Vec::new(),
            },
        });
        self.plan(FleetEvent::Publish(snapshot));
    }

    fn team(&mut self, name: &str) -> Option<usize> {
        let index = self.trace.teams.keys().position(|known| known == name);
        if index.is_none() {
            self.miss(format!("unknown name `{name}`"));
        }
        index
    }

    /// The hosts and the platform behind names.
    fn numbers(&mut self, names: &[String]) -> Vec<usize> {
        let mut numbers = Vec::new();
        for name in names {
            let before = numbers.len();
            let is_meant = |host: &PlannedHost| {
                name == "all" || [host.name, host.region].contains(&name.as_str())
            };
            let hosts = self
                .hosts
                .iter()
                .enumerate()
                .filter(|(_, host)| is_meant(host));
            numbers.extend(hosts.map(|(index, _)| index));
            numbers.extend((name == "platform").then_some(PLATFORM));
            if numbers.len() == before {
                self.miss(format!("unknown name `{name}`"));
            }
        }
        numbers
    }

    /// The same of hosts that have started; `all` and regions leave out the others.
    fn started(&mut self, names: &[String]) -> Vec<usize> {
        let mut numbers = self.numbers(names);
        if numbers.is_empty() {
            return numbers;
        }
        numbers.retain(|number| {
            self.hosts
                .get(*number)
                .is_some_and(|host| host.at <= self.at)
        });
        if numbers.is_empty() {
            self.miss(String::from("no host named here has started"));
        }
        numbers
    }

    fn miss(&mut self, text: String) {
        self.unknown.push(ReplayFinding {
            line: self.line,
            at: Duration::from_secs_f64(self.at),
            text,
        });
    }
}

fn listed((name, region): &(String, String)) -> ListedHost {
    ListedHost {
        name: HostName::new(name),
        region: region.as_str().into(),
        center: region.as_str().into(),
        peer: ([127, 0, 0, 1], 1).into(),
        state: HostState::Live,
        millicores: 1_000,
    }
}

/// Settings in which all regions have the same weight.
fn settings(trace: &LimitsTrace) -> FleetSettings {
    let regions = trace.hosts.keys().map(|name| {
        let settings = RegionSettings {
            weight: 1.0 / trace.hosts.len() as f64,
            centers: BTreeSet::new(),
            spill_bits_per_s: 0,
        };
        (RegionName::new(name), settings)
    });
    let teams = trace.teams.iter().map(|(name, total)| {
        let settings = TeamSettings {
            name: TeamName::new(name),
            rate: total.rate,
            burst: total.burst,
            weight: 1.0,
            priority: None,
            keys: BTreeSet::new(),
        };
        (settings.name.clone(), settings)
    });
    FleetSettings {
        freshness: FreshnessSettings {
            lease: Duration::from_secs_f64(trace.lease),
            list_lag: Duration::from_secs_f64(trace.list_lag),
            stale_region: Duration::from_secs_f64(trace.stale_region),
            clock_drift_ppm: DRIFT_PPM,
        },
        regions: regions.collect(),
        services: BTreeMap::new(),
        routes: BTreeMap::new(),
        teams: teams.collect(),
    }
}
