//! The servers and the request queue of one service.

mod choice;
mod demand;
mod judgement;
mod probes;
mod waiting;

use super::{
    PlaceAction, PlaceReport, PlaceRequest,
    evidence::{SUSPECT_THRESHOLD, ServerHealth},
    failure_reports::FailureReports,
    server::{EndedRequest, PoolServer},
    slot_queue::SlotQueue,
    table::ServerTable,
};
use crate::{RetryBudget, RetrySource};
use choice::MAX_SPILL_BYTES;
use demand::DemandMeter;
use kws_protocol::{
    RefusalReason, RegionName, ServerLoad, ServerName, ServiceName, ServiceSettings, TryKind,
};
use probes::{ProbeCache, UNUSED_PERIOD};
use std::{cell::RefCell, collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Service time assumed until the first good response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Largest burst of retries of a service in one region, in requests. When a server begins to fail,
/// a few requests of each kind fail with it.
const RETRY_BURST: f64 = 20.0;

/// The properties of a request that decide whether it finds a free slot. Two requests with equal
/// needs either both find one or neither does.
#[derive(Debug, Eq, PartialEq)]
struct RequestNeeds {
    repeatable: bool,
    lost_try: bool,
    small: bool,
    excluded: Vec<ServerName>,
}

impl RequestNeeds {
    fn of(request: &PlaceRequest) -> Self {
        Self {
            repeatable: request.repeatable,
            lost_try: request.kind != TryKind::First,
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
    servers: ServerTable,
    probe_cache: RefCell<ProbeCache>,
    next_floor_check: Option<Instant>,
    queue: SlotQueue,
    placements: HashMap<u64, ServerName>,
    service_time: Duration,
    retry_budget: RetryBudget,
    last_repeatable: Option<Instant>,
    failure_reports: FailureReports,
    demand: DemandMeter,
    jitter_state: u64,
}

impl ServicePool {
    /// Creates a pool without servers.
    pub(crate) fn new(name: &ServiceName, region: RegionName, seed: u64, now: Instant) -> Self {
        Self {
            name: name.clone(),
            servers: ServerTable::new(region.clone(), UNUSED_PERIOD),
            probe_cache: RefCell::default(),
            next_floor_check: None,
            region,
            seed,
            settings: None,
            queue: SlotQueue::default(),
            placements: HashMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            retry_budget: RetryBudget::with_burst(0.0, RETRY_BURST),
            last_repeatable: None,
            failure_reports: FailureReports::default(),
            demand: DemandMeter::new(now),
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
        self.servers.apply_settings(settings, first, now);
        self.settings = Some(settings.clone());
    }

    /// Number of queued requests.
    pub(crate) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Whether the request is queued.
    pub(crate) fn is_queued(&self, key: u64) -> bool {
        self.queue.find(key).is_some()
    }

    /// Names of the servers.
    pub(crate) fn server_names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.iter().map(|(name, _)| name)
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

    /// Queues a request, or refuses it at once if it could not be served in time.
    pub(crate) fn enqueue(&mut self, request: PlaceRequest, now: Instant) -> Vec<PlaceAction> {
        if request.repeatable {
            self.last_repeatable = Some(now);
        }
        match request.kind {
            TryKind::First => {
                self.retry_budget.record_first_try();
                self.demand.record_arrival(request.unserved_share, now);
            }
            TryKind::Replacement => {}
            TryKind::Retry => {
                if !self.retry_budget.spend() {
                    return vec![self.refuse(request.key, RefusalReason::RetryBudget, None, now)];
                }
            }
        }
        let queue_limit = self
            .settings
            .as_ref()
            .map_or(0, |settings| settings.queue as usize);
        if self.queue.len() >= queue_limit.max(1) {
            let retry_after = self.retry_delay(now);
            let reason = RefusalReason::QueueFull;
            return vec![self.refuse(request.key, reason, Some(retry_after), now)];
        }
        let key = request.key;
        let limits = self.wait_limits(&request, now);
        let ahead = self.queue.push(request, limits.useful, now);
        let wait = self.expected_wait(ahead, now);
        if limits.allow(wait) || self.finds_server(key, now) {
            return Vec::new();
        }
        self.queue.remove(key);
        self.demand.record_rejection(now);
        let retry_after = self.retry_delay(now);
        vec![self.refuse(key, RefusalReason::DeadlineEarly, Some(retry_after), now)]
    }

    /// Places the queued requests that find a free slot, and refuses those that can't meet their
    /// deadline.
    pub(crate) fn place_queued(&mut self, now: Instant) -> Vec<PlaceAction> {
        self.servers.refresh(now);
        let mut actions = Vec::new();
        // A placement only takes slots, so needs that found none find none later in this pass.
        let mut unplaceable: Vec<RequestNeeds> = Vec::new();
        let mut index = 0;
        while let Some(request) = self.queue.get(index) {
            if index == 0 && !self.may_place_any(now) {
                break;
            }
            let needs = RequestNeeds::of(request);
            if unplaceable.contains(&needs) {
                index += 1;
                continue;
            }
            if let Some(server) = self.select_server(request, now) {
                let request = self.queue.take(index);
                let action = request.and_then(|request| self.place(&request, &server, now));
                actions.extend(action);
            } else {
                unplaceable.push(needs);
                index += 1;
            }
        }
        actions
    }

    /// Refuses the queued requests that can't be served in time any more.
    pub(crate) fn refuse_late(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut actions = self.refuse_expired(now);
        actions.extend(self.refuse_unservable(now));
        actions
    }

    /// Whether a queued request finds a free slot now, regardless of its position.
    fn finds_server(&self, key: u64, now: Instant) -> bool {
        let request = self.queue.find(key);
        request.is_some_and(|request| self.select_server(request, now).is_some())
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        server: &ServerName,
        now: Instant,
    ) -> Option<PlaceAction> {
        let (health, address) = self.servers.update(server, now, |entry| {
            let health = entry.health(now);
            entry.start_request(request.key, now);
            (health, entry.settings.address)
        })?;
        self.placements.insert(request.key, server.clone());
        Some(PlaceAction::Grant {
            key: request.key,
            server: server.clone(),
            address,
            health,
        })
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
        let mut ended = None;
        if let Some(placed) = self.placements.remove(&key) {
            let finish = |entry: &mut PoolServer| entry.finish_request(key);
            ended = self.servers.update(&placed, now, finish).flatten();
        } else if let Some((_, name)) = sent {
            let finish = PoolServer::finish_reported_request;
            self.servers.update(name, now, finish);
        }
        let change = sent.and_then(|(report, name)| {
            // Another host placed the request when it began, or later if the body took long.
            let ended = ended.unwrap_or_else(|| EndedRequest {
                placed_at: now.checked_sub(report.outcome.latency).unwrap_or(now),
                health: ServerHealth::Healthy,
                was_unknown: false,
            });
            self.apply_report(name, report, ended, now)
        });
        change.into_iter().collect()
    }

    /// Applies the server loads that a host of the region `sender` reports. Each region judges its
    /// own servers: what another one knows of them comes from few requests, and returning evidence
    /// that this region has cleared would keep recovered servers suspect.
    pub(crate) fn apply_loads(&mut self, loads: &[ServerLoad], sender: &RegionName, now: Instant) {
        let reports: HashMap<&ServerName, &ServerLoad> =
            loads.iter().map(|load| (&load.server, load)).collect();
        let names: Vec<ServerName> = self.server_names().cloned().collect();
        for name in names {
            // Servers that are not reported are idle and without evidence.
            let (placed, evidence) = reports
                .get(&name)
                .map_or((0, 0.0), |load| (load.placed, load.evidence));
            let region = &self.region;
            self.servers.update(&name, now, |server| {
                let judges = sender == region || *sender == server.settings.region;
                server.apply_report(placed, judges.then_some(evidence), now);
            });
        }
    }

    /// The loads that this host reports to others: servers with requests or with evidence.
    pub(crate) fn loads(&self, now: Instant) -> Vec<ServerLoad> {
        let mut loads = self.all_loads(now);
        loads.retain(|load| load.placed > 0 || load.evidence > 0.0);
        loads
    }

    /// The loads of the servers whose evidence makes them suspect.
    pub(crate) fn suspects(&self, now: Instant) -> Vec<ServerLoad> {
        let mut loads = self.all_loads(now);
        loads.retain(|load| load.evidence >= SUSPECT_THRESHOLD);
        loads
    }

    fn all_loads(&self, now: Instant) -> Vec<ServerLoad> {
        let servers = self.servers.iter();
        let loads = servers.map(|(name, server)| ServerLoad {
            server: name.clone(),
            placed: server.own_requests(),
            evidence: server.evidence(now),
        });
        loads.collect()
    }
}
