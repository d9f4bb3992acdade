//! Whom to ask in a round, and who speaks across regions.

use super::{FleetMembers, MemberState};
use kws_protocol::{HostName, RegionName, rendezvous_order};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// A region of up to this many hosts is asked whole in every round.
const FULL_MESH_HOSTS: usize = 48;

/// Hosts asked in a round in a larger region while the platform answers.
const SAMPLE_HOSTS: usize = 8;

/// Hosts of one region that ask another region.
const CROSS_HOSTS: usize = 3;

/// Hosts of another region that each of these asks in a round.
const CROSS_TARGETS: usize = 2;

/// Hosts that a change is pushed to at the most.
const PUSH_HOSTS: usize = 8;

impl FleetMembers {
    /// Hosts of the own region to ask in `round`: all of a small region, or of any while the
    /// platform is silent; else a sample. Before any list is held, the seeds.
    pub(crate) fn region_targets(&self, round: u64, platform_silent: bool) -> Vec<HostName> {
        if self.snapshot.is_none() {
            return self.seeds.clone();
        }
        let peers = self.region_peers();
        if platform_silent || peers.len() < FULL_MESH_HOSTS {
            return peers.into_iter().cloned().collect();
        }
        self.sample(peers, &format!("ask/{round}"), SAMPLE_HOSTS)
    }

    /// Hosts of other regions to ask in `round`; none unless this host speaks for its region.
    pub(crate) fn cross_targets(&self, round: u64, now: Instant, lease: Duration) -> Vec<HostName> {
        let mut targets = Vec::new();
        for region in self.other_regions() {
            if self.speaks_to(region, now, lease) {
                let hosts = self.live_hosts().filter(|host| &host.region == region);
                let names = hosts.map(|host| &host.name).collect();
                targets.extend(self.sample(names, &format!("cross/{round}"), CROSS_TARGETS));
            }
        }
        targets
    }

    /// Some hosts of the own region, others for each host that asks.
    pub(crate) fn push_targets(&self, lags: impl Fn(&HostName) -> bool) -> Vec<HostName> {
        let lagging = self.region_peers().into_iter().filter(|name| lags(name));
        self.sample(lagging.collect(), "push", PUSH_HOSTS)
    }

    /// Whether this host is among the first of its region, by rendezvous, that are not silent.
    fn speaks_to(&self, region: &RegionName, now: Instant, lease: Duration) -> bool {
        let own = &self.identity.name;
        let audible = self
            .voters()
            .filter(|name| *name == own || self.state(name, now, lease) != MemberState::Silent);
        rendezvous_order(region.as_str(), audible.map(HostName::as_str))
            .into_iter()
            .take(CROSS_HOSTS)
            .any(|name| name == own.as_str())
    }

    fn region_peers(&self) -> Vec<&HostName> {
        let own = &self.identity.name;
        self.voters().filter(|name| *name != own).collect()
    }

    fn other_regions(&self) -> BTreeSet<&RegionName> {
        self.live_hosts()
            .map(|host| &host.region)
            .filter(|region| **region != self.identity.region)
            .collect()
    }

    fn sample(&self, names: Vec<&HostName>, purpose: &str, count: usize) -> Vec<HostName> {
        let subject = format!("{purpose}/{}", self.identity.name);
        rendezvous_order(&subject, names.into_iter().map(HostName::as_str))
            .into_iter()
            .take(count)
            .map(HostName::new)
            .collect()
    }
}
