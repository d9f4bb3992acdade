//! The operators' tree after inheritance and checks: every value is in force as it stands.

use crate::{CenterName, RegionName, RouteName, ServerName, ServiceName, TeamName};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    time::Duration,
};

/// Methods that may be repeated when the route says nothing. `PUT` and `DELETE` are idempotent by
/// HTTP, but a late repeat can undo a change made in between, so the route has to allow it.
const REPEATABLE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// SHA-256 of a caller's key; the key itself is never stored.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The first bytes tell digests apart in a log without publishing them whole.
        write!(formatter, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// How long a host may believe what it last heard.
#[derive(Clone, Debug, PartialEq)]
pub struct FreshnessSettings {
    /// The lease: a host is current for this long after it sent a question that was answered.
    pub lease: Duration,
    /// The longest time by which the platform's list lags behind its own newest revision.
    pub list_lag: Duration,
    /// How long a region that is cut off from the platform goes on by its own majority.
    pub stale_region: Duration,
    /// The bound on the drift of a host's clock, in parts per million.
    pub clock_drift_ppm: u32,
}

/// One region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionSettings {
    /// Its share of every team's rate and burst; the weights of all regions sum to 1.
    pub weight: f64,
    /// Its data centres.
    pub centers: BTreeSet<CenterName>,
    /// The volume that requests may send out of the region, in bits a second.
    pub spill_bits: u64,
}

/// How backend servers of a service are ejected and come back.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionSettings {
    /// The first ejection lasts this long; each further one doubles it.
    pub base: Duration,
    /// No ejection lasts longer than this.
    pub max: Duration,
    /// A server slower than its service's median by this factor is suspect.
    pub slow_factor: f64,
    /// A server whose share of bad answers reaches this is suspect, between 0 and 1.
    pub bad_share: f64,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSettings {
    /// Its name, unique in the fleet.
    pub name: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub center: CenterName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts from all hosts together.
    pub connections: u32,
}

/// One service and its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServiceName,
    /// The share of the service's capacity that ejection must leave, between 0 and 1.
    pub floor: f64,
    /// How long a server that returns or starts takes to reach its full weight.
    pub slow_start: Duration,
    /// Requests that may wait on one host for a slot of this service.
    pub queue: u32,
    /// Retries allowed for each first try, between 0 and 1.
    pub retry_budget: f64,
    /// Ejection of its servers.
    pub ejection: EjectionSettings,
    /// Whether daemons speak TLS to its servers.
    pub tls: bool,
    /// Its backend servers by name.
    pub servers: BTreeMap<ServerName, ServerSettings>,
}

/// Who may use a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteAccess {
    /// Every caller, with or without a key.
    Open,
    /// Callers with a key of any team.
    AnyTeam,
    /// Callers with a key of one of these teams.
    Teams(BTreeSet<TeamName>),
}

/// What every answer of a route must satisfy to count as right.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerChecks {
    /// Headers that a successful answer must carry, in lower case.
    pub headers: BTreeSet<String>,
    /// The media type that a successful answer must have.
    pub content_type: Option<String>,
}

/// One service's part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the parts of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Its name.
    pub name: RouteName,
    /// The host name in the request that it serves; every one when absent.
    pub host: Option<String>,
    /// The path prefix that it serves, on whole segments; starts with `/`.
    pub path: String,
    /// The methods that it serves, in upper case; every one when empty.
    pub methods: BTreeSet<String>,
    /// The service that runs its requests, unless `split` names several.
    pub service: ServiceName,
    /// The services that share its requests by weight; empty when `service` runs them all.
    pub split: Vec<ServiceShare>,
    /// The rank of its requests, 0 the highest.
    pub priority: u32,
    /// Who may use it.
    pub access: RouteAccess,
    /// Whether a request may be run more than once; by method when absent.
    pub repeatable: Option<bool>,
    /// The whole time a request may take.
    pub deadline: Duration,
    /// The longest silence of a backend server or caller within a body.
    pub idle: Duration,
    /// Tries of one request at the most, the first one included.
    pub tries: u32,
    /// After this long without an answer a repeatable request is sent a second time.
    pub hedge: Option<Duration>,
    /// The largest request head, in bytes.
    pub max_head: u64,
    /// The largest request body, in bytes.
    pub max_body: u64,
    /// What its answers must satisfy.
    pub checks: AnswerChecks,
}

impl RouteSettings {
    /// The service of one request; `draw` is a random number of the request's own.
    pub fn pick_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut mark = draw.checked_rem(total).unwrap_or_default();
        for part in &self.split {
            let weight = u64::from(part.weight);
            if mark < weight {
                return &part.service;
            }
            mark -= weight;
        }
        &self.service
    }

    /// Whether requests of the route may go to `service`.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        if self.split.is_empty() {
            return &self.service == service;
        }
        let mut parts = self.split.iter().filter(|part| part.weight > 0);
        parts.any(|part| &part.service == service)
    }

    /// Whether a request of `method` may run more than once: the route decides, else the method.
    /// A caller can't loosen it.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable
            .unwrap_or_else(|| REPEATABLE_METHODS.contains(&method))
    }
}

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSettings {
    /// Its name.
    pub name: TeamName,
    /// Requests a second, over all hosts together.
    pub rate: f64,
    /// Requests at once, over all hosts together.
    pub burst: f64,
    /// Its weight at a contended service.
    pub weight: f64,
    /// The rank of its requests, which goes before the route's; absent to keep that.
    pub priority: Option<u32>,
    /// The digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
}

/// The whole tree, resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// How long hosts may believe what they heard.
    pub freshness: FreshnessSettings,
    /// The regions.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, RouteSettings>,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamSettings>,
}
