//! Exchange of the oldest revisions in use between hosts.

use super::LimitsLedger;
use kws_protocol::{
    FleetSnapshot, HostName, HostState, LoanMessage, RegionName, TreeRevision, rendezvous_order,
};
use std::time::Duration;
use tokio::time::Instant;

/// How often a host queries its peers while a superseded revision may be in use.
const QUERY_PERIOD: Duration = Duration::from_secs(1);

/// The number of hosts in each region that exchange revisions with other regions.
const GATEWAYS_PER_REGION: usize = 2;

/// When the host asks its peers next.
#[derive(Debug)]
pub(super) struct RetainedGossip {
    next_at: Instant,
    round: usize,
}

impl RetainedGossip {
    pub(super) fn new(started: Instant) -> Self {
        Self {
            next_at: started,
            round: 0,
        }
    }
}

impl LimitsLedger {
    /// Asks a few peers while a superseded revision may be in use.
    pub(super) fn gossip_retained(&mut self, now: Instant) {
        if now < self.gossip.next_at || !self.window.has_superseded_in_use() {
            return;
        }
        self.gossip.next_at = now + QUERY_PERIOD;
        self.gossip.round += 1;
        for peer in self.query_targets() {
            self.send(&peer, LoanMessage::QueryRetained);
        }
    }

    fn query_targets(&self) -> Vec<HostName> {
        let Some(newest) = self.window.newest() else {
            return Vec::new();
        };
        let gateways = region_gateways(newest, &self.region);
        let mut targets: Vec<HostName> = if self.window.is_unsynced() {
            self.sync_peers(newest)
        } else {
            gateways.clone()
        };
        if gateways.contains(&self.host) {
            let others = newest.settings.regions.keys();
            for region in others.filter(|region| **region != self.region) {
                targets.extend(region_gateways(newest, region));
            }
        }
        targets.retain(|peer| peer != &self.host);
        targets
    }

    /// Every peer that has not replied yet, and one of all peers in round robin.
    fn sync_peers(&self, newest: &FleetSnapshot) -> Vec<HostName> {
        let peers: Vec<&HostName> = newest
            .hosts
            .in_region(&self.region)
            .map(|listed| &listed.name)
            .collect();
        let turn = self.gossip.round % peers.len().max(1);
        peers
            .into_iter()
            .enumerate()
            .filter(|(index, peer)| *index == turn || !self.window.is_peer_unsynced(peer))
            .map(|(_, peer)| peer.clone())
            .collect()
    }

    /// Sends the known oldest revisions to a peer; that of the own region is 0 while unknown.
    pub(super) fn send_retained(&mut self, to: &HostName) {
        let own = self.window.retained().oldest(&self.region);
        let others = self.window.retained().iter();
        let mut known: Vec<(RegionName, TreeRevision)> = others
            .filter(|(region, _)| **region != self.region)
            .map(|(region, oldest)| (region.clone(), oldest))
            .collect();
        known.push((self.region.clone(), own));
        for (region, oldest) in known {
            self.send(to, LoanMessage::Retained { region, oldest });
        }
    }

    /// Records an oldest revision that a peer has sent.
    pub(super) fn record_retained(
        &mut self,
        from: &HostName,
        region: &RegionName,
        oldest: TreeRevision,
        now: Instant,
    ) {
        if region == &self.region {
            let synced = oldest > TreeRevision::default();
            self.window.record_peer_sync(from, synced, now);
        }
        self.window.raise_retained(region, oldest, now);
    }
}

fn region_gateways(snapshot: &FleetSnapshot, region: &RegionName) -> Vec<HostName> {
    let live = snapshot
        .hosts
        .in_region(region)
        .filter(|listed| listed.state == HostState::Live)
        .map(|listed| listed.name.as_str());
    rendezvous_order(region.as_str(), live)
        .into_iter()
        .take(GATEWAYS_PER_REGION)
        .map(HostName::new)
        .collect()
}
