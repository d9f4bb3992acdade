//! Selects the hosts to ask in a round, and the hosts that ask other regions.

use super::{FleetMembers, HostRoster, MemberState};
use kws_protocol::{HostName, RegionName, rendezvous_order};
use std::time::Duration;
use tokio::time::Instant;

/// In a region of up to this many hosts, each asks all others in every round.
const FULL_MESH_HOSTS: usize = 48;

/// Hosts that a host of a larger region asks in a round while the platform answers.
const SAMPLE_HOSTS: usize = 8;

/// Rounds for which a sample stays the same, so that connections are reused.
const SAMPLE_ROUNDS: u64 = 60;

/// Hosts of one region that ask another region.
const CROSS_REGION_HOSTS: usize = 3;

/// Hosts of another region that each of the [`CROSS_REGION_HOSTS`] asks in a round.
const CROSS_REGION_TARGETS: usize = 2;

/// The maximum number of hosts to which a change is pushed.
const PUSH_HOSTS: usize = 8;

impl FleetMembers {
    /// Hosts of the own region to ask in `round`: all of them in a small region or while the
    /// platform does not answer, otherwise a sample. Before the first host list, the seeds.
    pub(crate) fn region_targets(&self, round: u64, platform_unreachable: bool) -> Vec<HostName> {
        if self.roster.is_none() {
            return self.seeds.clone();
        }
        let peers = self.region_peers();
        if platform_unreachable || peers.len() < FULL_MESH_HOSTS {
            return peers.to_vec();
        }
        self.sample(
            peers,
            &format!("ask/{}", round / SAMPLE_ROUNDS),
            SAMPLE_HOSTS,
        )
    }

    /// Hosts of other regions to ask in `round`; empty unless this host is one that asks them.
    pub(crate) fn cross_region_targets(
        &self,
        round: u64,
        now: Instant,
        lease: Duration,
    ) -> Vec<HostName> {
        let mut targets = Vec::new();
        let purpose = format!("cross/{}", round / SAMPLE_ROUNDS);
        for (region, names) in self.roster.iter().flat_map(HostRoster::remote_regions) {
            if self.queries_region(region, now, lease) {
                targets.extend(self.sample(names, &purpose, CROSS_REGION_TARGETS));
            }
        }
        targets
    }

    /// A sample of the hosts of the own region for which `lags` returns true. It differs between
    /// hosts, so that together they reach more.
    pub(crate) fn push_targets(&self, lags: impl Fn(&HostName) -> bool) -> Vec<HostName> {
        let lagging = self.region_peers().iter().filter(|name| lags(name));
        self.sample(lagging, "push", PUSH_HOSTS)
    }

    /// Whether this host asks `region`: it is among the first [`CROSS_REGION_HOSTS`] of its own
    /// region in rendezvous order, unresponsive hosts left out.
    fn queries_region(&self, region: &RegionName, now: Instant, lease: Duration) -> bool {
        let own = &self.identity.name;
        let peers = self.region_peers().iter();
        let responsive =
            peers.filter(|name| self.state(name, now, lease) != MemberState::Unresponsive);
        let names = responsive.chain([own]).map(HostName::as_str);
        rendezvous_order(region.as_str(), names)
            .into_iter()
            .take(CROSS_REGION_HOSTS)
            .any(|name| name == own.as_str())
    }

    fn sample<'a, I>(&self, names: I, purpose: &str, count: usize) -> Vec<HostName>
    where
        I: IntoIterator<Item = &'a HostName>,
    {
        let subject = format!("{purpose}/{}", self.identity.name);
        let names = names.into_iter().map(HostName::as_str);
        rendezvous_order(&subject, names)
            .into_iter()
            .take(count)
            .map(HostName::new)
            .collect()
    }
}
