//! The snapshot that a trace of backend servers runs on.

use super::trace::{BackendsTrace, placed_members};
use kws_protocol::{
    CenterName, EjectionSettings, FleetSettings, FleetSnapshot, FreshnessSettings, HostList,
    HostName, HostState, ListedHost, ListedServer, RegionName, RegionSettings, ServerName,
    ServerSettings, ServiceName, ServiceSettings, TreeRevision,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// The only region.
pub(super) const REGION: &str = "local";
/// The only service.
pub(super) const SERVICE: &str = "listing";
/// Slots of every server.
const SLOTS: u32 = 3;
/// Where nobody listens: a replay opens no socket.
const NOWHERE: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// The snapshot at `revision`, with `floor` in percent and the servers that the list has as leaving.
pub(super) fn trace_snapshot(
    trace: &BackendsTrace,
    revision: u64,
    floor: f64,
    leaving: &BTreeSet<ServerName>,
) -> FleetSnapshot {
    let service = service_settings(trace, floor);
    let region = RegionSettings {
        weight: 1.0,
        centers: trace
            .hosts
            .keys()
            .map(|name| CenterName::new(name))
            .collect(),
        spill_bits_per_s: 0,
    };
    FleetSnapshot {
        revision: TreeRevision::first(revision),
        settings: Arc::new(FleetSettings {
            freshness: FreshnessSettings {
                lease: Duration::from_secs(3),
                list_lag: Duration::from_secs(5),
                stale_region: Duration::from_hours(4),
                clock_drift_ppm: 200,
            },
            regions: BTreeMap::from([(RegionName::new(REGION), region)]),
            services: BTreeMap::from([(service.name.clone(), service)]),
            routes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }),
        hosts: HostList {
            hosts: listed_hosts(trace),
            servers: leaving
                .iter()
                .map(|name| ListedServer {
                    name: name.clone(),
                    state: HostState::Leaving,
                })
                .collect(),
        },
    }
}

fn listed_hosts(trace: &BackendsTrace) -> Vec<ListedHost> {
    placed_members(&trace.hosts)
        .map(|host| ListedHost {
            name: HostName::new(host.name),
            region: RegionName::new(REGION),
            center: CenterName::new(host.center),
            peer: SocketAddr::from(NOWHERE),
            state: HostState::Live,
            millicores: 1_000,
        })
        .collect()
}

fn service_settings(trace: &BackendsTrace, floor: f64) -> ServiceSettings {
    let servers = placed_members(&trace.servers);
    ServiceSettings {
        name: ServiceName::new(SERVICE),
        floor: floor / 100.0,
        slow_start: Duration::from_secs(2),
        queue: 100,
        retry_budget: 0.2,
        ejection: EjectionSettings {
            base: Duration::from_secs(5),
            max: Duration::from_mins(1),
            slow_factor: 3.0,
            bad_share: 0.2,
        },
        tls: false,
        servers: servers
            .map(|server| {
                let settings = ServerSettings {
                    name: ServerName::new(server.name),
                    address: SocketAddr::from(NOWHERE),
                    region: RegionName::new(REGION),
                    center: CenterName::new(server.center),
                    slots: SLOTS,
                    connections: 400,
                };
                (settings.name.clone(), settings)
            })
            .collect(),
    }
}
