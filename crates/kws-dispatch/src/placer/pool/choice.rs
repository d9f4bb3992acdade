//! Selects the server for a request.

use super::ServicePool;
use crate::placer::{PlaceRequest, server::PoolServer, table::FreeGroup};
use kws_protocol::{ServerName, TryKind, weighted_score};
use std::time::Duration;
use tokio::time::Instant;

/// A request that transfers more than this, in bytes, is served only in its own region, since
/// traffic between regions is billed by volume.
pub(super) const MAX_SPILL_BYTES: u64 = 24 * 1024;

/// Queue wait from which the service lacks the capacity of its suspect and ejected servers: a
/// considerable part of the usual service time.
const CONTENDED_WAIT: Duration = Duration::from_millis(50);

/// Cost of a fully loaded server over an idle one. This and the costs below are in shares of what a
/// served request is worth.
const LOAD_COST: f64 = 0.05;

/// Cost of a failure to a request that another server can still serve.
const REPEATABLE_FAILURE_COST: f64 = 0.3;

/// Cost of each KiB that crosses from one data centre to another.
const CENTER_COST_PER_KIB: f64 = 0.004;

/// Highest cost of a server in another data centre.
const MAX_CENTER_COST: f64 = 0.5;

impl ServicePool {
    /// The best server for a request. In this order: a server that is due for a probe, a healthy
    /// one of the region, a healthy one of another region, a suspect one of the region.
    pub(super) fn select_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        // A request that lost a try already doesn't probe: it may have no other try left.
        let lost_try = request.kind != TryKind::First;
        if !lost_try && let Some(server) = self.probe_server(request, now) {
            return Some(server);
        }
        self.healthy_server(request, true, now)
            .or_else(|| self.spill_server(request, now))
            .or_else(|| self.suspect_server(request, now))
    }

    /// Whether requests wait so long that the capacity of suspect and ejected servers is needed.
    pub(super) fn is_contended(&self, now: Instant) -> bool {
        self.expected_wait(self.queue.len(), now) > CONTENDED_WAIT
    }

    /// The healthy server with a free slot whose use costs least.
    fn healthy_server(
        &self,
        request: &PlaceRequest,
        is_local: bool,
        now: Instant,
    ) -> Option<ServerName> {
        if request.uncoordinated {
            return self.drawn_server(request, is_local, now);
        }
        let failure_cost = self.failure_cost(request, now);
        if failure_cost > 0.0 {
            return self.known_server(request, is_local, failure_cost, now);
        }
        let groups = self.servers.free_groups(is_local);
        let firsts = groups.filter_map(|(group, mut names)| {
            let name = names.find(|name| !request.excluded.contains(name))?;
            let last_used = self.servers.get(name)?.last_used;
            Some((group_cost(group, request), last_used, name))
        });
        let best = firsts.min_by(|left, right| {
            let by_cost = left.0.total_cmp(&right.0);
            by_cost.then_with(|| left.1.cmp(&right.1))
        });
        best.map(|(_, _, name)| name.clone())
    }

    /// Like [`Self::healthy_server`], for a service with so few requests that the state of most
    /// servers is unknown: those that served one lately are preferred.
    fn known_server(
        &self,
        request: &PlaceRequest,
        is_local: bool,
        failure_cost: f64,
        now: Instant,
    ) -> Option<ServerName> {
        let cost = |group: &FreeGroup, server: &PoolServer| {
            group_cost(group, request) + failure_cost * server.uncertainty(now)
        };
        let candidates = self.free_servers(request, is_local);
        let best = candidates.min_by(|left, right| {
            let by_cost = cost(left.0, left.2).total_cmp(&cost(right.0, right.2));
            by_cost.then_with(|| left.2.last_used.cmp(&right.2.last_used))
        });
        best.map(|(_, name, _)| name.clone())
    }

    /// A healthy server drawn at random by its free slots, since other hosts place at the same time.
    fn drawn_server(
        &self,
        request: &PlaceRequest,
        is_local: bool,
        now: Instant,
    ) -> Option<ServerName> {
        let subject = (self.seed ^ request.key).to_string();
        let slow_start = self.servers.slow_start();
        let score = |name: &ServerName, server: &PoolServer| {
            weighted_score(&subject, name.as_str(), server.free_slots(slow_start, now))
        };
        let drawn = self
            .free_servers(request, is_local)
            .max_by(|left, right| score(left.1, left.2).total_cmp(&score(right.1, right.2)));
        drawn.map(|(_, name, _)| name.clone())
    }

    /// Healthy servers with a free slot that the request may use.
    fn free_servers<'a>(
        &'a self,
        request: &'a PlaceRequest,
        is_local: bool,
    ) -> impl Iterator<Item = (&'a FreeGroup, &'a ServerName, &'a PoolServer)> {
        let groups = self.servers.free_groups(is_local);
        let servers = groups.flat_map(move |(group, names)| {
            names.filter_map(move |name| Some((group, name, self.servers.get(name)?)))
        });
        servers.filter(|(_, name, _)| !request.excluded.contains(name))
    }

    /// A healthy server that got no request lately although it has a free slot, the one used least
    /// recently first. Large responses stay in their data centre.
    pub(super) fn unused_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let is_large = request.bytes > MAX_SPILL_BYTES;
        let groups = self.servers.free_groups(true);
        let near = groups.filter(|(group, _)| !is_large || group.is_in(&request.center));
        let firsts = near.filter_map(|(_, mut names)| {
            let name = names.find(|name| !request.excluded.contains(name))?;
            Some((self.servers.get(name)?, name))
        });
        let oldest = firsts.min_by_key(|(server, _)| server.last_used);
        let (server, name) = oldest?;
        (!server.was_used(super::probes::UNUSED_PERIOD, now)).then(|| name.clone())
    }

    /// Cost of sending the request to a server of unknown state. With few requests for many servers
    /// that fail by turns, those that served a request lately are the safer choice. With enough
    /// requests for all servers, the state of each is known and the load decides.
    fn failure_cost(&self, request: &PlaceRequest, now: Instant) -> f64 {
        if self.demand.can_use_all(self.servers.local_count(), now) {
            return 0.0;
        }
        let lost = if request.repeatable {
            REPEATABLE_FAILURE_COST
        } else {
            1.0
        };
        self.demand.unknown_failures() * lost
    }

    /// A healthy server of another region with a free slot, if the request is small enough.
    fn spill_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let small = request.bytes <= MAX_SPILL_BYTES;
        small
            .then(|| self.healthy_server(request, false, now))
            .flatten()
    }
}

/// Cost of using a server of a group by its load and its data centre.
fn group_cost(group: &FreeGroup, request: &PlaceRequest) -> f64 {
    let load = f64::from(group.load) / 1_000.0;
    let center = if group.is_in(&request.center) {
        0.0
    } else {
        let kib = request.bytes as f64 / 1_024.0;
        (CENTER_COST_PER_KIB * kib).min(MAX_CENTER_COST)
    };
    LOAD_COST * load + center
}
