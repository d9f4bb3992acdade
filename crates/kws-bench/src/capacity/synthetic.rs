//! Trees, lists and peers of any size.

use super::target::{CENTERS, REGIONS};
use kws_protocol::{
    FleetSnapshot, HostList, HostName, HostState, ListedHost, PublishedValues, RegionName,
    ServerName, ServiceName, TeamName, TreeRevision, rendezvous_score,
};
use kws_tree::resolve;
use std::{collections::BTreeMap, fmt::Write, sync::Arc};

/// Teams of one branch: below the platform's largest value.
pub const BRANCH_TEAMS: usize = 6_000;
/// Services of one branch.
const BRANCH_SERVICES: usize = 30;
/// One team in so many is a large one.
const LARGE_TEAM: usize = 100;

/// The size of a tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeSize {
    /// Entry hosts.
    pub hosts: usize,
    /// Services.
    pub services: usize,
    /// Backend servers.
    pub upstreams: usize,
    /// Routes.
    pub routes: usize,
    /// Teams.
    pub teams: usize,
}

/// The name of a host by its number; hosts go round the regions.
pub fn host_name(index: usize) -> HostName {
    HostName::new(&format!("host-{index:04}-life-1"))
}

/// The name of a region by its number.
pub fn region_name(index: usize) -> RegionName {
    RegionName::new(&format!("region-{index}"))
}

/// The name of a service by its number.
pub fn service_name(index: usize) -> ServiceName {
    ServiceName::new(&format!("service-{index:03}"))
}

/// The name of a backend server by its number.
pub fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("server-{index:04}"))
}

/// The name of a team by its number.
pub fn team_name(index: usize) -> TeamName {
    TeamName::new(&format!("team-{index:05}"))
}

/// The values that the platform publishes for a tree.
pub fn published(size: TreeSize, revision: u64) -> PublishedValues {
    let mut values: BTreeMap<String, Arc<str>> = BTreeMap::new();
    values.insert("root.yaml".into(), root_branch().into());
    values.insert("hosts.json".into(), host_list(size.hosts).into());
    for (branch, first) in (0..size.services).step_by(BRANCH_SERVICES).enumerate() {
        let last = (first + BRANCH_SERVICES).min(size.services);
        let text = service_branch(size, first..last);
        values.insert(format!("services-{branch:02}.yaml"), text.into());
    }
    for (branch, first) in (0..size.teams).step_by(BRANCH_TEAMS).enumerate() {
        let last = (first + BRANCH_TEAMS).min(size.teams);
        let text = team_branch(first..last);
        values.insert(format!("teams-{branch:02}.yaml"), text.into());
    }
    PublishedValues {
        revision: TreeRevision::first(revision),
        values,
    }
}

/// The resolved tree.
pub fn snapshot(size: TreeSize, revision: u64) -> Arc<FleetSnapshot> {
    match resolve(&published(size, revision)) {
        Ok(snapshot) => Arc::new(snapshot),
        Err(findings) => panic!("the synthetic tree is wrong: {}", findings[0]),
    }
}

/// The teams' branch text.
pub fn team_branch(teams: std::ops::Range<usize>) -> String {
    let mut text = "teams:\n".to_owned();
    for team in teams {
        let (rate, burst) = if team % LARGE_TEAM == 0 {
            (100, 50)
        } else {
            (5, 10)
        };
        let name = team_name(team);
        // Real digests differ in their first bytes, by which they are indexed.
        let first = rendezvous_score("digest", name.as_str());
        let _ = writeln!(
            text,
            "  {name}: {{rate: {rate}/s, burst: {burst}, keys: [sha256:{first:016x}{team:048x}]}}"
        );
    }
    text
}

fn root_branch() -> String {
    let mut text = "freshness: {lease: 3s, list_lag: 5s, stale_region: 4h}\nregions:\n".to_owned();
    for region in 0..REGIONS {
        let centers: Vec<String> = (region..CENTERS).step_by(REGIONS).map(center).collect();
        let weight = if region == 0 { 34 } else { 33 };
        let _ = writeln!(
            text,
            "  region-{region}: {{weight: {weight}%, centers: [{}], spill: 5 Mbit/s}}",
            centers.join(", ")
        );
    }
    text.push_str("defaults:\n  service: {floor: 60%, server: {slots: 3, connections: 330}}\n");
    text
}

fn service_branch(size: TreeSize, services: std::ops::Range<usize>) -> String {
    let mut text = "services:\n".to_owned();
    for service in services.clone() {
        let _ = writeln!(text, "  {}:\n    servers:", service_name(service));
        for server in (service..size.upstreams).step_by(size.services) {
            let at = server % CENTERS;
            let _ = writeln!(
                text,
                "      {}: {{address: \"127.{}.{}.1:8080\", region: region-{}, center: {}}}",
                server_name(server),
                1 + server / 250,
                server % 250,
                at % REGIONS,
                center(at)
            );
        }
    }
    text.push_str("routes:\n");
    for route in (0..size.routes).filter(|route| services.contains(&(route % size.services))) {
        let service = service_name(route % size.services);
        let _ = writeln!(
            text,
            "  route-{route:04}: {{path: /part-{route:04}, service: {service}, access: any_team}}"
        );
    }
    text
}

fn center(index: usize) -> String {
    format!("center-{index}")
}

fn host_list(hosts: usize) -> String {
    let hosts = (0..hosts).map(listed).collect();
    let list = HostList {
        hosts,
        servers: Vec::new(),
    };
    serde_json::to_string(&list).expect("a list is JSON")
}

fn listed(index: usize) -> ListedHost {
    let region = index % REGIONS;
    let centers: Vec<usize> = (region..CENTERS).step_by(REGIONS).collect();
    let at = centers[(index / REGIONS) % centers.len()];
    ListedHost {
        name: host_name(index),
        region: region_name(region),
        center: center(at).as_str().into(),
        peer: ([127, 1, (index / 250) as u8, (index % 250) as u8], 7000).into(),
        state: HostState::Live,
        millicores: 1_000,
    }
}
