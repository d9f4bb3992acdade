//! Fleets, arrivals and faults that the table and the tests share.

use super::{
    model::{FleetEvent, LimitsFleet, NetworkModel, PLATFORM, RuleMaker},
    rule::{SingleOwner, StaticSplit},
    score::RunScore,
};
use clap::ValueEnum;
use kws_limits::{LimitsLedger, LimitsPolicy};
use kws_protocol::{
    FleetSettings, FleetSnapshot, FreshnessSettings, HostList, HostName, HostState, ListedHost,
    RegionName, RegionSettings, TeamName, TeamSettings, TreeRevision,
};
use kws_replay::limits::LimitRule;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The regions of every scenario; each has half of every team's total.
pub const REGIONS: [&str; 2] = ["vidzemes", "zemgales"];

/// The rule that decides on every host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum RuleKind {
    /// The product's ledger.
    Product,
    /// Equal shares.
    Split,
    /// One deciding host for each team.
    Owner,
}

/// Where requests arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArrivalKind {
    /// On all hosts alike.
    Even,
    /// Half of them on a tenth of the hosts.
    Skewed,
    /// All of a team's on one host.
    Single,
}

/// What goes wrong halfway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// Nothing.
    Calm,
    /// Two hosts die and are replaced in the list 3 seconds later.
    Kill,
    /// Four hosts stand still for 8 seconds.
    Pause,
    /// Nothing that four hosts send reaches another host for 8 seconds.
    OneWay,
    /// Four live hosts are replaced in the list, and go on.
    ListChange,
    /// One team sends 5 times its rate.
    Flood,
}

/// The platform's settings of a scenario.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The freshness settings.
    pub freshness: FreshnessSettings,
    /// The teams as (name, rate, burst).
    pub teams: Vec<(TeamName, f64, f64)>,
}

impl FleetPlan {
    /// One revision; hosts are (name, index of the region), weights are by region.
    pub fn snapshot(
        &self,
        revision: u64,
        hosts: &[(HostName, usize)],
        weights: [f64; 2],
    ) -> Arc<FleetSnapshot> {
        let regions = REGIONS.iter().zip(weights).map(|(name, weight)| {
            let settings = RegionSettings {
                weight,
                centers: BTreeSet::new(),
                spill_bits_per_s: 0,
            };
            (RegionName::new(name), settings)
        });
        let teams = self.teams.iter().map(|(name, rate, burst)| {
            let settings = TeamSettings {
                name: name.clone(),
                rate: *rate,
                burst: *burst,
                weight: 1.0,
                priority: None,
                keys: BTreeSet::new(),
            };
            (name.clone(), settings)
        });
        Arc::new(FleetSnapshot {
            revision: TreeRevision::first(revision),
            settings: Arc::new(FleetSettings {
                freshness: self.freshness.clone(),
                regions: regions.collect(),
                services: BTreeMap::new(),
                routes: BTreeMap::new(),
                teams: teams.collect(),
            }),
            hosts: HostList {
                hosts: hosts.iter().map(listed).collect(),
                servers: Vec::new(),
            },
        })
    }
}

fn listed((name, region): &(HostName, usize)) -> ListedHost {
    ListedHost {
        name: name.clone(),
        region: REGIONS[*region].into(),
        center: REGIONS[*region].into(),
        peer: ([127, 0, 0, 1], 1).into(),
        state: HostState::Live,
        millicores: 1_000,
    }
}

/// Makes hosts that decide by a rule.
pub fn rule_maker(kind: RuleKind, policy: &LimitsPolicy) -> RuleMaker {
    let policy = policy.clone();
    Box::new(move |name, region, born| -> Box<dyn LimitRule> {
        match kind {
            RuleKind::Product => Box::new(LimitsLedger::with_policy(
                name,
                region,
                born,
                policy.clone(),
            )),
            RuleKind::Split => Box::new(StaticSplit::default()),
            RuleKind::Owner => Box::new(SingleOwner::new(name)),
        }
    })
}

/// One run of the table.
#[derive(Clone, Debug)]
pub struct TableRun {
    /// The rule.
    pub rule: RuleKind,
    /// Constants of the product.
    pub policy: LimitsPolicy,
    /// Where requests arrive.
    pub arrival: ArrivalKind,
    /// What goes wrong.
    pub fault: FaultKind,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// The share of its rate that each team sends.
    pub load: f64,
}

/// When arrivals are scored from, when the fault happens, and the end.
const SCORED_FROM: Duration = Duration::from_secs(10);
const FAULT_AT: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(30);

/// Seconds that a table run scores.
pub const SCORED_SECONDS: f64 = 20.0;

/// The rates of the teams, in requests a second; the burst is half a second of it, and 4 or more.
const RATES: [f64; 8] = [400.0, 400.0, 200.0, 50.0, 20.0, 10.0, 5.0, 2.0];

impl TableRun {
    /// Runs it.
    pub fn run(&self) -> RunScore {
        let teams = RATES.iter().enumerate();
        let plan = FleetPlan {
            freshness: FreshnessSettings {
                lease: Duration::from_secs(2),
                list_lag: Duration::from_secs(1),
                stale_region: Duration::from_mins(10),
                clock_drift_ppm: 200,
            },
            teams: teams
                .map(|(index, rate)| {
                    let name = TeamName::new(&format!("team-{index}"));
                    (name, *rate, (rate / 2.0).max(4.0))
                })
                .collect(),
        };
        let network = NetworkModel {
            near: Duration::from_micros(500),
            far: Duration::from_millis(30),
            lost: 0.0,
            repeated: 0.0,
            late: 0.0,
            late_by: Duration::ZERO,
        };
        let maker = rule_maker(self.rule, &self.policy);
        let mut model = LimitsFleet::new(1, network, &plan.teams, SCORED_FROM, maker);
        let hosts: Vec<(HostName, usize)> = (0..self.hosts).map(host).collect();
        for (name, region) in &hosts {
            start(&mut model, Duration::ZERO, name, *region);
        }
        let first = plan.snapshot(1, &hosts, [0.5, 0.5]);
        model.plan(Duration::ZERO, FleetEvent::Publish(first));
        self.plan_fault(&mut model, &plan, hosts);
        self.plan_arrivals(&mut model);
        model.run(END);
        model.score
    }

    fn plan_fault(&self, model: &mut LimitsFleet, plan: &FleetPlan, hosts: Vec<(HostName, usize)>) {
        let hold = Duration::from_secs(8);
        let few: Vec<usize> = (0..4).collect();
        match self.fault {
            FaultKind::Calm | FaultKind::Flood => {}
            FaultKind::Kill => {
                (0..2).for_each(|host| model.plan(FAULT_AT, FleetEvent::Kill(host)));
                replace(model, plan, hosts, 2, FAULT_AT + Duration::from_secs(3));
            }
            FaultKind::Pause => few
                .into_iter()
                .for_each(|host| model.plan(FAULT_AT, FleetEvent::Pause(host, hold))),
            FaultKind::OneWay => {
                let all = (0..self.hosts).chain([PLATFORM]).collect();
                model.plan(FAULT_AT, FleetEvent::Cut(few, all, hold));
            }
            FaultKind::ListChange => replace(model, plan, hosts, 4, FAULT_AT),
        }
    }

    fn plan_arrivals(&self, model: &mut LimitsFleet) {
        let mut rng = StdRng::seed_from_u64(2);
        for (team, rate) in RATES.iter().enumerate() {
            let flood = self.fault == FaultKind::Flood && team == 0;
            let load = if flood { 5.0 } else { self.load };
            let mut at = 0.0;
            while at < END.as_secs_f64() {
                at += -(1.0 - rng.random::<f64>()).ln() / (rate * load);
                let hosts = self.choose(&mut rng, team);
                model.plan(
                    Duration::from_secs_f64(at),
                    FleetEvent::Request(team, hosts),
                );
            }
        }
    }

    /// The host of one request, and others in case that it is dead.
    fn choose(&self, rng: &mut StdRng, team: usize) -> Vec<usize> {
        let any = rng.random_range(0..self.hosts);
        let first = match self.arrival {
            ArrivalKind::Skewed if rng.random_bool(0.5) => any % (self.hosts / 10).max(1),
            ArrivalKind::Even | ArrivalKind::Skewed => any,
            ArrivalKind::Single => (team * 7 + 1) % self.hosts,
        };
        (0..self.hosts)
            .map(|step| (first + step) % self.hosts)
            .collect()
    }
}

fn host(index: usize) -> (HostName, usize) {
    (
        HostName::new(&format!("host-{index}")),
        index % REGIONS.len(),
    )
}

fn start(model: &mut LimitsFleet, at: Duration, name: &HostName, region: usize) {
    let region = RegionName::new(REGIONS[region]);
    model.plan(at, FleetEvent::Start(name.clone(), region, 0.0));
}

/// Lists new hosts in the place of the first `count`.
fn replace(
    model: &mut LimitsFleet,
    plan: &FleetPlan,
    mut hosts: Vec<(HostName, usize)>,
    count: usize,
    at: Duration,
) {
    for index in 0..count {
        let (name, region) = host(hosts.len() + index);
        start(model, at, &name, region);
        hosts[index] = (name, region);
    }
    model.plan(
        at,
        FleetEvent::Publish(plan.snapshot(2, &hosts, [0.5, 0.5])),
    );
}
