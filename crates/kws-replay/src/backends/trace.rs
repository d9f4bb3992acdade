//! The shape of a trace of backend servers. Times are in seconds from the start; a name is a host,
//! a server, a data centre, or `all`.

use super::condition::PlacedName;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeMap;

/// The name of every host, or of every server.
const ALL: &str = "all";

/// One trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BackendsTrace {
    /// Always `backends`.
    #[serde(rename = "feature")]
    _feature: String,
    /// What the trace shows.
    #[serde(rename = "why")]
    _why: String,
    /// The length of the trace.
    pub(super) length: f64,
    /// Requests a second that each host gets.
    pub(super) rate: f64,
    /// The share of capacity that ejection must leave, in percent.
    pub(super) floor: f64,
    /// Hosts by data centre.
    pub(super) hosts: BTreeMap<String, Vec<String>>,
    /// Servers by data centre, each with 3 slots.
    pub(super) servers: BTreeMap<String, Vec<String>>,
    /// What happens.
    pub(super) events: Vec<Spanned<TraceEvent>>,
    /// What must hold.
    pub(super) outcomes: Vec<Spanned<TraceOutcome>>,
}

/// Something that happens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TraceEvent {
    /// When.
    pub(super) at: f64,
    /// What.
    pub(super) step: TraceStep,
}

/// What happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(super) enum TraceStep {
    /// Servers fail or slow down for a while.
    Sick(SickStep),
    /// Servers say in their answers that they drain.
    Drain(Vec<String>),
    /// The list has servers as leaving.
    Leaving(Vec<String>),
    /// A new tree changes the floor, in percent.
    Floor(f64),
}

/// Servers that fail or slow down.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SickStep {
    pub(super) servers: Vec<String>,
    /// For whom; for every host when absent.
    #[serde(default = "every")]
    pub(super) hosts: Vec<String>,
    /// The share of answers that are errors, in percent.
    #[serde(default)]
    pub(super) errors: f64,
    /// By what factor answers take longer.
    #[serde(default = "one")]
    pub(super) slower: f64,
    /// How long.
    pub(super) seconds: f64,
}

/// What must hold on each named host from one time to another.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TraceOutcome {
    pub(super) from: f64,
    pub(super) to: f64,
    #[serde(default = "every")]
    pub(super) hosts: Vec<String>,
    #[serde(default = "every")]
    pub(super) servers: Vec<String>,
    /// Whether the servers get no ordinary request.
    pub(super) out: Option<bool>,
    /// Whether the capacity in use is at or above the floor, or nothing is ejected.
    pub(super) floor_held: Option<bool>,
    /// The largest share of bad answers that callers get, in percent.
    pub(super) bad_answers: Option<f64>,
    /// The least number of answers, so that the other bounds are not met by silence.
    pub(super) answers: Option<u64>,
}

fn every() -> Vec<String> {
    vec![ALL.to_owned()]
}

fn one() -> f64 {
    1.0
}

/// Whether one of `names` stands for the member `name` of the data centre `center`.
pub(super) fn names_member(names: &[String], center: &str, name: &str) -> bool {
    names
        .iter()
        .any(|given| given == ALL || given == center || given == name)
}

/// The members of all data centres, each with its data centre.
pub(super) fn placed_members(
    groups: &BTreeMap<String, Vec<String>>,
) -> impl Iterator<Item = PlacedName<'_>> {
    groups
        .iter()
        .flat_map(|(center, members)| members.iter().map(move |name| PlacedName { center, name }))
}

impl BackendsTrace {
    /// The first name that stands for nothing.
    pub(super) fn unknown_name(&self) -> Option<&str> {
        let events = self
            .events
            .iter()
            .flat_map(|event| event.value.step.names());
        let outcomes = self.outcomes.iter().flat_map(|outcome| {
            let TraceOutcome { hosts, servers, .. } = &outcome.value;
            hosts.iter().chain(servers)
        });
        events
            .chain(outcomes)
            .find(|name| !self.is_known(name))
            .map(String::as_str)
    }

    fn is_known(&self, name: &str) -> bool {
        let groups = self.hosts.iter().chain(&self.servers);
        name == ALL
            || groups.into_iter().any(|(center, members)| {
                center == name || members.iter().any(|member| member == name)
            })
    }
}

impl TraceStep {
    fn names(&self) -> impl Iterator<Item = &String> {
        let (servers, hosts): (&[String], &[String]) = match self {
            Self::Sick(sick) => (&sick.servers, &sick.hosts),
            Self::Drain(servers) | Self::Leaving(servers) => (servers, &[]),
            Self::Floor(_) => (&[], &[]),
        };
        servers.iter().chain(hosts)
    }
}
