//! Checks of services: floors that can hold, and servers that stand where the tree says.

use super::field_finding;
use crate::{
    Finding, Problem,
    merge::{MergedTree, duplicate_name},
    node::TreeNode,
    unit::format_share,
};
use kws_protocol::{FleetSettings, ServerSettings, ServiceSettings};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    sync::Arc,
};

/// Rounding that a floor is forgiven, in slots.
const FLOOR_TOLERANCE: f64 = 1e-6;

/// Servers that were seen before.
#[derive(Default)]
struct SeenServers<'a> {
    names: BTreeMap<Arc<str>, &'a TreeNode>,
    addresses: BTreeMap<SocketAddr, Arc<str>>,
}

pub(super) fn check_services(
    tree: &MergedTree,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) {
    let mut seen = SeenServers::default();
    for service in settings.services.values() {
        let entry = &tree.services[service.name.as_str()];
        check_floor(entry, service, findings);
        let Some(servers) = entry.member("servers").and_then(TreeNode::members) else {
            continue;
        };
        for (name, node) in servers {
            check_unique(&mut seen, name, node, findings);
            if let Some(server) = service.servers.get(&**name) {
                check_address(&mut seen, name, node, server, findings);
                check_place(settings, node, server, findings);
            }
        }
    }
}

fn check_floor(entry: &TreeNode, service: &ServiceSettings, findings: &mut Vec<Finding>) {
    let slots = || service.servers.values().map(|server| server.slots);
    let Some(least) = slots().min() else {
        findings.push(field_finding(entry, "servers", Problem::NoServers));
        return;
    };
    let total: u64 = slots().map(u64::from).sum();
    let spare = total as f64 * (1.0 - service.floor);
    if spare + FLOOR_TOLERANCE < f64::from(least) {
        let problem = Problem::FloorTooHigh {
            floor: format_share(service.floor),
            slots: total,
        };
        findings.push(field_finding(entry, "floor", problem));
    }
    if service.ejection.base > service.ejection.max {
        let problem = Problem::Contradiction("`ejection.base` is longer than `ejection.max`");
        findings.push(field_finding(entry, "ejection", problem));
    }
}

fn check_unique<'a>(
    seen: &mut SeenServers<'a>,
    name: &Arc<str>,
    node: &'a TreeNode,
    findings: &mut Vec<Finding>,
) {
    match seen.names.entry(name.clone()) {
        Entry::Occupied(first) => findings.push(duplicate_name(name, first.get(), node)),
        Entry::Vacant(entry) => {
            entry.insert(node);
        }
    }
}

fn check_address(
    seen: &mut SeenServers<'_>,
    name: &Arc<str>,
    node: &TreeNode,
    server: &ServerSettings,
    findings: &mut Vec<Finding>,
) {
    if node.member("address").is_none() || server.address.port() == 0 {
        return;
    }
    match seen.addresses.entry(server.address) {
        Entry::Occupied(first) => {
            let problem = Problem::DuplicateAddress {
                address: server.address.to_string(),
                first: first.get().to_string(),
            };
            findings.push(field_finding(node, "address", problem));
        }
        Entry::Vacant(entry) => {
            entry.insert(name.clone());
        }
    }
}

fn check_place(
    settings: &FleetSettings,
    node: &TreeNode,
    server: &ServerSettings,
    findings: &mut Vec<Finding>,
) {
    if node.member("region").is_none() {
        return;
    }
    let Some(region) = settings.regions.get(&server.region) else {
        let problem = Problem::DanglingRegion(server.region.to_string());
        findings.push(field_finding(node, "region", problem));
        return;
    };
    if node.member("center").is_some() && !region.centers.contains(&server.center) {
        let problem = Problem::DanglingCenter {
            region: server.region.to_string(),
            center: server.center.to_string(),
        };
        findings.push(field_finding(node, "center", problem));
    }
}
