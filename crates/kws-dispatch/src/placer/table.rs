//! The servers of one service, indexed by what decides on placements. Each change of a server
//! updates the index, so that a placement doesn't look at every server.

mod index;
mod unused;

use super::{evidence::ServerHealth, server::PoolServer};
use index::ServerIndex;
pub(crate) use index::{FreeGroup, ServerPosition};
use kws_protocol::{CenterName, RegionName, ServerName, ServiceSettings};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};
use tokio::time::Instant;
use unused::UnusedServers;

/// Indexed servers.
#[derive(Clone, Debug)]
pub(crate) struct ServerTable {
    region: RegionName,
    slow_start: Duration,
    servers: BTreeMap<ServerName, PoolServer>,
    index: ServerIndex,
    unused: UnusedServers,
    /// When servers change without an event: the end of a cooldown, of an ejection and the like.
    /// Entries of servers that changed since do no harm.
    timers: BinaryHeap<Reverse<(Instant, ServerName)>>,
}

impl ServerTable {
    /// Creates a table without servers for a placer of `region`. Servers count as unused after
    /// `unused_period` without a request.
    pub(crate) fn new(region: RegionName, unused_period: Duration) -> Self {
        Self {
            region,
            slow_start: Duration::ZERO,
            servers: BTreeMap::new(),
            index: ServerIndex::default(),
            unused: UnusedServers::new(unused_period),
            timers: BinaryHeap::new(),
        }
    }

    /// Applies newer settings. `first` servers begin without slow start.
    pub(crate) fn apply_settings(&mut self, settings: &ServiceSettings, first: bool, now: Instant) {
        self.slow_start = settings.slow_start;
        let gone: Vec<ServerName> = self
            .servers
            .keys()
            .filter(|name| !settings.servers.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            self.servers.remove(&name);
            self.index.remove(&name);
            self.unused.remove(&name);
        }
        for (name, server) in &settings.servers {
            self.servers
                .entry(name.clone())
                .or_insert_with(|| PoolServer::new(server, !first, now))
                .apply_settings(server, now);
            self.reindex(name, now);
        }
    }

    /// Changes a server and updates its place in the index. Returns what `change` returns, or `None`
    /// for an unknown server.
    pub(crate) fn update<T>(
        &mut self,
        name: &ServerName,
        now: Instant,
        change: impl FnOnce(&mut PoolServer) -> T,
    ) -> Option<T> {
        let result = change(self.servers.get_mut(name)?);
        self.reindex(name, now);
        Some(result)
    }

    /// Updates the servers that changed with time.
    pub(crate) fn refresh(&mut self, now: Instant) {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
        {
            if let Some(Reverse((_, name))) = self.timers.pop() {
                self.reindex(&name, now);
            }
        }
        self.unused.refresh(now);
    }

    fn reindex(&mut self, name: &ServerName, now: Instant) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let is_local = server.settings.region == self.region;
        let position = ServerPosition::of(server, is_local, self.slow_start, now);
        self.index.set(name, position);
        if is_local {
            self.unused.set_used(name, server.last_used, now);
        }
        if let Some(at) = server.next_change(self.slow_start, now) {
            self.timers.push(Reverse((at, name.clone())));
        }
    }

    /// A server.
    pub(crate) fn get(&self, name: &ServerName) -> Option<&PoolServer> {
        self.servers.get(name)
    }

    /// All servers by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServerName, &PoolServer)> {
        self.servers.iter()
    }

    /// The servers of the region.
    pub(crate) fn local(&self) -> impl Iterator<Item = (&ServerName, &PoolServer)> {
        let servers = self.servers.iter();
        servers.filter(|(_, server)| server.settings.region == self.region)
    }

    /// Length of the slow start of new servers.
    pub(crate) fn slow_start(&self) -> Duration {
        self.slow_start
    }

    /// Number of servers in the region.
    pub(crate) fn local_count(&self) -> usize {
        self.index.local_count()
    }

    /// Number of the region's present servers that are not ejected.
    pub(crate) fn available_count(&self) -> usize {
        self.index.available_count()
    }

    /// Usable slots of the region's healthy servers.
    pub(crate) fn healthy_slots(&self) -> u32 {
        self.index.healthy_slots()
    }

    /// Slots of all servers of the region, and of those that are present and not ejected, without
    /// `name`.
    pub(crate) fn slots_without(&self, name: &ServerName) -> (u32, u32) {
        self.index.slots_without(name)
    }

    /// Free slots of the region's healthy servers.
    pub(crate) fn healthy_free(&self) -> u32 {
        self.index.healthy_free()
    }

    /// Number of the region's servers that got no request for the unused period.
    pub(crate) fn unused_count(&self) -> usize {
        self.unused.count()
    }

    /// Healthy servers with free slots, in groups of equal load and data centre. Within a group, the
    /// one used least recently comes first.
    pub(crate) fn free_groups(
        &self,
        is_local: bool,
    ) -> impl Iterator<Item = (&FreeGroup, impl Iterator<Item = &ServerName>)> {
        self.index.free_groups(is_local)
    }

    /// Whether a healthy server of this or another region has a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.index.has_free_slot()
    }

    /// The region's suspect and ejected servers, the one used least recently first.
    pub(crate) fn avoided(&self) -> impl Iterator<Item = (&ServerName, &PoolServer)> {
        let names = self.index.avoided();
        names.filter_map(|name| self.servers.get_key_value(name))
    }

    /// A number that changes whenever a suspect or ejected server does.
    pub(crate) fn avoided_version(&self) -> u64 {
        self.index.avoided_version()
    }

    /// The region's present servers whose health is `worst` or better.
    pub(crate) fn present(
        &self,
        worst: ServerHealth,
        now: Instant,
    ) -> impl Iterator<Item = (&ServerName, &PoolServer)> {
        let servers = self.local();
        servers.filter(move |(_, server)| server.is_available(now) && server.health(now) <= worst)
    }
}

/// The data centre of a group and its load.
impl FreeGroup {
    /// Whether the servers are in `center`.
    pub(crate) fn is_in(&self, center: &CenterName) -> bool {
        self.center == *center
    }
}
