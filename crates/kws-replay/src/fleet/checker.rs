//! The small tree of a trace: a key for each team, the lease and the host list.

use kws_membership::{CheckedTree, TreeChecker, TreeRejection};
use kws_protocol::{
    CenterName, FleetSettings, FreshnessSettings, HostList, HostName, HostState, KeyDigest,
    ListedHost, PublishedValues, RegionName, TeamName, TeamSettings,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// The value of the valid keys, one a line.
pub(super) const KEYS: &str = "keys.yaml";
/// The value of the lease and the stale-region bound, in milliseconds.
pub(super) const FRESHNESS: &str = "freshness.yaml";
/// The value of the host list: name, region and state on each line.
pub(super) const HOSTS: &str = "hosts.json";
/// A value whose presence makes the tree fail its check.
pub(super) const BROKEN: &str = "broken.yaml";

/// The checker of traces; every key is the one key of a team of the same name.
#[derive(Clone, Copy, Debug, Default)]
pub struct TraceChecker;

impl TreeChecker for TraceChecker {
    fn check(&self, values: &PublishedValues) -> Result<CheckedTree, TreeRejection> {
        if values.values.contains_key(BROKEN) {
            return Err(TreeRejection {
                findings: String::from("the trace says so"),
                hosts: hosts(values).ok(),
            });
        }
        Ok(CheckedTree {
            settings: Arc::new(settings(values)?),
            hosts: hosts(values)?,
        })
    }
}

/// The digest that stands for a key in traces.
pub(super) fn key_digest(key: &str) -> KeyDigest {
    let mut bytes = [0; 32];
    for (slot, byte) in bytes.iter_mut().zip(key.bytes()) {
        *slot = byte;
    }
    KeyDigest(bytes)
}

fn settings(values: &PublishedValues) -> Result<FleetSettings, TreeRejection> {
    let mut durations = text(values, FRESHNESS)?.lines().map(str::parse);
    let mut next_duration = || match durations.next() {
        Some(Ok(millis)) => Ok(Duration::from_millis(millis)),
        _ => Err(missing(FRESHNESS)),
    };
    let freshness = FreshnessSettings {
        lease: next_duration()?,
        stale_region: next_duration()?,
        list_lag: Duration::ZERO,
        clock_drift_ppm: 0,
    };
    Ok(FleetSettings {
        freshness,
        regions: BTreeMap::new(),
        services: BTreeMap::new(),
        routes: BTreeMap::new(),
        teams: text(values, KEYS)?.lines().map(team).collect(),
    })
}

fn team(key: &str) -> (TeamName, TeamSettings) {
    let name = TeamName::new(key);
    let team = TeamSettings {
        name: name.clone(),
        rate: 1.0,
        burst: 1.0,
        weight: 1.0,
        priority: None,
        keys: [key_digest(key)].into(),
    };
    (name, team)
}

fn hosts(values: &PublishedValues) -> Result<HostList, TreeRejection> {
    let lines = text(values, HOSTS)?.lines();
    let hosts = lines.map(|line| host(line).ok_or_else(|| missing(HOSTS)));
    Ok(HostList {
        hosts: hosts.collect::<Result<_, _>>()?,
        servers: Vec::new(),
    })
}

fn host(line: &str) -> Option<ListedHost> {
    let mut words = line.split(' ');
    let (name, region) = (words.next()?, words.next()?);
    let state = match words.next()? {
        "live" => HostState::Live,
        "leaving" => HostState::Leaving,
        _ => return None,
    };
    Some(ListedHost {
        name: HostName::new(name),
        region: RegionName::new(region),
        center: CenterName::new(region),
        peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        state,
        millicores: 1_000,
    })
}

fn text<'a>(values: &'a PublishedValues, key: &str) -> Result<&'a str, TreeRejection> {
    values
        .values
        .get(key)
        .map(|value| &**value)
        .ok_or_else(|| missing(key))
}

fn missing(key: &str) -> TreeRejection {
    TreeRejection {
        findings: format!("{key} is missing or malformed"),
        hosts: None,
    }
}
