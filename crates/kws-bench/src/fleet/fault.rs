//! The faults under which the fleet is measured, as traces.

use clap::ValueEnum;

/// When the fault begins, in seconds from the start.
pub const FAULT_SECONDS: u64 = 8;

/// When a key is withdrawn, in seconds from the start.
pub const PUBLISH_SECONDS: u64 = 20;

/// The end of a run, in seconds from its start.
const END_SECONDS: u64 = 28;

/// The lease, in seconds.
const LEASE_SECONDS: u64 = 3;

/// How long a region goes on without the platform, in seconds.
const STALE_REGION_SECONDS: u64 = 3_600;

/// Keys of the tree.
const KEYS: usize = 64;

/// What is wrong during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FaultKind {
    /// Nothing.
    Calm,
    /// Every third message is lost, also to and from the platform.
    Loss,
    /// A tenth of the hosts is dead and still listed.
    Dead,
    /// One host sends but hears nothing.
    Deaf,
    /// One host goes deaf just before the withdrawal.
    JustDeaf,
    /// A tenth of the hosts sleeps across the withdrawal.
    Paused,
    /// Half of the hosts read replicas that stopped before the withdrawal.
    StaleReplicas,
    /// One region reaches the other but not the platform.
    RegionBlind,
    /// One host alone reaches the platform.
    LoneReader,
}

impl FaultKind {
    /// Every fault.
    pub const ALL: [Self; 9] = [
        Self::Calm,
        Self::Loss,
        Self::Dead,
        Self::Deaf,
        Self::JustDeaf,
        Self::Paused,
        Self::StaleReplicas,
        Self::RegionBlind,
        Self::LoneReader,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Loss => "loss",
            Self::Dead => "dead",
            Self::Deaf => "deaf",
            Self::JustDeaf => "just_deaf",
            Self::Paused => "paused",
            Self::StaleReplicas => "stale_replicas",
            Self::RegionBlind => "region_blind",
            Self::LoneReader => "lone_reader",
        }
    }

    fn steps(self, names: &FleetNames) -> Vec<String> {
        let all = names.all();
        match self {
            Self::Calm => Vec::new(),
            Self::Loss => vec![at_fault(
                "lossy: {from: [all, platform], to: [all, platform], every: 3}",
            )],
            Self::Dead => vec![at_fault(&format!("kill: [{}]", every(&all, 10)))],
            Self::Deaf => vec![at_fault(&deafen(&all[0]))],
            Self::JustDeaf => vec![at(PUBLISH_SECONDS, &deafen(&all[0]))],
            Self::Paused => vec![
                at_fault(&format!("pause: [{}]", every(&all, 10))),
                at(24, &format!("resume: [{}]", every(&all, 10))),
            ],
            Self::StaleReplicas => vec![at_fault(&format!(
                "stale: {{hosts: [{}], revision: 1}}",
                every(&all, 2)
            ))],
            Self::RegionBlind => cut_platform("zemgales"),
            Self::LoneReader => cut_platform(&all[1..].join(", ")),
        }
    }
}

/// The hosts by region.
struct FleetNames {
    vidzemes: Vec<String>,
    zemgales: Vec<String>,
}

impl FleetNames {
    fn new(hosts: usize) -> Self {
        let names = |region: &str| {
            (0..hosts / 2)
                .map(|host| format!("{region}-{host}"))
                .collect()
        };
        Self {
            vidzemes: names("vidzemes"),
            zemgales: names("zemgales"),
        }
    }

    fn all(&self) -> Vec<String> {
        self.vidzemes
            .iter()
            .chain(&self.zemgales)
            .cloned()
            .collect()
    }
}

/// The trace of a fleet under a fault, with a key withdrawn.
pub fn trace(hosts: usize, fault: FaultKind) -> String {
    let names = FleetNames::new(hosts);
    let keys: Vec<String> = (0..KEYS).map(key).collect();
    let mut events = fault.steps(&names);
    events.push(at(
        PUBLISH_SECONDS,
        &format!("publish: {{keys: [{}]}}", keys[1..].join(", ")),
    ));
    format!(
        "feature: fleet\nwhy: measurement\nlease: {LEASE_SECONDS}\nstale_region: {STALE_REGION_SECONDS}\n\
         length: {END_SECONDS}\nkeys: [{}]\nhosts:\n  vidzemes: [{}]\n  zemgales: [{}]\nevents:\n{}outcomes: []\n",
        keys.join(", "),
        names.vidzemes.join(", "),
        names.zemgales.join(", "),
        events.concat(),
    )
}

/// A text as long as a key's digest in hexadecimal.
fn key(index: usize) -> String {
    format!("k{index:063}")
}

fn at(seconds: u64, step: &str) -> String {
    format!("  - {{at: {seconds}, step: {{{step}}}}}\n")
}

fn at_fault(step: &str) -> String {
    at(FAULT_SECONDS, step)
}

fn cut_platform(hosts: &str) -> Vec<String> {
    vec![
        at_fault(&format!("cut: {{from: [{hosts}], to: [platform]}}")),
        at_fault(&format!("cut: {{from: [platform], to: [{hosts}]}}")),
    ]
}

fn deafen(host: &str) -> String {
    format!("cut: {{from: [all, platform], to: [{host}]}}")
}

fn every(names: &[String], step: usize) -> String {
    let chosen: Vec<&str> = names.iter().step_by(step).map(String::as_str).collect();
    chosen.join(", ")
}
