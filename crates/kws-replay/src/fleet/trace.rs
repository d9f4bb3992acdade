//! The shape of a fleet trace. Times are in seconds from the start; a name is a host, a region,
//! `platform`, or `all` for every host.

use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeMap;

/// The name of the platform in traces.
pub(super) const PLATFORM: &str = "platform";

/// The name of every host in traces.
pub(super) const ALL: &str = "all";

/// One trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTrace {
    /// Always `fleet`.
    #[serde(rename = "feature")]
    _feature: String,
    /// What the trace shows.
    #[serde(rename = "why")]
    _why: String,
    /// The lease.
    pub(super) lease: f64,
    /// How long a region goes on without the platform.
    pub(super) stale_region: f64,
    /// The length of the trace.
    pub(super) length: f64,
    /// Hosts by region, up at the start and listed at revision 1.
    pub(super) hosts: BTreeMap<String, Vec<String>>,
    /// Keys valid at revision 1.
    pub(super) keys: Vec<String>,
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
    /// The platform publishes its next revision.
    Publish(PublishStep),
    /// The platform refuses every call.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// The replicas that these hosts read stop at a revision.
    Stale(StaleStep),
    /// The replicas that these hosts read are fresh again.
    Fresh(Vec<String>),
    /// Messages one way are lost.
    Cut(LinkStep),
    /// Messages one way pass again, at once.
    Heal(LinkStep),
    /// Messages one way take this long.
    Slow(SlowStep),
    /// Every n-th message one way is lost.
    Lossy(LossyStep),
    /// Processes stop; what is sent to them waits.
    Pause(Vec<String>),
    /// Processes go on.
    Resume(Vec<String>),
    /// Processes end for good.
    Kill(Vec<String>),
    /// A process starts; it knows no peer but those of the list that it reads.
    Start(StartStep),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct PublishStep {
    /// The keys from now on; as before when absent.
    pub(super) keys: Option<Vec<String>>,
    /// Hosts added to the list, by region.
    pub(super) add: BTreeMap<String, Vec<String>>,
    /// Hosts taken from the list.
    pub(super) remove: Vec<String>,
    /// Hosts listed as leaving.
    pub(super) leaving: Vec<String>,
    /// Whether the tree fails its check.
    pub(super) broken: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StaleStep {
    pub(super) hosts: Vec<String>,
    pub(super) revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LinkStep {
    pub(super) from: Vec<String>,
    pub(super) to: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SlowStep {
    pub(super) from: Vec<String>,
    pub(super) to: Vec<String>,
    pub(super) seconds: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LossyStep {
    pub(super) from: Vec<String>,
    pub(super) to: Vec<String>,
    pub(super) every: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StartStep {
    pub(super) host: String,
    pub(super) region: String,
}

/// What must hold on each named host that runs, from one time to another. Paused and dead hosts
/// decide nothing and are passed over.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TraceOutcome {
    pub(super) from: f64,
    /// The end; the same as `from` when absent.
    pub(super) to: Option<f64>,
    pub(super) hosts: Vec<String>,
    /// Whether the host may act on what it holds.
    pub(super) current: Option<bool>,
    /// Whether the balancer is told to send requests.
    pub(super) ready: Option<bool>,
    /// The least revision that a current host acts on.
    pub(super) min_revision: Option<u64>,
    /// The key that `admits` is about.
    pub(super) key: Option<String>,
    /// Whether a request with the key is run.
    pub(super) admits: Option<bool>,
}
