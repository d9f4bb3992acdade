//! The platform's host list, indexed for the lease and for the selection of targets.

use super::HostIdentity;
use kws_protocol::{HostList, HostName, HostState, RegionName};
use std::collections::BTreeMap;

/// The listed hosts as one host sees them.
#[derive(Clone, Debug)]
pub(super) struct HostRoster {
    states: BTreeMap<HostName, HostState>,
    peers: Vec<HostName>,
    own_is_live: bool,
    remote_regions: BTreeMap<RegionName, Vec<HostName>>,
}

impl HostRoster {
    pub(super) fn new(list: &HostList, identity: &HostIdentity) -> Self {
        let mut roster = Self {
            states: BTreeMap::new(),
            peers: Vec::new(),
            own_is_live: false,
            remote_regions: BTreeMap::new(),
        };
        for host in &list.hosts {
            roster.states.insert(host.name.clone(), host.state);
            if host.state == HostState::Live {
                roster.add_live(&host.name, &host.region, identity);
            }
        }
        roster
    }

    /// The listed state of `name`; none if it is not listed.
    pub(super) fn state(&self, name: &HostName) -> Option<HostState> {
        self.states.get(name).copied()
    }

    /// The other live hosts of the own region.
    pub(super) fn peers(&self) -> &[HostName] {
        &self.peers
    }

    /// The live hosts of each other region.
    pub(super) fn remote_regions(&self) -> impl Iterator<Item = (&RegionName, &[HostName])> {
        self.remote_regions
            .iter()
            .map(|(region, names)| (region, names.as_slice()))
    }

    /// The number of replies that form a majority of the region, together with this host if it is
    /// listed as live; none when the list has no live host of the region.
    pub(super) fn replies_needed(&self) -> Option<usize> {
        let own = usize::from(self.own_is_live);
        let voters = self.peers.len() + own;
        (voters > 0).then(|| voters / 2 + 1 - own)
    }

    fn add_live(&mut self, name: &HostName, region: &RegionName, identity: &HostIdentity) {
        if *region != identity.region {
            let names = self.remote_regions.entry(region.clone()).or_default();
            names.push(name.clone());
        } else if *name == identity.name {
            self.own_is_live = true;
        } else {
            self.peers.push(name.clone());
        }
    }
}
