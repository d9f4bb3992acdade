//! The operators' configuration tree after inheritance and validation: values apply as they are.

use crate::{CenterName, RegionName, RouteName, ServerName, ServiceName, TeamName};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    time::Duration,
};

/// Methods that may be retried unless the route decides otherwise. HTTP defines `PUT` and `DELETE`
/// as idempotent, but a delayed retry can undo a change made in between, so the route must allow
/// it.
const REPEATABLE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// SHA-256 digest of a caller's API key; the key itself is never stored.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Two bytes distinguish digests in a log without disclosing them in full.
        write!(formatter, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Limits on the age of the state that a host may act on.
#[derive(Clone, Debug, PartialEq)]
pub struct FreshnessSettings {
    /// Lease duration: a host is current for this long after it sent a query that was answered.
    pub lease: Duration,
    /// Maximum lag of the platform's host list behind its newest revision.
    pub list_lag: Duration,
    /// Time for which a region that is partitioned from the platform keeps serving on the majority
    /// of its own hosts.
    pub stale_region: Duration,
    /// Maximum drift of a host's clock, in parts per million.
    pub clock_drift_ppm: u32,
}

/// Settings of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionSettings {
    /// Fraction of every team's rate and burst; the weights of all regions sum to 1.
    pub weight: f64,
    /// Data centres of the region.
    pub centers: BTreeSet<CenterName>,
    /// Bandwidth for requests that are sent to other regions, in bits per second.
    pub spill_bits_per_s: u64,
}

/// Settings for the ejection of backend servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionSettings {
    /// Duration of the first ejection; each subsequent one doubles it.
    pub base: Duration,
    /// Maximum duration of an ejection.
    pub max: Duration,
    /// A server is suspect if it is slower than its service's median by this factor.
    pub slow_factor: f64,
    /// A server is suspect if its fraction of bad responses reaches this value, between 0 and 1.
    pub bad_share: f64,
}

/// Settings of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSettings {
    /// Name of the server, unique in the fleet.
    pub name: ServerName,
    /// Address on which the server accepts connections.
    pub address: SocketAddr,
    /// Region of the server.
    pub region: RegionName,
    /// Data centre of the server.
    pub center: CenterName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections from all hosts together.
    pub connections: u32,
}

/// Settings of a service and its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: ServiceName,
    /// Fraction of the service's capacity that ejection must leave in service, between 0 and 1.
    pub floor: f64,
    /// Time in which a new or returning server ramps up to its full weight.
    pub slow_start: Duration,
    /// Maximum number of requests queued on one host for a slot of this service.
    pub queue: u32,
    /// Ratio of retries to first tries allowed, between 0 and 1.
    pub retry_budget: f64,
    /// Ejection of the servers.
    pub ejection: EjectionSettings,
    /// Whether daemons connect to the servers over TLS.
    pub tls: bool,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, ServerSettings>,
}

/// Access control of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteAccess {
    /// Any caller, with or without an API key.
    Open,
    /// Callers with an API key of any team.
    AnyTeam,
    /// Callers with an API key of one of these teams.
    Teams(BTreeSet<TeamName>),
}

/// Checks that a response of a route must pass to be valid.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseChecks {
    /// Headers that a successful response must have, in lower case.
    pub headers: BTreeSet<String>,
    /// Media type that a successful response must have.
    pub content_type: Option<String>,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Settings of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Name of the route.
    pub name: RouteName,
    /// Host name that the request must have; `None` matches any host name.
    pub host: Option<String>,
    /// Path prefix that the request must have, matched on whole segments; starts with `/`.
    pub path: String,
    /// Methods that the route matches, in upper case; empty to match any method.
    pub methods: BTreeSet<String>,
    /// Service that runs the requests if `split` is empty.
    pub service: ServiceName,
    /// Services that share the requests by weight; empty if `service` runs them all.
    pub split: Vec<ServiceShare>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Callers that may use the route.
    pub access: RouteAccess,
    /// Whether a request may run more than once; `None` to decide by method.
    pub repeatable: Option<bool>,
    /// Maximum total time of a request.
    pub deadline: Duration,
    /// Latency objective: time within which a response is of full use to the caller; `None` if the
    /// route has none.
    pub objective: Option<Duration>,
    /// Maximum idle time of a backend server or caller while it sends a body.
    pub idle: Duration,
    /// Maximum number of tries of a request, including the first.
    pub tries: u32,
    /// Time without a response after which a repeatable request is hedged, that is, sent a second
    /// time.
    pub hedge: Option<Duration>,
    /// Maximum size of the request head, in bytes.
    pub max_head: u64,
    /// Maximum size of the request body, in bytes.
    pub max_body: u64,
    /// Checks that a response must pass.
    pub checks: ResponseChecks,
}

impl RouteSettings {
    /// Selects the service for one request by weight; `draw` is a random number drawn for the
    /// request.
    pub fn pick_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = draw.checked_rem(total).unwrap_or_default();
        for share in &self.split {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        &self.service
    }

    /// Returns whether requests of the route may be sent to `service`.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        if self.split.is_empty() {
            return &self.service == service;
        }
        let mut shares = self.split.iter().filter(|share| share.weight > 0);
        shares.any(|share| &share.service == service)
    }

    /// Returns whether a request with `method` may run more than once. The route decides, otherwise
    /// the method; a caller cannot relax this.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable
            .unwrap_or_else(|| REPEATABLE_METHODS.contains(&method))
    }
}

/// Settings of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: TeamName,
    /// Maximum request rate across all hosts, in requests per second.
    pub rate: f64,
    /// Maximum burst across all hosts, in requests.
    pub burst: f64,
    /// Weight of the team under contention for a service.
    pub weight: f64,
    /// Priority of the team's requests, which overrides the route's; `None` to use the route's.
    pub priority: Option<u32>,
    /// Digests of the team's API keys.
    pub keys: BTreeSet<KeyDigest>,
}

/// The complete configuration tree, resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Limits on the age of the state that hosts may act on.
    pub freshness: FreshnessSettings,
    /// Regions by name.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, RouteSettings>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamSettings>,
}
