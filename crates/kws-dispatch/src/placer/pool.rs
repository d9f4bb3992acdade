//! The servers and the request queue of one service.

use super::{
    PlaceAction, PlaceReport, PlaceRequest, RefusalContext, evidence::ServerHealth,
    failure_reports::FailureReports, queue_estimate::QueueEstimate, server::PoolServer,
    slot_queue::SlotQueue,
};
use crate::{RetryBudget, RetrySource};
use kws_protocol::{
    RefusalReason, RegionName, ServerLoad, ServerName, ServiceName, ServiceSettings, SlotOutcome,
    weighted_score,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Service time assumed until the first good response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Smoothing factor of the moving average of the service time, between 0 and 1.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// Time that must be left after the wait, in average service times, so that most responses still
/// arrive in time. A request with less time left would use a slot in vain.
const MIN_SERVICE_TIMES_AFTER_WAIT: f64 = 1.25;

/// A queued request is refused when less time than this is left, in average service times.
const MIN_SERVICE_TIMES_QUEUED: f64 = 0.9;

/// Share of a request's remaining time that it may spend in the queue. A longer queue doesn't serve
/// more callers, it only delays them.
const MAX_WAIT_SHARE: f64 = 0.45;

/// Longest wait in the queue, whatever the deadline. A queue that is too long for requests with
/// short deadlines would cause all of those to be refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(400);

/// A request is overdue after this many average service times, and counts as a failure.
const OVERDUE_FACTOR: f64 = 4.0;

/// A request is not overdue before this time.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(800);

/// A request waits for a healthy server rather than use a suspect one, unless the wait would be
/// longer than this.
const MAX_WAIT_FOR_HEALTHY: Duration = Duration::from_millis(250);

/// A request that transfers more than this, in bytes, is served only in its own region, since
/// traffic between regions is billed by volume.
const MAX_SPILL_BYTES: u64 = 24 * 1024;

/// Cost of a server in another data centre of the region, as a share of a fully loaded server.
const OTHER_CENTER_COST: f64 = 0.1;

/// Shortest delay that a refused caller is told to wait.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay that a refused caller is told to wait.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Largest burst of retries of a service in one region, in requests. When a server begins to fail,
/// a few requests of each kind fail with it.
const RETRY_BURST: f64 = 20.0;

/// A service that had a repeatable request within this time prefers those for probes.
const REPEATABLE_WINDOW: Duration = Duration::from_secs(1);

/// A server that is due for a probe for longer than this is probed by a request that is not
/// repeatable, so that recovered capacity is not left idle.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// The same delay while no request waits for longer than [`CONTENDED_WAIT`]. Failures typically
/// last some seconds, and the service has enough capacity without the server.
const UNCONTENDED_PROBE_DELAY: Duration = Duration::from_secs(4);

/// Queue wait from which the service lacks the capacity of its ejected servers: a considerable part
/// of the usual service time.
const CONTENDED_WAIT: Duration = Duration::from_millis(50);

/// Share of unserved requests from which any request may probe a server, since the service then
/// needs all capacity that has recovered.
const UNSERVED_THRESHOLD: f64 = 0.08;

/// A suspect server is probed after this long without a request.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Smoothing factor of the moving average of the share of unserved requests, between 0 and 1.
const UNSERVED_SMOOTHING: f64 = 0.02;

/// The properties of a request that decide whether it finds a free slot. Two requests with equal
/// needs either both find one or neither does.
#[derive(Debug, Eq, PartialEq)]
struct RequestNeeds {
    repeatable: bool,
    small: bool,
    excluded: Vec<ServerName>,
}

impl RequestNeeds {
    fn of(request: &PlaceRequest) -> Self {
        Self {
            repeatable: request.repeatable,
            small: request.bytes <= MAX_SPILL_BYTES,
            excluded: request.excluded.clone(),
        }
    }
}

/// The servers, queue and running requests of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServicePool {
    name: ServiceName,
    region: RegionName,
    seed: u64,
    settings: Option<ServiceSettings>,
    servers: BTreeMap<ServerName, PoolServer>,
    queue: SlotQueue,
    placements: HashMap<u64, ServerName>,
    service_time: Duration,
    retry_budget: RetryBudget,
    last_repeatable: Option<Instant>,
    failure_reports: FailureReports,
    /// Moving average of the share of requests that failed or were refused early.
    unserved_share: f64,
    jitter_state: u64,
}

impl ServicePool {
    /// Creates a pool without servers.
    pub(crate) fn new(name: &ServiceName, region: RegionName, seed: u64) -> Self {
        Self {
            name: name.clone(),
            region,
            seed,
            settings: None,
            servers: BTreeMap::new(),
            queue: SlotQueue::default(),
            placements: HashMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            retry_budget: RetryBudget::with_burst(0.0, RETRY_BURST),
            last_repeatable: None,
            failure_reports: FailureReports::default(),
            unserved_share: 0.0,
            jitter_state: 0,
        }
    }

    /// Applies newer settings. Servers of the first settings begin without slow start.
    pub(crate) fn apply_settings(&mut self, settings: &ServiceSettings, now: Instant) {
        let first = self.settings.is_none();
        if first {
            self.retry_budget = RetryBudget::with_burst(settings.retry_budget, RETRY_BURST);
        }
        self.retry_budget.set_ratio(settings.retry_budget);
        self.servers
            .retain(|name, _| settings.servers.contains_key(name));
        for (name, server) in &settings.servers {
            self.servers
                .entry(name.clone())
                .or_insert_with(|| PoolServer::new(server, !first, now))
                .apply_settings(server, now);
        }
        self.settings = Some(settings.clone());
    }

    /// Number of queued requests.
    pub(crate) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Whether the request is queued.
    pub(crate) fn is_queued(&self, key: u64) -> bool {
        self.queue.iter().any(|request| request.key == key)
    }

    /// Names of the servers.
    pub(crate) fn server_names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.keys()
    }

    /// Current health of each server.
    pub(crate) fn server_health(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServerName, ServerHealth)> {
        let servers = self.servers.iter();
        servers.map(move |(name, server)| (name, server.health(now)))
    }

    /// Refuses all queued requests, since the service was removed.
    pub(crate) fn refuse_all(&mut self, now: Instant) -> Vec<PlaceAction> {
        let removed = self.queue.take_if(|_, _| true);
        removed
            .into_iter()
            .map(|request| self.refuse(request.key, RefusalReason::NoServer, None, now))
            .collect()
    }

    fn refuse(
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
            available_servers: self.region_servers(now, ServerHealth::Suspect).count(),
            servers: self
                .servers
                .values()
                .filter(|server| self.is_in_region(server))
                .count(),
            service_time: self.service_time,
        }
    }

    /// Queues a request, or refuses it at once if it could not be served in time.
    pub(crate) fn enqueue(&mut self, request: PlaceRequest, now: Instant) -> Vec<PlaceAction> {
        if request.repeatable {
            self.last_repeatable = Some(now);
        }
        if request.retry {
            if !self.retry_budget.spend() {
                return vec![self.refuse(request.key, RefusalReason::RetryBudget, None, now)];
            }
        } else {
            self.retry_budget.record_first_try();
        }
        let (key, deadline) = (request.key, request.deadline);
        let remaining = deadline.saturating_duration_since(now);
        let queue_limit = self
            .settings
            .as_ref()
            .map_or(0, |settings| settings.queue as usize);
        if self.queue.len() >= queue_limit.max(1) {
            let retry_after = self.retry_delay(now);
            return vec![self.refuse(key, RefusalReason::QueueFull, Some(retry_after), now)];
        }
        let ahead = self.queue.push(request, now);
        let wait = self.expected_wait(ahead, now);
        let needed = wait + self.service_time.mul_f64(MIN_SERVICE_TIMES_AFTER_WAIT);
        let max_wait = remaining.mul_f64(MAX_WAIT_SHARE).min(MAX_QUEUE_WAIT);
        let unservable = !wait.is_zero() && (needed > remaining || wait > max_wait);
        if unservable && !self.finds_server(key, now) {
            self.queue.remove(key);
            self.record_unserved(true);
            let retry_after = self.retry_delay(now);
            return vec![self.refuse(key, RefusalReason::DeadlineEarly, Some(retry_after), now)];
        }
        Vec::new()
    }

    /// The region's present servers whose health is `worst` or better.
    fn region_servers(
        &self,
        now: Instant,
        worst: ServerHealth,
    ) -> impl Iterator<Item = &PoolServer> {
        let servers = self
            .servers
            .values()
            .filter(|server| self.is_in_region(server));
        servers.filter(move |server| server.is_available(now) && server.health(now) <= worst)
    }

    /// Usable slots of the region's healthy servers.
    fn healthy_slots(&self, now: Instant) -> u32 {
        self.region_servers(now, ServerHealth::Healthy)
            .map(|server| server.usable_slots(self.slow_start(), now))
            .sum()
    }

    /// The slots of a server that requests may use: one of a suspect server, and none of it during
    /// its cooldown.
    fn available_slots(&self, server: &PoolServer, now: Instant) -> u32 {
        let usable = server.usable_slots(self.slow_start(), now);
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
            service_time: self.service_time,
            ..QueueEstimate::default()
        };
        for worst in [ServerHealth::Healthy, ServerHealth::Suspect] {
            for server in self.region_servers(now, worst) {
                let available = self.available_slots(server, now);
                estimate.slots += available;
                estimate.free_slots += available.saturating_sub(server.load(now));
            }
            if estimate.slots > 0 {
                return estimate;
            }
        }
        let servers = self.region_servers(now, ServerHealth::Unhealthy);
        estimate.probe_delays = servers
            .filter_map(|server| server.time_to_next_request(now))
            .collect();
        estimate.probe_delays.sort();
        estimate
    }

    /// Expected wait of a request with `ahead` requests before it.
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        self.queue_estimate(now).wait(ahead)
    }

    /// The delay that a refused caller is told to wait: the time until the present queue is served,
    /// with jitter, so that callers refused together don't return together.
    fn retry_delay(&mut self, now: Instant) -> Duration {
        self.jitter_state = self
            .jitter_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let jitter = 0.5 + (self.jitter_state >> 33) as f64 / f64::from(u32::MAX);
        let wait = self.expected_wait(self.queue.len(), now);
        wait.mul_f64(jitter).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn slow_start(&self) -> Duration {
        self.settings
            .as_ref()
            .map_or(Duration::ZERO, |settings| settings.slow_start)
    }

    fn is_in_region(&self, server: &PoolServer) -> bool {
        server.settings.region == self.region
    }

    /// Places the queued requests that find a free slot, and refuses those that can't meet their
    /// deadline.
    pub(crate) fn place_queued(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let min_remaining = self.service_time.mul_f64(MIN_SERVICE_TIMES_QUEUED);
        let mut actions = self.refuse_if(|_, remaining| remaining < min_remaining, now);
        // A placement only takes slots, so needs that found none find none later in this pass.
        let mut unplaceable: Vec<RequestNeeds> = Vec::new();
        let mut index = 0;
        while let Some(request) = self.queue.get(index) {
            let needs = RequestNeeds::of(request);
            if unplaceable.contains(&needs) {
                index += 1;
                continue;
            }
            if let Some(server) = self.select_server(request, now) {
                let request = self.queue.take(index);
                actions.extend(self.place(&request, &server, now));
            } else {
                unplaceable.push(needs);
                index += 1;
            }
        }
        actions.extend(self.refuse_unservable(now));
        actions
    }

    /// Refuses requests that can't be served in time any more, since the queue has slowed down
    /// after they were queued.
    fn refuse_unservable(&mut self, now: Instant) -> Vec<PlaceAction> {
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

    /// Whether a queued request finds a free slot now, regardless of its position.
    fn finds_server(&self, key: u64, now: Instant) -> bool {
        let request = self.queue.iter().find(|request| request.key == key);
        request.is_some_and(|request| self.select_server(request, now).is_some())
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        server: &ServerName,
        now: Instant,
    ) -> Option<PlaceAction> {
        let entry = self.servers.get_mut(server)?;
        let health = entry.health(now);
        entry.start_request(request.key, now);
        let address = entry.settings.address;
        self.placements.insert(request.key, server.clone());
        Some(PlaceAction::Grant {
            key: request.key,
            server: server.clone(),
            address,
            health,
        })
    }

    /// The best server for a request. In this order: a server that is due for a probe, a healthy
    /// one of the region, a healthy one of another region, a suspect one of the region.
    fn select_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        if let Some(server) = self.probe_server(request, now) {
            return Some(server);
        }
        let healthy = self.best_server(request, ServerHealth::Healthy, true, now);
        healthy
            .or_else(|| self.spill_server(request, now))
            .or_else(|| self.suspect_server(request, now))
    }

    /// A suspect server, if there are no healthy ones or the queue for them is long.
    fn suspect_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let waiting = self.queue.len();
        let lacks_capacity =
            self.healthy_slots(now) == 0 || self.expected_wait(waiting, now) > MAX_WAIT_FOR_HEALTHY;
        lacks_capacity
            .then(|| self.best_server(request, ServerHealth::Suspect, true, now))
            .flatten()
    }

    /// The server to probe: of those that are due, the one used least recently. A probe may cost
    /// the request, so repeatable requests are preferred, unless there was none for a while.
    fn probe_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let expects_repeatable = self
            .last_repeatable
            .is_some_and(|at| now.saturating_duration_since(at) < REPEATABLE_WINDOW);
        let lacks_capacity = self.unserved_share > UNSERVED_THRESHOLD;
        let ejection = &self.settings.as_ref()?.ejection;
        let delay = self.probe_delay(request, expects_repeatable, lacks_capacity, now);
        let is_candidate = |(name, server): &(&ServerName, &PoolServer)| {
            // A repeatable request shows at low cost whether a suspect server is unhealthy.
            let idle = server
                .last_used
                .is_none_or(|at| now.saturating_duration_since(at) > SUSPECT_PROBE_INTERVAL);
            let verifies = server.is_idle_suspect(now) && (request.repeatable || idle);
            let early = lacks_capacity && server.is_early_probe_due(ejection, now);
            let is_due = server.is_probe_due(delay, now) || early || verifies;
            self.is_in_region(server) && is_due && !request.excluded.contains(name)
        };
        let candidates = self.servers.iter().filter(is_candidate);
        candidates
            .min_by_key(|(_, server)| server.last_used)
            .map(|(name, _)| name.clone())
    }

    /// How long after the end of an ejection a probe waits for a more suitable request.
    fn probe_delay(
        &self,
        request: &PlaceRequest,
        expects_repeatable: bool,
        lacks_capacity: bool,
        now: Instant,
    ) -> Duration {
        if request.repeatable || lacks_capacity {
            return Duration::ZERO;
        }
        let contended = self.expected_wait(self.queue.len(), now) > CONTENDED_WAIT;
        match (contended, expects_repeatable) {
            (false, _) => UNCONTENDED_PROBE_DELAY,
            (true, true) => PROBE_DELAY,
            (true, false) => Duration::ZERO,
        }
    }

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
                && server.load(now) < self.available_slots(server, now)
                && !request.excluded.contains(name)
        };
        let cost = |server: &PoolServer| {
            let load = f64::from(server.load(now))
                / f64::from(server.usable_slots(slow_start, now).max(1));
            let other_center = server.settings.center != request.center;
            load + if other_center { OTHER_CENTER_COST } else { 0.0 }
        };
        let candidates = self.servers.iter().filter(has_free_slot);
        if request.uncoordinated {
            let subject = (self.seed ^ request.key).to_string();
            let drawn = candidates.max_by(|left, right| {
                let score = |(name, server): &(&ServerName, &PoolServer)| {
                    let free = server
                        .usable_slots(slow_start, now)
                        .saturating_sub(server.load(now));
                    weighted_score(&subject, name.as_str(), free)
                };
                score(left).total_cmp(&score(right))
            });
            return drawn.map(|(name, _)| name.clone());
        }
        candidates
            .min_by(|(_, left), (_, right)| {
                cost(left)
                    .total_cmp(&cost(right))
                    .then_with(|| left.last_used.cmp(&right.last_used))
            })
            .map(|(name, _)| name.clone())
    }

    /// A healthy server of another region with a free slot, if the request is small enough.
    fn spill_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let small = request.bytes <= MAX_SPILL_BYTES;
        small
            .then(|| self.best_server(request, ServerHealth::Healthy, false, now))
            .flatten()
    }

    /// Ends a queued or running request and applies the reported result.
    pub(crate) fn finish(
        &mut self,
        key: u64,
        report: Option<PlaceReport<'_>>,
        now: Instant,
    ) -> Vec<PlaceAction> {
        if self.queue.remove(key) {
            return Vec::new();
        }
        let sent = report.and_then(|report| Some((report, report.server?)));
        if let Some(placed) = self.placements.remove(&key) {
            if let Some(entry) = self.servers.get_mut(&placed) {
                entry.finish_request(key);
            }
        } else if let Some(entry) = sent.and_then(|(_, name)| self.servers.get_mut(name)) {
            entry.finish_reported_request();
        }
        let change = sent.and_then(|(report, name)| self.apply_report(name, report, now));
        change.into_iter().collect()
    }

    fn apply_report(
        &mut self,
        name: &ServerName,
        report: PlaceReport<'_>,
        now: Instant,
    ) -> Option<PlaceAction> {
        let outcome = report.outcome;
        self.record_unserved(
            outcome.outcome != SlotOutcome::Succeeded && outcome.outcome != SlotOutcome::Cancelled,
        );
        let path_failure = matches!(
            outcome.outcome,
            SlotOutcome::TimedOut | SlotOutcome::ConnectFailed
        );
        if path_failure && !self.failure_reports.record(report.reporter, name, now) {
            return None;
        }
        let may_eject = self.may_eject(name, now);
        let limit = self.overdue_limit();
        let settings = self.settings.as_ref()?;
        let server = self.servers.get_mut(name)?;
        let was_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        let (ejected, cause) = match outcome.outcome {
            SlotOutcome::Succeeded => {
                server.record_good(now);
                (false, "good answer")
            }
            SlotOutcome::Failed => (
                server.record_bad(&settings.ejection, may_eject, now),
                "bad answer",
            ),
            // The request had little time left, so its timeout says nothing about the server.
            SlotOutcome::TimedOut if outcome.latency < limit => (false, "late answer"),
            SlotOutcome::TimedOut => (
                server.record_late(&settings.ejection, may_eject, now),
                "late answer",
            ),
            SlotOutcome::ConnectFailed => {
                // Counts only as a late response, since the fault may be on the path from one host;
                // that host avoids the server by itself.
                (
                    server.record_late(&settings.ejection, may_eject, now),
                    "not reached",
                )
            }
            SlotOutcome::NotRun => {
                server.record_overload(now);
                (false, "turned away")
            }
            SlotOutcome::Misdirected => {
                server.record_departure(now);
                (true, "another server has the address")
            }
            SlotOutcome::Cancelled => (false, "cancelled"),
        };
        if outcome.draining {
            server.record_departure(now);
        }
        let is_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        if outcome.outcome == SlotOutcome::Succeeded {
            self.update_service_time(outcome.latency);
        }
        let changed = ejected || was_unhealthy != is_unhealthy;
        changed.then(|| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name.clone(),
            ejected: ejected || is_unhealthy,
            cause,
        })
    }

    /// Running time from which a request is overdue.
    fn overdue_limit(&self) -> Duration {
        self.service_time
            .mul_f64(OVERDUE_FACTOR)
            .max(MIN_OVERDUE_TIME)
    }

    fn record_unserved(&mut self, unserved: bool) {
        let newest = f64::from(u8::from(unserved));
        self.unserved_share += UNSERVED_SMOOTHING * (newest - self.unserved_share);
    }

    fn update_service_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - SERVICE_TIME_SMOOTHING)
            + time.mul_f64(SERVICE_TIME_SMOOTHING);
    }

    /// Whether the region's remaining capacity stays at or above the floor if `name` is ejected.
    fn may_eject(&self, name: &ServerName, now: Instant) -> bool {
        let floor = self
            .settings
            .as_ref()
            .map_or(1.0, |settings| settings.floor);
        let servers = || {
            self.servers
                .iter()
                .filter(|(_, server)| self.is_in_region(server))
        };
        let total: u32 = servers().map(|(_, server)| server.settings.slots).sum();
        let remaining: u32 = servers()
            .filter(|(other, server)| {
                *other != name
                    && server.is_available(now)
                    && server.health(now) < ServerHealth::Unhealthy
            })
            .map(|(_, server)| server.settings.slots)
            .sum();
        f64::from(remaining) >= floor * f64::from(total)
    }

    /// Handles the confirmation that a request is still running.
    pub(crate) fn confirm_running(&mut self, key: u64, now: Instant) -> Option<PlaceAction> {
        let name = self.placements.get(&key)?.clone();
        let limit = self.overdue_limit();
        if !self.servers.get(&name)?.is_overdue(key, limit, now) {
            return None;
        }
        let may_eject = self.may_eject(&name, now);
        let ejection = &self.settings.as_ref()?.ejection;
        let server = self.servers.get_mut(&name)?;
        let ejected = server.record_overdue(key, ejection, may_eject, now);
        ejected.then(|| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name,
            ejected: true,
            cause: "no answer for long",
        })
    }

    /// Handles timeouts: maintains the capacity floor.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<PlaceAction> {
        self.maintain_floor(now)
    }

    /// Brings ejected servers back while the capacity in use is below the floor, those with the
    /// least evidence first.
    fn maintain_floor(&mut self, now: Instant) -> Vec<PlaceAction> {
        let floor = self
            .settings
            .as_ref()
            .map_or(0.0, |settings| settings.floor);
        let servers = || {
            self.servers
                .iter()
                .filter(|(_, server)| self.is_in_region(server))
        };
        let total: u32 = servers().map(|(_, server)| server.settings.slots).sum();
        let in_use = self.slots_in_use(now);
        let mut missing = floor * f64::from(total) - f64::from(in_use);
        let mut ejected: Vec<(f64, ServerName, u32)> = servers()
            .filter(|(_, server)| server.is_available(now) && server.is_ejected(now))
            .map(|(name, server)| (server.evidence(now), name.clone(), server.settings.slots))
            .collect();
        ejected.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut actions = Vec::new();
        for (_, name, slots) in ejected {
            if missing <= 0.0 {
                break;
            }
            missing -= f64::from(slots);
            if let Some(server) = self.servers.get_mut(&name) {
                server.end_ejection();
            }
            actions.push(PlaceAction::HealthChanged {
                service: self.name.clone(),
                server: name,
                ejected: false,
                cause: "floor",
            });
        }
        actions
    }

    fn slots_in_use(&self, now: Instant) -> u32 {
        let servers = self
            .servers
            .values()
            .filter(|server| self.is_in_region(server));
        servers
            .filter(|server| server.is_available(now) && !server.is_ejected(now))
            .map(|server| server.settings.slots)
            .sum()
    }

    /// Applies the server loads that a host of the region `sender` reports. Each region judges its
    /// own servers: what another one knows of them comes from few requests, and returning evidence
    /// that this region has cleared would keep recovered servers suspect.
    pub(crate) fn apply_loads(&mut self, loads: &[ServerLoad], sender: &RegionName, now: Instant) {
        let reports: HashMap<&ServerName, &ServerLoad> =
            loads.iter().map(|load| (&load.server, load)).collect();
        for (name, server) in &mut self.servers {
            // Servers that are not reported are idle and without evidence.
            let (placed, evidence) = reports
                .get(name)
                .map_or((0, 0.0), |load| (load.placed, load.evidence));
            let judges = *sender == self.region || *sender == server.settings.region;
            server.apply_report(placed, judges.then_some(evidence), now);
        }
    }

    /// The loads that this host reports to others: servers with requests or with evidence.
    pub(crate) fn loads(&self, now: Instant) -> Vec<ServerLoad> {
        let servers = self.servers.iter();
        servers
            .map(|(name, server)| ServerLoad {
                server: name.clone(),
                placed: server.own_requests(),
                evidence: server.evidence(now),
            })
            .filter(|load| load.placed > 0 || load.evidence > 0.0)
            .collect()
    }
}
