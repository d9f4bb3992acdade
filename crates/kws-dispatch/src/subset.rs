//! Which servers a host connects to, and with how many connections.

use kws_protocol::{HostName, RegionName, ServerName, ServerSettings, rendezvous_score};
use std::collections::BTreeMap;

/// Connections below which a host has no use for a server.
const MIN_CONNECTIONS: u32 = 2;

/// The connections that `own` may hold to each server; servers outside its subset are absent.
///
/// Every host computes the same subsets from the same list, and no server gets more than its
/// connections.
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
    fill_rounds(hosts, servers)
        .remove(own)
        .unwrap_or_default()
        .into_iter()
        .map(|name| (name.clone(), MIN_CONNECTIONS.min(servers[name].connections)))
        .collect()
}

/// Each round gives each host one more server: the first of its own order with a place left.
fn fill_rounds<'a>(
    hosts: &'a BTreeMap<HostName, RegionName>,
    servers: &'a BTreeMap<ServerName, ServerSettings>,
) -> BTreeMap<&'a HostName, Vec<&'a ServerName>> {
    let mut places: BTreeMap<&ServerName, u32> = servers
        .iter()
        .map(|(name, server)| (name, (server.connections / MIN_CONNECTIONS).max(1)))
        .collect();
    let mut orders: BTreeMap<&HostName, std::vec::IntoIter<&ServerName>> = hosts
        .iter()
        .map(|(host, region)| (host, preference(host, region, servers).into_iter()))
        .collect();
    let mut taken: BTreeMap<&HostName, Vec<&ServerName>> = BTreeMap::new();
    for _ in 0..servers.len() {
        for (host, order) in &mut orders {
            // A server that was full once stays full, so the order is walked only once.
            let Some(server) = order.find(|server| places[*server] > 0) else {
                continue;
            };
            places.entry(server).and_modify(|left| *left -= 1);
            taken.entry(host).or_default().push(server);
        }
    }
    taken
}

/// The servers in the order in which `host` wants them: its own region first, then by rendezvous.
fn preference<'a>(
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
