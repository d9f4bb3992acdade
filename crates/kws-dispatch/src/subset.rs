//! Subsetting: selects the servers that a host connects to, and its connections to each.

use kws_protocol::{HostName, RegionName, ServerName, ServerSettings, rendezvous_score};
use std::collections::BTreeMap;

/// Smallest useful number of connections from one host to one server.
const MIN_CONNECTIONS: u32 = 2;

/// The number of connections that `own` may hold to each server. Servers outside its subset are
/// absent.
///
/// All hosts compute the same subsets from the same list, and no server gets more connections than
/// it accepts.
pub(crate) fn connection_shares(
    own: &HostName,
    hosts: &BTreeMap<HostName, RegionName>,
    servers: &BTreeMap<ServerName, ServerSettings>,
) -> BTreeMap<ServerName, u32> {
    let count = hosts.len().max(1) as u32;
    let all_fit = servers
        .values()
        .all(|server| server.connections / count >= MIN_CONNECTIONS);
    if all_fit {
        return servers
            .iter()
            .map(|(name, server)| (name.clone(), server.connections / count))
            .collect();
    }
    assign_in_rounds(hosts, servers)
        .remove(own)
        .unwrap_or_default()
        .into_iter()
        .map(|name| (name.clone(), MIN_CONNECTIONS.min(servers[name].connections)))
        .collect()
}

/// Assigns servers to hosts in rounds. Each round gives each host one more server: the first in its
/// order of preference that can take another host.
fn assign_in_rounds<'a>(
    hosts: &'a BTreeMap<HostName, RegionName>,
    servers: &'a BTreeMap<ServerName, ServerSettings>,
) -> BTreeMap<&'a HostName, Vec<&'a ServerName>> {
    let mut free_shares: BTreeMap<&ServerName, u32> = servers
        .iter()
        .map(|(name, server)| (name, (server.connections / MIN_CONNECTIONS).max(1)))
        .collect();
    let mut orders: BTreeMap<&HostName, std::vec::IntoIter<&ServerName>> = hosts
        .iter()
        .map(|(host, region)| (host, preference_order(host, region, servers).into_iter()))
        .collect();
    let mut assigned: BTreeMap<&HostName, Vec<&ServerName>> = BTreeMap::new();
    for _ in 0..servers.len() {
        for (host, order) in &mut orders {
            // A full server stays full, so each order is traversed only once.
            let Some(server) = order.find(|server| free_shares[*server] > 0) else {
                continue;
            };
            free_shares.entry(server).and_modify(|free| *free -= 1);
            assigned.entry(host).or_default().push(server);
        }
    }
    assigned
}

/// The servers in the order of preference of `host`: those of its own region first, and within each
/// group by rendezvous hashing.
fn preference_order<'a>(
    host: &HostName,
    region: &RegionName,
    servers: &'a BTreeMap<ServerName, ServerSettings>,
) -> Vec<&'a ServerName> {
    let mut order: Vec<(bool, u64, &ServerName)> = servers
        .iter()
        .map(|(name, server)| {
            let score = rendezvous_score(host.as_str(), name.as_str());
            (&server.region != region, u64::MAX - score, name)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, name)| name).collect()
}
