//! Sample fleets for tests and measurements.

use kws_protocol::{
    CenterName, EjectionSettings, FleetSettings, FleetSnapshot, FreshnessSettings, HostList,
    HostName, HostState, ListedHost, ListedServer, RegionName, RegionSettings, ServerName,
    ServerSettings, ServiceName, ServiceSettings, TreeRevision,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// The data centres with their regions; hosts and servers are spread over them in turn.
const CENTERS: [(&str, &str); 4] = [
    ("vidzemes", "turaida"),
    ("zemgales", "iecava"),
    ("vidzemes", "ligatne"),
    ("zemgales", "tervete"),
];

/// The sizes and settings of a sample fleet.
#[derive(Clone, Debug)]
pub struct SampleFleet {
    /// Entry hosts.
    pub hosts: usize,
    /// Services with their numbers of backend servers.
    pub services: Vec<(&'static str, usize)>,
    /// The floor of every service.
    pub floor: f64,
    /// The slots of every server.
    pub slots: u32,
    /// The connections of every server.
    pub connections: u32,
    /// The queue of every service.
    pub queue: u32,
    /// The spill budget of every region, in bits a second.
    pub spill_bits_per_s: u64,
    /// Servers listed as leaving.
    pub leaving: BTreeSet<ServerName>,
}

impl SampleFleet {
    /// A fleet with one service, `listing`, and the settings of today's deployments.
    pub fn new(hosts: usize, servers: usize) -> Self {
        Self {
            hosts,
            services: vec![("listing", servers)],
            floor: 0.7,
            slots: 3,
            connections: 400,
            queue: 64,
            spill_bits_per_s: 3_000_000,
            leaving: BTreeSet::new(),
        }
    }

    /// The settings of the fleet.
    pub fn settings(&self) -> FleetSettings {
        FleetSettings {
            freshness: freshness(),
            regions: self.regions(),
            services: self.services.iter().map(|one| self.service(*one)).collect(),
            routes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// What the platform publishes of the fleet.
    pub fn snapshot(&self) -> FleetSnapshot {
        FleetSnapshot {
            revision: TreeRevision::first(1),
            settings: Arc::new(self.settings()),
            hosts: HostList {
                hosts: (0..self.hosts).map(listed_host).collect(),
                servers: self.leaving.iter().map(leaving_server).collect(),
            },
        }
    }

    fn regions(&self) -> BTreeMap<RegionName, RegionSettings> {
        let mut regions: BTreeMap<RegionName, RegionSettings> = BTreeMap::new();
        for (region, center) in CENTERS {
            regions
                .entry(RegionName::new(region))
                .or_insert_with(|| RegionSettings {
                    weight: 0.5,
                    centers: BTreeSet::new(),
                    spill_bits_per_s: self.spill_bits_per_s,
                })
                .centers
                .insert(CenterName::new(center));
        }
        regions
    }

    fn service(&self, (name, servers): (&str, usize)) -> (ServiceName, ServiceSettings) {
        let settings = ServiceSettings {
            name: ServiceName::new(name),
            floor: self.floor,
            slow_start: Duration::from_secs(10),
            queue: self.queue,
            retry_budget: 0.2,
            ejection: EjectionSettings {
                base: Duration::from_secs(10),
                max: Duration::from_mins(2),
                slow_factor: 3.0,
                bad_share: 0.2,
            },
            tls: false,
            servers: (0..servers).map(|at| self.server(name, at)).collect(),
        };
        (settings.name.clone(), settings)
    }

    fn server(&self, service: &str, at: usize) -> (ServerName, ServerSettings) {
        let (region, center) = CENTERS[at % CENTERS.len()];
        let settings = ServerSettings {
            name: server_name(service, at),
            address: loopback(20_000 + at),
            region: RegionName::new(region),
            center: CenterName::new(center),
            slots: self.slots,
            connections: self.connections,
        };
        (settings.name.clone(), settings)
    }
}

/// The name of a service's server.
pub fn server_name(service: &str, at: usize) -> ServerName {
    ServerName::new(&format!("{service}-{at:02}"))
}

/// The name of an entry host.
pub fn host_name(at: usize) -> HostName {
    HostName::new(&format!("host-{at:03}"))
}

/// The region and data centre of the host or server at a place of its list.
pub fn place_of(at: usize) -> (RegionName, CenterName) {
    let (region, center) = CENTERS[at % CENTERS.len()];
    (RegionName::new(region), CenterName::new(center))
}

fn listed_host(at: usize) -> ListedHost {
    let (region, center) = place_of(at);
    ListedHost {
        name: host_name(at),
        region,
        center,
        peer: loopback(10_000 + at),
        state: HostState::Live,
        millicores: 1_000,
    }
}

fn leaving_server(name: &ServerName) -> ListedServer {
    ListedServer {
        name: name.clone(),
        state: HostState::Leaving,
    }
}

fn loopback(port: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}

fn freshness() -> FreshnessSettings {
    FreshnessSettings {
        lease: Duration::from_secs(5),
        list_lag: Duration::from_secs(2),
        stale_region: Duration::from_hours(1),
        clock_drift_ppm: 200,
    }
}
