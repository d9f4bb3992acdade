//! Selects the server for a request.

use super::ServicePool;
use crate::placer::{PlaceRequest, evidence::ServerHealth, server::PoolServer};
use kws_protocol::{ServerName, TryKind, weighted_score};
use std::time::Duration;
use tokio::time::Instant;

/// A request that transfers more than this, in bytes, is served only in its own region, since
/// traffic between regions is billed by volume.
pub(super) const MAX_SPILL_BYTES: u64 = 24 * 1024;

/// Queue wait from which the service lacks the capacity of its suspect and ejected servers: a
/// considerable part of the usual service time.
const CONTENDED_WAIT: Duration = Duration::from_millis(50);

/// A service that had a repeatable request within this time prefers those for probes.
const REPEATABLE_WINDOW: Duration = Duration::from_secs(1);

/// Delay after the end of an ejection from which a request that may run once probes a server whose
/// capacity is needed, while repeatable requests are expected.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// The same delay for a repeatable request while the capacity is not needed. Failures typically
/// last some seconds, and each probe uses up a part of the retry budget.
const SPARE_PROBE_DELAY: Duration = Duration::from_secs(3);

/// The same delay for a request that may run once while the capacity is not needed: the probe would
/// only risk the request.
const SPARE_RISKY_DELAY: Duration = Duration::from_secs(8);

/// Time without a request after which a suspect server gets one that may run once, while its
/// capacity is needed.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The same time while its capacity is not needed.
const SPARE_SUSPECT_INTERVAL: Duration = Duration::from_secs(10);

/// Time without a request after which a server counts as unused.
const UNUSED_PERIOD: Duration = Duration::from_millis(1_800);

/// Share of a region's servers that may stay unused for [`UNUSED_PERIOD`]. Servers that
/// failed may have recovered since, and the capacity floor is to be in use when load or failures
/// come all of a sudden.
const MAX_UNUSED_SHARE: f64 = 0.33;

/// The same share while many requests go unserved. Of the servers in use, many may then be out of
/// reach for other reasons.
const MAX_UNUSED_SHARE_UNSERVED: f64 = 0.15;

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
        let healthy = self.best_server(request, ServerHealth::Healthy, true, now);
        healthy
            .or_else(|| self.spill_server(request, now))
            .or_else(|| self.suspect_server(request, now))
    }

    /// Whether requests wait so long that the capacity of suspect and ejected servers is needed.
    fn is_contended(&self, now: Instant) -> bool {
        self.expected_wait(self.queue.len(), now) > CONTENDED_WAIT
    }

    /// A suspect server, if its capacity is needed.
    fn suspect_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let needed = self.healthy_slots(now) == 0 || self.is_contended(now);
        needed
            .then(|| self.best_server(request, ServerHealth::Suspect, true, now))
            .flatten()
    }

    /// The server to probe: of those that are due, the one used least recently. A probe may cost
    /// the request, so repeatable requests are preferred, unless there was none for a while. If too
    /// many servers are left unused, healthy ones among them come first.
    fn probe_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let leaves_unused = self.leaves_servers_unused(now);
        let ejection = &self.settings.as_ref()?.ejection;
        let delay = self.probe_delay(request, leaves_unused, now);
        let suspect_interval = match (request.repeatable, leaves_unused) {
            (true, _) => Duration::ZERO,
            (false, true) => SUSPECT_PROBE_INTERVAL,
            (false, false) => SPARE_SUSPECT_INTERVAL,
        };
        let is_candidate = |(name, server): &(&ServerName, &PoolServer)| {
            let rested = server
                .last_used
                .is_none_or(|at| now.saturating_duration_since(at) > suspect_interval);
            let verifies = server.is_verifiable(now) && rested;
            let early = leaves_unused && server.is_early_probe_due(ejection, now);
            let is_due = server.is_probe_due(delay, now) || early || verifies;
            let is_left = leaves_unused && self.is_left_unused(server, request, now);
            self.is_in_region(server) && (is_due || is_left) && !request.excluded.contains(name)
        };
        let candidates = self.servers.iter().filter(is_candidate);
        let order = |server: &PoolServer| {
            let is_left = leaves_unused && self.is_left_unused(server, request, now);
            (!is_left, server.last_used)
        };
        candidates
            .min_by_key(|(_, server)| order(server))
            .map(|(name, _)| name.clone())
    }

    /// Whether more servers got no request lately than the capacity floor allows, although there are
    /// enough requests for all. Then ejected and suspect ones are probed until fewer are left.
    fn leaves_servers_unused(&self, now: Instant) -> bool {
        let local = self.local_servers();
        if !self.demand.can_use_all(local, now) {
            return false;
        }
        let max_share = if self.demand.is_unserved(now) {
            MAX_UNUSED_SHARE_UNSERVED
        } else {
            MAX_UNUSED_SHARE
        };
        let unused = self
            .servers
            .values()
            .filter(|server| self.is_in_region(server) && !server.was_used(UNUSED_PERIOD, now));
        unused.count() as f64 > max_share * local as f64
    }

    /// Whether a healthy server got no request lately although it has a free slot, so that it is
    /// used before any server that failed. Large responses stay in their data centre.
    fn is_left_unused(&self, server: &PoolServer, request: &PlaceRequest, now: Instant) -> bool {
        let is_near = request.bytes <= MAX_SPILL_BYTES || server.settings.center == request.center;
        is_near
            && server.health(now) == ServerHealth::Healthy
            && server.is_available(now)
            && !server.in_cooldown(now)
            && server.free_slots(self.slow_start(), now) > 0
            && !server.was_used(UNUSED_PERIOD, now)
    }

    /// How long after the end of an ejection a probe waits for a more suitable request.
    fn probe_delay(&self, request: &PlaceRequest, leaves_unused: bool, now: Instant) -> Duration {
        if leaves_unused {
            return Duration::ZERO;
        }
        let expects_repeatable = self
            .last_repeatable
            .is_some_and(|at| now.saturating_duration_since(at) < REPEATABLE_WINDOW);
        match (self.is_contended(now), request.repeatable) {
            (true, false) if expects_repeatable => PROBE_DELAY,
            (true, _) => Duration::ZERO,
            (false, true) => SPARE_PROBE_DELAY,
            (false, false) => SPARE_RISKY_DELAY,
        }
    }

    /// The server with a free slot whose use costs least.
    fn best_server(
        &self,
        request: &PlaceRequest,
        health: ServerHealth,
        in_region: bool,
        now: Instant,
    ) -> Option<ServerName> {
        let slow_start = self.slow_start();
        let has_free_slot = |(name, server): &(&ServerName, &PoolServer)| {
            self.is_in_region(server) == in_region
                && server.is_available(now)
                && !server.in_cooldown(now)
                && server.health(now) == health
                && server.free_slots(slow_start, now) > 0
                && !request.excluded.contains(name)
        };
        let candidates = self.servers.iter().filter(has_free_slot);
        if request.uncoordinated {
            let subject = (self.seed ^ request.key).to_string();
            let drawn = candidates.max_by(|left, right| {
                let score = |(name, server): &(&ServerName, &PoolServer)| {
                    let free = server.free_slots(slow_start, now);
                    weighted_score(&subject, name.as_str(), free)
                };
                score(left).total_cmp(&score(right))
            });
            return drawn.map(|(name, _)| name.clone());
        }
        let failure_cost = self.failure_cost(request, now);
        let cost = |server: &PoolServer| self.server_cost(server, request, failure_cost, now);
        candidates
            .min_by(|(_, left), (_, right)| {
                cost(left)
                    .total_cmp(&cost(right))
                    .then_with(|| left.last_used.cmp(&right.last_used))
            })
            .map(|(name, _)| name.clone())
    }

    /// Cost of sending the request to a server of unknown state. With few requests for many servers
    /// that fail by turns, those that served a request lately are the safer choice. With enough
    /// requests for all servers, the state of each is known and the load decides.
    fn failure_cost(&self, request: &PlaceRequest, now: Instant) -> f64 {
        if self.demand.can_use_all(self.local_servers(), now) {
            return 0.0;
        }
        let lost = if request.repeatable {
            REPEATABLE_FAILURE_COST
        } else {
            1.0
        };
        self.demand.unknown_failures() * lost
    }

    fn server_cost(
        &self,
        server: &PoolServer,
        request: &PlaceRequest,
        failure_cost: f64,
        now: Instant,
    ) -> f64 {
        let slots = server.usable_slots(self.slow_start(), now).max(1);
        let load = f64::from(server.load(now)) / f64::from(slots);
        let center = if server.settings.center == request.center {
            0.0
        } else {
            let kib = request.bytes as f64 / 1_024.0;
            (CENTER_COST_PER_KIB * kib).min(MAX_CENTER_COST)
        };
        LOAD_COST * load + failure_cost * server.uncertainty(now) + center
    }

    /// A healthy server of another region with a free slot, if the request is small enough.
    fn spill_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let small = request.bytes <= MAX_SPILL_BYTES;
        small
            .then(|| self.best_server(request, ServerHealth::Healthy, false, now))
            .flatten()
    }
}
