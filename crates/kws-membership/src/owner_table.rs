//! Which host of a region owns a shared task, among the hosts that reply.

use crate::{HostCandidate, rank_hosts};
use kws_protocol::{HostList, HostName, ListedHost, RegionName};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time for which a host is skipped after it did not reply, unless a message from it arrives
/// earlier. Without this, each request would wait for the time-out.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(4);

/// A shared task of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedTask<'a> {
    /// What the task is; each task has an owner of its own.
    pub name: &'a str,
    /// Processor share that it needs, in thousandths of a processor.
    pub millicores: u32,
}

/// The hosts of all regions, those that don't reply, and the owners found so far.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    hosts: HashMap<RegionName, Vec<ListedHost>>,
    /// Hosts that are skipped, with the end of their cooldown.
    unresponsive: HashMap<HostName, Instant>,
    /// Owners by region and task, as long as neither the hosts nor those that are skipped change.
    owners: HashMap<RegionName, HashMap<String, Option<HostName>>>,
}

impl OwnerTable {
    /// Applies a newer list of hosts. Returns whether it differs.
    pub fn set_hosts(&mut self, list: &HostList) -> bool {
        let mut hosts: HashMap<RegionName, Vec<ListedHost>> = HashMap::new();
        for host in &list.hosts {
            hosts
                .entry(host.region.clone())
                .or_default()
                .push(host.clone());
        }
        let differs = hosts != self.hosts;
        if differs {
            self.hosts = hosts;
            self.owners.clear();
        }
        differs
    }

    /// Number of hosts in a region.
    pub fn host_count(&self, region: &RegionName) -> usize {
        self.hosts.get(region).map_or(0, Vec::len)
    }

    /// Records that `host` did not reply.
    pub fn record_timeout(&mut self, host: &HostName, now: Instant) {
        let end = now + UNRESPONSIVE_COOLDOWN;
        self.unresponsive.insert(host.clone(), end);
        self.owners.clear();
    }

    /// Records a message from `host`.
    pub fn record_message(&mut self, host: &HostName) {
        if self.unresponsive.remove(host).is_some() {
            self.owners.clear();
        }
    }

    /// The owner of a task in `region` among the hosts that reply; `None` if no host is known there.
    pub fn owner(
        &mut self,
        region: &RegionName,
        task: SharedTask<'_>,
        now: Instant,
    ) -> Option<HostName> {
        self.end_cooldowns(now);
        let known = self.owners.get(region);
        if let Some(owner) = known.and_then(|owners| owners.get(task.name)) {
            return owner.clone();
        }
        let owner = self.find_owner(region, task);
        let owners = self.owners.entry(region.clone()).or_default();
        owners.insert(task.name.to_owned(), owner.clone());
        owner
    }

    /// The owner of a task in `region` and the hosts that own it after it, at most `count`, by the list of
    /// hosts, whether they reply or not.
    pub fn listed_owners(
        &self,
        region: &RegionName,
        task: SharedTask<'_>,
        count: usize,
    ) -> Vec<HostName> {
        let order = rank(self.hosts.get(region).into_iter().flatten(), task);
        order.into_iter().take(count).cloned().collect()
    }

    /// The hosts that become owners of a task in `region` when its owner stops to reply, the next one
    /// first, at most `count`.
    pub fn successors(
        &self,
        region: &RegionName,
        task: SharedTask<'_>,
        count: usize,
    ) -> Vec<HostName> {
        let order = self.rank(region, task).into_iter();
        order.skip(1).take(count).cloned().collect()
    }

    fn find_owner(&self, region: &RegionName, task: SharedTask<'_>) -> Option<HostName> {
        self.rank(region, task).first().copied().cloned()
    }

    /// The hosts of `region` that reply, the owner of the task first.
    fn rank(&self, region: &RegionName, task: SharedTask<'_>) -> Vec<&HostName> {
        let hosts = self.hosts.get(region).into_iter().flatten();
        let responsive = hosts.filter(|host| !self.unresponsive.contains_key(&host.name));
        rank(responsive, task)
    }

    fn end_cooldowns(&mut self, now: Instant) {
        let before = self.unresponsive.len();
        self.unresponsive.retain(|_, end| now < *end);
        if self.unresponsive.len() != before {
            self.owners.clear();
        }
    }
}

/// The hosts in the order in which they own a task.
fn rank<'a>(
    hosts: impl Iterator<Item = &'a ListedHost>,
    task: SharedTask<'_>,
) -> Vec<&'a HostName> {
    let candidates = hosts.map(|host| HostCandidate {
        name: &host.name,
        millicores: host.millicores,
    });
    rank_hosts(task.name, task.millicores, candidates)
}
