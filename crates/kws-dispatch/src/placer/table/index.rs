//! Sets and counters of servers by their present state.

use crate::placer::{evidence::ServerHealth, server::PoolServer};
use kws_protocol::{CenterName, ServerName};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Healthy servers with a free slot that are alike in all but their last use.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FreeGroup {
    /// Whether they are in the placer's region.
    pub(super) is_local: bool,
    /// Their data centre.
    pub(super) center: CenterName,
    /// Requests running, in thousandths of the usable slots.
    pub(crate) load: u32,
}

/// Servers by their last use.
type UseOrder = BTreeSet<(Option<Instant>, ServerName)>;

/// What the index holds of a server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerPosition {
    is_local: bool,
    /// Set for a healthy server with a free slot.
    free: Option<FreeGroup>,
    /// Whether the server is suspect or ejected, and has not announced its departure.
    is_avoided: bool,
    is_available: bool,
    last_used: Option<Instant>,
    slots: u32,
    healthy_slots: u32,
    free_slots: u32,
}

impl ServerPosition {
    /// The position of a server at `now`.
    pub(crate) fn of(
        server: &PoolServer,
        is_local: bool,
        slow_start: Duration,
        now: Instant,
    ) -> Self {
        let health = server.health(now);
        let is_present = server.is_available(now);
        let is_healthy = is_present && health == ServerHealth::Healthy;
        let slots = server.usable_slots(slow_start, now);
        let free_slots = if is_healthy && !server.in_cooldown(now) {
            server.free_slots(slow_start, now)
        } else {
            0
        };
        let free = (free_slots > 0).then(|| FreeGroup {
            is_local,
            center: server.settings.center.clone(),
            load: server.load(now) * 1_000 / slots.max(1),
        });
        Self {
            is_local,
            free,
            is_avoided: is_present && health != ServerHealth::Healthy,
            is_available: is_present && health != ServerHealth::Unhealthy,
            last_used: server.last_used,
            slots: server.settings.slots,
            healthy_slots: if is_healthy { slots } else { 0 },
            free_slots,
        }
    }
}

impl ServerPosition {
    /// Slots of the server unless it is ejected or has announced its departure.
    fn available_slots(&self) -> u32 {
        if self.is_available { self.slots } else { 0 }
    }
}

/// The positions of all servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerIndex {
    positions: HashMap<ServerName, ServerPosition>,
    free: BTreeMap<FreeGroup, UseOrder>,
    avoided: UseOrder,
    avoided_version: u64,
    local_count: usize,
    available_count: usize,
    /// Slots of all servers of the region.
    slots: u32,
    /// Slots of those that are present and not ejected.
    available_slots: u32,
    healthy_slots: u32,
    healthy_free: u32,
}

impl ServerIndex {
    /// Sets the position of a server.
    pub(super) fn set(&mut self, name: &ServerName, position: ServerPosition) {
        if self.positions.get(name) == Some(&position) {
            // A server may be due for a probe at another time although its position is the same.
            self.avoided_version += u64::from(position.is_avoided && position.is_local);
            return;
        }
        self.remove(name);
        let key = (position.last_used, name.clone());
        if let Some(group) = &position.free {
            self.free
                .entry(group.clone())
                .or_default()
                .insert(key.clone());
        }
        if position.is_local {
            self.local_count += 1;
            self.available_count += usize::from(position.is_available);
            self.slots += position.slots;
            self.available_slots += position.available_slots();
            self.healthy_slots += position.healthy_slots;
            self.healthy_free += position.free_slots;
            if position.is_avoided {
                self.avoided.insert(key);
                self.avoided_version += 1;
            }
        }
        self.positions.insert(name.clone(), position);
    }

    /// Removes a server.
    pub(super) fn remove(&mut self, name: &ServerName) {
        let Some(position) = self.positions.remove(name) else {
            return;
        };
        let key = (position.last_used, name.clone());
        if let Some(group) = &position.free
            && let Some(servers) = self.free.get_mut(group)
        {
            servers.remove(&key);
            if servers.is_empty() {
                self.free.remove(group);
            }
        }
        if position.is_local {
            self.local_count -= 1;
            self.available_count -= usize::from(position.is_available);
            self.slots -= position.slots;
            self.available_slots -= position.available_slots();
            self.healthy_slots -= position.healthy_slots;
            self.healthy_free -= position.free_slots;
            if position.is_avoided {
                self.avoided.remove(&key);
                self.avoided_version += 1;
            }
        }
    }

    pub(super) fn local_count(&self) -> usize {
        self.local_count
    }

    pub(super) fn available_count(&self) -> usize {
        self.available_count
    }

    pub(super) fn slots_without(&self, name: &ServerName) -> (u32, u32) {
        let position = self.positions.get(name);
        let own = position.map_or(0, ServerPosition::available_slots);
        (self.slots, self.available_slots - own)
    }

    pub(super) fn healthy_slots(&self) -> u32 {
        self.healthy_slots
    }

    pub(super) fn healthy_free(&self) -> u32 {
        self.healthy_free
    }

    pub(super) fn has_free_slot(&self) -> bool {
        !self.free.is_empty()
    }

    pub(super) fn free_groups(
        &self,
        is_local: bool,
    ) -> impl Iterator<Item = (&FreeGroup, impl Iterator<Item = &ServerName>)> {
        let groups = self.free.iter();
        groups
            .filter(move |(group, _)| group.is_local == is_local)
            .map(|(group, servers)| (group, servers.iter().map(|(_, name)| name)))
    }

    pub(super) fn avoided(&self) -> impl Iterator<Item = &ServerName> {
        self.avoided.iter().map(|(_, name)| name)
    }

    pub(super) fn avoided_version(&self) -> u64 {
        self.avoided_version
    }
}
