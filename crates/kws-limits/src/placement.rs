//! Placement of a region's share of a team: on the region's first hosts in rendezvous order.

use crate::LimitsPolicy;
use kws_protocol::{
    FleetSnapshot, HostName, HostState, RegionName, TeamName, TeamSettings, rendezvous_score,
};

/// The region's share of every team's total, from 0 to 1; the shares of one revision sum to at most
/// 1.
pub fn region_weight(snapshot: &FleetSnapshot, region: &RegionName) -> f64 {
    let regions = &snapshot.settings.regions;
    let sum: f64 = regions.values().map(|settings| settings.weight).sum();
    let weight = regions.get(region).map_or(0.0, |settings| settings.weight);
    weight.max(0.0) / sum.max(1.0)
}

/// The number of hosts, out of `live` hosts of a region, that hold a share of the team.
pub fn holder_count(policy: &LimitsPolicy, team: &TeamSettings, weight: f64, live: usize) -> usize {
    let by_rate = (team.rate * weight / policy.rate_per_holder).ceil() as usize;
    let by_burst = (team.burst * weight / policy.burst_per_holder).floor() as usize;
    by_rate
        .max(policy.min_holders)
        .min(by_burst)
        .max(1)
        .min(live)
}

/// The hosts of a region that hold a share of the team, in rendezvous order.
pub fn region_holders(
    policy: &LimitsPolicy,
    snapshot: &FleetSnapshot,
    region: &RegionName,
    team: &TeamName,
) -> Vec<HostName> {
    let Some(settings) = snapshot.settings.teams.get(team) else {
        return Vec::new();
    };
    let mut scored = score_hosts(snapshot, region, team);
    let weight = region_weight(snapshot, region);
    let count = holder_count(policy, settings, weight, scored.len());
    scored.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(right.1)));
    scored.truncate(count);
    scored.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The fraction of the region's share that `host` holds, from 0 to 1.
pub(crate) fn host_fraction(
    policy: &LimitsPolicy,
    snapshot: &FleetSnapshot,
    region: &RegionName,
    host: &HostName,
    team: &TeamName,
) -> f64 {
    let Some(settings) = snapshot.settings.teams.get(team) else {
        return 0.0;
    };
    let scored = score_hosts(snapshot, region, team);
    let Some(&own) = scored.iter().find(|(_, name)| *name == host) else {
        return 0.0;
    };
    let weight = region_weight(snapshot, region);
    let count = holder_count(policy, settings, weight, scored.len());
    let before = scored
        .iter()
        .filter(|(score, name)| *score > own.0 || (*score == own.0 && *name < own.1))
        .count();
    if before < count {
        1.0 / count as f64
    } else {
        0.0
    }
}

fn score_hosts<'a>(
    snapshot: &'a FleetSnapshot,
    region: &'a RegionName,
    team: &TeamName,
) -> Vec<(u64, &'a HostName)> {
    snapshot
        .hosts
        .in_region(region)
        .filter(|host| host.state == HostState::Live)
        .map(|host| {
            let score = rendezvous_score(team.as_str(), host.name.as_str());
            (score, &host.name)
        })
        .collect()
}
