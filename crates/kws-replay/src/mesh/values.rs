//! The texts of the values in the store, and what a host has in force.

use super::LEASE;
use kws_membership::{CheckedTree, TreeChecker, TreeRejection, ValueOrder};
use kws_protocol::{
    EjectionSettings, FleetSettings, FreshnessSettings, HostList, KeyDigest, PublishedValues,
    ServerSettings, ServiceSettings, TeamSettings,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// The key of the configuration.
pub(super) const CONFIG_KEY: &str = "config";
/// What the keys of servers begin with.
pub(super) const SERVER_PREFIX: &str = "servers/";

const SERVICE: &str = "orders";
const TEAM: &str = "till";

/// A server from one start on: its id and its start time.
pub(super) type LifeId = (String, u64);

/// A versioned configuration with the numbers of the valid keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Configuration {
    pub(super) version: u64,
    pub(super) keys: BTreeSet<u8>,
}

impl Configuration {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (version, keys) = text.strip_prefix("version ")?.split_once(" keys ")?;
        // What follows the keys are other teams.
        let keys = keys.split_once(' ').map_or(keys, |(keys, _)| keys);
        let keys = keys.split(',').filter(|key| !key.is_empty());
        Some(Self {
            version: version.parse().ok()?,
            keys: keys.map(str::parse).collect::<Result<_, _>>().ok()?,
        })
    }
}

impl fmt::Display for Configuration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: Vec<String> = self.keys.iter().map(u8::to_string).collect();
        write!(
            formatter,
            "version {} keys {}",
            self.version,
            keys.join(",")
        )
    }
}

/// The entry of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Registration {
    pub(super) address: SocketAddr,
    pub(super) started_at_ms: u64,
    pub(super) in_service: bool,
}

impl Registration {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let mut next = || words.next();
        if next()? != SERVICE {
            return None;
        }
        Some(Self {
            address: next()?.parse().ok()?,
            started_at_ms: next()?.parse().ok()?,
            in_service: next()? == "ready",
        })
    }
}

impl fmt::Display for Registration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.in_service { "ready" } else { "draining" };
        let (address, started) = (self.address, self.started_at_ms);
        write!(formatter, "{SERVICE} {address} {started} {state}")
    }
}

/// Decodes the values of the simulated store.
pub(super) struct OrderChecker;

impl TreeChecker for OrderChecker {
    fn check(&self, values: &PublishedValues) -> Result<CheckedTree, TreeRejection> {
        let text = values.values.get(CONFIG_KEY);
        let configuration = text.and_then(|text| Configuration::parse(text));
        let configuration = configuration.ok_or_else(|| TreeRejection {
            findings: format!("{CONFIG_KEY} is missing or malformed"),
            hosts: None,
        })?;
        Ok(CheckedTree {
            settings: Arc::new(settings(&configuration, &values.values)),
            hosts: HostList::default(),
        })
    }

    fn order(&self, key: &str, text: &str) -> ValueOrder {
        if key == CONFIG_KEY {
            let configuration = Configuration::parse(text);
            return configuration.map_or(ValueOrder::Unordered, |configuration| {
                ValueOrder::Versioned(configuration.version)
            });
        }
        Registration::parse(text).map_or(ValueOrder::Unordered, |entry| ValueOrder::Registration {
            started_at_ms: entry.started_at_ms,
            in_service: entry.in_service,
        })
    }
}

/// The version is the rate of the only team, and the start time of a server is its number of slots.
fn settings(configuration: &Configuration, values: &BTreeMap<String, Arc<str>>) -> FleetSettings {
    let servers = values.iter().filter_map(|(key, text)| {
        let id = key.strip_prefix(SERVER_PREFIX)?;
        let entry = Registration::parse(text).filter(|entry| entry.in_service)?;
        Some((id.into(), server(id, &entry)))
    });
    let team = TeamSettings {
        name: TEAM.into(),
        rate: configuration.version as f64,
        burst: 1.0,
        weight: 1.0,
        priority: None,
        keys: configuration
            .keys
            .iter()
            .map(|key| KeyDigest([*key; 32]))
            .collect(),
    };
    FleetSettings {
        freshness: FreshnessSettings {
            lease: LEASE,
            list_lag: Duration::ZERO,
            stale_region: Duration::from_hours(6),
            clock_drift_ppm: 0,
        },
        regions: BTreeMap::new(),
        services: [(SERVICE.into(), service(servers.collect()))].into(),
        routes: BTreeMap::new(),
        teams: [(TEAM.into(), team)].into(),
    }
}

fn server(id: &str, entry: &Registration) -> ServerSettings {
    ServerSettings {
        name: id.into(),
        address: entry.address,
        region: "vidzemes".into(),
        center: "turaida".into(),
        slots: entry.started_at_ms as u32,
        connections: 1,
    }
}

fn service(servers: BTreeMap<kws_protocol::ServerName, ServerSettings>) -> ServiceSettings {
    ServiceSettings {
        name: SERVICE.into(),
        floor: 0.5,
        slow_start: Duration::ZERO,
        queue: 1,
        retry_budget: 0.1,
        ejection: EjectionSettings {
            base: Duration::from_secs(2),
            max: Duration::from_secs(3),
            slow_factor: 3.0,
            bad_share: 0.3,
        },
        tls: false,
        servers,
    }
}

/// What a host has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ActiveState {
    pub(super) version: u64,
    pub(super) keys: BTreeSet<u8>,
    /// The start times of the servers in use.
    pub(super) servers: BTreeMap<String, u64>,
}

impl ActiveState {
    /// Reads back what [`OrderChecker`] has decoded.
    pub(super) fn of_settings(settings: &FleetSettings) -> Self {
        let team = settings.teams.get(TEAM);
        let service = settings.services.get(SERVICE);
        let servers = service
            .into_iter()
            .flat_map(|service| service.servers.values());
        Self {
            version: team.map_or(0, |team| team.rate as u64),
            keys: team
                .into_iter()
                .flat_map(|team| team.keys.iter().map(|key| key.0[0]))
                .collect(),
            servers: servers
                .map(|server| (server.name.to_string(), u64::from(server.slots)))
                .collect(),
        }
    }

    pub(super) fn of_values(values: &BTreeMap<String, Arc<str>>) -> Self {
        let text = values.get(CONFIG_KEY);
        let configuration = text.and_then(|text| Configuration::parse(text));
        configuration.map_or_else(Self::default, |configuration| {
            Self::of_settings(&settings(&configuration, values))
        })
    }

    pub(super) fn uses(&self, (id, started): &LifeId) -> bool {
        self.servers.get(id) == Some(started)
    }
}

impl fmt::Display for ActiveState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let servers: Vec<String> = self
            .servers
            .iter()
            .map(|(id, started)| format!("{id}/{started}"))
            .collect();
        write!(
            formatter,
            "version {} servers {}",
            self.version,
            servers.join(" ")
        )
    }
}
