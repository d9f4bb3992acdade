//! Whom to ask in a round, and who speaks across regions.

use super::{FleetMembers, HostRoster, MemberState};
use kws_protocol::{HostName, RegionName, rendezvous_order};
use std::time::Duration;
use tokio::time::Instant;

/// A region of up to this many hosts is asked whole in every round.
const FULL_MESH_HOSTS: usize = 48;

/// Hosts asked in a round in a larger region while the platform answers.
const SAMPLE_HOSTS: usize = 8;

/// Rounds in which a sample stays the same, so that its connections last.
const SAMPLE_ROUNDS: u64 = 60;

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
        if self.roster.is_none() {
            return self.seeds.clone();
        }
        let peers = self.region_peers();
        if platform_silent || peers.len() < FULL_MESH_HOSTS {
            return peers.to_vec();
        }
        self.sample(
            peers,
            &format!("ask/{}", round / SAMPLE_ROUNDS),
            SAMPLE_HOSTS,
        )
    }

    /// Hosts of other regions to ask in `round`; none unless this host speaks for its region.
    pub(crate) fn cross_targets(&self, round: u64, now: Instant, lease: Duration) -> Vec<HostName> {
        let mut targets = Vec::new();
        let purpose = format!("cross/{}", round / SAMPLE_ROUNDS);
        for (region, names) in self.roster.iter().flat_map(HostRoster::others) {
            if self.speaks_to(region, now, lease) {
                targets.extend(self.sample(names, &purpose, CROSS_TARGETS));
            }
        }
        targets
    }

    /// Some hosts of the own region, others for each host that asks.
    pub(crate) fn push_targets(&self, lags: impl Fn(&HostName) -> bool) -> Vec<HostName> {
        let lagging = self.region_peers().iter().filter(|name| lags(name));
        self.sample(lagging, "push", PUSH_HOSTS)
    }

    /// Whether this host is among the first of its region, by rendezvous, that are not silent.
    fn speaks_to(&self, region: &RegionName, now: Instant, lease: Duration) -> bool {
        let own = &self.identity.name;
        let peers = self.region_peers().iter();
        let audible = peers.filter(|name| self.state(name, now, lease) != MemberState::Silent);
        let names = audible.chain([own]).map(HostName::as_str);
        rendezvous_order(region.as_str(), names)
            .into_iter()
            .take(CROSS_HOSTS)
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
