//! The shape of a limits trace. Times are in seconds from the start; a name is a host, a region,
//! `platform`, or `all` for every host.

use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeMap;

/// One trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsTrace {
    /// Always `limits`.
    #[serde(rename = "feature")]
    _feature: String,
    /// What the trace shows.
    #[serde(rename = "why")]
    _why: String,
    /// The seed of delays and arrivals.
    pub(super) seed: u64,
    pub(super) lease: f64,
    pub(super) list_lag: f64,
    pub(super) stale_region: f64,
    /// How often a host's rule is ticked.
    pub(super) tick: f64,
    pub(super) length: f64,
    /// Hosts by region, up at the start and listed at revision 1.
    pub(super) hosts: BTreeMap<String, Vec<String>>,
    pub(super) teams: BTreeMap<String, TeamTotal>,
    pub(super) events: Vec<Spanned<LimitsEvent>>,
    pub(super) outcomes: Vec<Spanned<LimitsOutcome>>,
}

/// The total of a team over all hosts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TeamTotal {
    /// Requests a second.
    pub(super) rate: f64,
    /// Requests at once.
    pub(super) burst: f64,
}

/// Something that happens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsEvent {
    pub(super) at: f64,
    pub(super) step: LimitsStep,
}

/// What happens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(super) enum LimitsStep {
    /// The platform publishes its next list.
    Publish(ListStep),
    /// A process starts.
    Start(StartStep),
    /// Processes end for good.
    Kill(Vec<String>),
    /// Processes stand still.
    Pause(PauseStep),
    /// Messages one way are lost.
    Cut(CutStep),
    /// Messages both ways are lost.
    Split(CutStep),
    /// The platform answers nobody for so many seconds.
    PlatformDown(f64),
    /// The replica that these hosts read stops at a revision.
    Stale(StaleStep),
    /// Requests of a team arrive at hosts; one that is not ready is passed over.
    Arrivals(ArrivalStep),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct ListStep {
    /// Hosts added to the list, by region.
    pub(super) add: BTreeMap<String, Vec<String>>,
    /// Hosts taken from the list.
    pub(super) remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StartStep {
    pub(super) host: String,
    pub(super) region: String,
    /// The host whose address it takes over.
    pub(super) address_of: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PauseStep {
    pub(super) hosts: Vec<String>,
    pub(super) seconds: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CutStep {
    pub(super) from: Vec<String>,
    pub(super) to: Vec<String>,
    pub(super) seconds: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StaleStep {
    pub(super) hosts: Vec<String>,
    pub(super) revision: u64,
    pub(super) seconds: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ArrivalStep {
    pub(super) team: String,
    pub(super) hosts: Vec<String>,
    /// Requests a second.
    pub(super) rate: f64,
    pub(super) seconds: f64,
}

/// What must hold for a team; a span is that of the requests' arrival.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsOutcome {
    pub(super) team: String,
    /// The start; that of the trace when absent.
    #[serde(default)]
    pub(super) from: f64,
    /// The end; that of the trace when absent.
    pub(super) to: Option<f64>,
    /// No window of the whole trace exceeds burst and rate.
    #[serde(default)]
    pub(super) never_over: bool,
    /// The most that may be refused, in percent of what one exact bucket would admit.
    pub(super) refused_within_rate: Option<f64>,
    /// The least that is admitted, in percent of the rate.
    pub(super) admits: Option<f64>,
}
