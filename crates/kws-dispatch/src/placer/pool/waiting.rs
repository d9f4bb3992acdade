//! Estimates waits for a slot and refuses requests that can't be served in time.

use super::ServicePool;
use crate::placer::{
    PlaceAction, PlaceRequest, RefusalContext, evidence::ServerHealth,
    queue_estimate::QueueEstimate, server::PoolServer,
};
use kws_protocol::RefusalReason;
use std::time::Duration;
use tokio::time::Instant;

/// Time that must be left after the wait, in average service times, so that most responses still
/// arrive in time. A request with less time left would use a slot in vain.
const MIN_SERVICE_TIMES_AFTER_WAIT: f64 = 1.25;

/// A queued request is refused when less time than this is left, in average service times.
const MIN_SERVICE_TIMES_QUEUED: f64 = 0.9;

/// Share of a request's remaining time that it may spend in the queue. A longer queue doesn't serve
/// more callers, it only delays them.
const MAX_WAIT_SHARE: f64 = 0.45;

/// Longest wait in the queue of a request without an objective, whatever its deadline. Its caller
/// may need the response long before the deadline.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(400);

/// Shortest limit of the wait in the queue: short bursts are served late rather than refused.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(100);

/// Shortest delay returned to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay returned to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How long a request may wait in the queue when it arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    /// Longest wait after which a response still arrives before the deadline.
    servable: Duration,
    /// Longest wait that serves the caller.
    pub(super) useful: Duration,
}

impl WaitLimits {
    /// Whether a request with this expected wait may be queued.
    pub(super) fn allow(self, wait: Duration) -> bool {
        wait.is_zero() || wait <= self.servable && wait <= self.useful
    }
}

impl ServicePool {
    pub(super) fn wait_limits(&self, request: &PlaceRequest, now: Instant) -> WaitLimits {
        let remaining = request.deadline.saturating_duration_since(now);
        let needed = self.service_time.mul_f64(MIN_SERVICE_TIMES_AFTER_WAIT);
        let useful = request.objective.map_or(MAX_QUEUE_WAIT, |objective| {
            let left = objective.saturating_duration_since(now);
            left.saturating_sub(needed).max(MIN_QUEUE_WAIT)
        });
        WaitLimits {
            servable: remaining.saturating_sub(needed),
            useful: useful.min(remaining.mul_f64(MAX_WAIT_SHARE)),
        }
    }

    /// The slots of a server that requests may use: one of a suspect server, and none of it during
    /// its cooldown.
    fn available_slots(&self, server: &PoolServer, now: Instant) -> u32 {
        let usable = server.usable_slots(self.servers.slow_start(), now);
        match server.health(now) {
            ServerHealth::Healthy => usable,
            ServerHealth::Suspect if !server.in_cooldown(now) => usable.min(1),
            ServerHealth::Unhealthy | ServerHealth::Suspect => 0,
        }
    }

    /// The queue's state for estimating waits: by the healthy servers, else by the suspect ones,
    /// else by the next probes.
    fn queue_estimate(&self, now: Instant) -> QueueEstimate {
        let mut estimate = QueueEstimate {
            slots: self.servers.healthy_slots(),
            free_slots: self.servers.healthy_free(),
            service_time: self.service_time,
            ..QueueEstimate::default()
        };
        if estimate.slots > 0 {
            return estimate;
        }
        for (_, server) in self.servers.present(ServerHealth::Suspect, now) {
            estimate.slots += self.available_slots(server, now);
            estimate.free_slots += server.free_slots(self.servers.slow_start(), now);
        }
        if estimate.slots > 0 {
            return estimate;
        }
        let servers = self.servers.present(ServerHealth::Unhealthy, now);
        estimate.probe_delays = servers
            .filter_map(|(_, server)| server.time_to_next_request(now))
            .collect();
        estimate.probe_delays.sort();
        estimate
    }

    /// Expected wait of a request with `ahead` requests before it.
    pub(super) fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        self.queue_estimate(now).wait(ahead)
    }

    /// The delay returned to a refused caller: the time until the present queue is served,
    /// with jitter, so that callers refused together don't return together.
    pub(super) fn retry_delay(&mut self, now: Instant) -> Duration {
        self.jitter_state = self
            .jitter_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let jitter = 0.5 + (self.jitter_state >> 33) as f64 / f64::from(u32::MAX);
        let wait = self.expected_wait(self.queue.len(), now);
        wait.mul_f64(jitter).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    pub(super) fn refuse(
        &self,
        key: u64,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Instant,
    ) -> PlaceAction {
        PlaceAction::Refuse {
            key,
            reason,
            retry_after,
            context: self.refusal_context(now),
        }
    }

    fn refusal_context(&self, now: Instant) -> RefusalContext {
        let estimate = self.queue_estimate(now);
        RefusalContext {
            queued: self.queue.len(),
            free_slots: estimate.free_slots,
            slots: estimate.slots,
            available_servers: self.servers.available_count(),
            servers: self.servers.local_count(),
            service_time: self.service_time,
        }
    }

    /// Refuses queued requests that have too little time left.
    pub(super) fn refuse_expired(&mut self, now: Instant) -> Vec<PlaceAction> {
        let min_remaining = self.service_time.mul_f64(MIN_SERVICE_TIMES_QUEUED);
        self.refuse_if(|_, remaining| remaining < min_remaining, now)
    }

    /// Refuses requests that can't be served in time any more, since the queue has slowed down
    /// after they were queued.
    pub(super) fn refuse_unservable(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let estimate = self.queue_estimate(now);
        let needed = self.service_time.mul_f64(MIN_SERVICE_TIMES_AFTER_WAIT);
        let unservable = |position, remaining| {
            let wait = estimate.wait(position);
            !wait.is_zero() && wait + needed > remaining
        };
        self.refuse_if(unservable, now)
    }

    /// Refuses the requests that match `predicate` by their position in the queue and their
    /// remaining time.
    fn refuse_if(
        &mut self,
        predicate: impl Fn(usize, Duration) -> bool,
        now: Instant,
    ) -> Vec<PlaceAction> {
        let removed = self.queue.take_if(|position, request| {
            predicate(position, request.deadline.saturating_duration_since(now))
        });
        let mut actions = Vec::new();
        for request in removed {
            let retry_after = self.retry_delay(now);
            let reason = RefusalReason::DeadlineEarly;
            actions.push(self.refuse(request.key, reason, Some(retry_after), now));
        }
        actions
    }
}
