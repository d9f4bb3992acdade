//! The servers and the request queue of one service.

use super::{
    PlaceAction, PlaceInputs, PlaceReport, PlaceRequest, complaint::PathComplaints,
    pace::QueuePace, server::PlacedServer, suspicion::Suspicion, waiting::WaitingLine,
};
use crate::{RetryBudget, RetrySource};
use kws_protocol::{
    RefusalReason, RegionName, ServerLoad, ServerName, ServiceName, ServiceSettings, SlotEnd,
    weighted_score,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Service time assumed until the first good answer.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Smoothing factor of the moving average of the service time, between 0 and 1.
const TIME_GAIN: f64 = 0.05;

/// Time that must be left after the wait, in average service times, so that most answers still
/// arrive in time. A request with less time left would use a slot in vain.
const LEAST_SERVICE: f64 = 1.25;

/// A queued request is refused when less time than this is left, in average service times.
const LAST_SERVICE: f64 = 0.9;

/// Share of a request's remaining time that it may spend in the queue. A longer queue doesn't serve
/// more callers, it only delays them.
const WAIT_SHARE: f64 = 0.45;

/// Longest wait in the queue, whatever the deadline. A queue that is too long for requests with
/// short deadlines would cause all of those to be refused.
const LONGEST_WAIT: Duration = Duration::from_millis(400);

/// A request is overdue after this many average service times, and counts as a failure.
const OVERDUE_FACTOR: f64 = 4.0;

/// A request is not overdue before this time.
const LEAST_OVERDUE: Duration = Duration::from_millis(800);

/// A request waits for a healthy server rather than use a suspect one, unless the wait would be
/// longer than this.
const SUSPECT_WAIT: Duration = Duration::from_millis(250);

/// A request that transfers more than this, in bytes, is served only in its own region, since
/// traffic between regions is billed by volume.
const SPILL_BYTES: u64 = 24 * 1024;

/// Cost of a server in another data centre of the region, as a share of a fully loaded server.
const CENTER_COST: f64 = 0.1;

/// Shortest delay that a refused caller is told to wait.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Longest delay that a refused caller is told to wait.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Largest burst of retries of a service in one region, in requests. When a server begins to fail,
/// a few requests of each kind fail with it.
const RETRY_BURST: f64 = 20.0;

/// A service that had a repeatable request within this time prefers those for probes.
const REPEATABLE_AGE: Duration = Duration::from_secs(1);

/// A server that is due for a probe for longer than this is probed by a request that is not
/// repeatable, so that recovered capacity is not left idle.
const TRIAL_PATIENCE: Duration = Duration::from_secs(1);

/// The same delay while no request waits for longer than [`CROWDED_WAIT`]. Failures typically last
/// some seconds, and the service has enough capacity without the server.
const CALM_PATIENCE: Duration = Duration::from_secs(4);

/// Queue wait from which the service lacks the capacity of its ejected servers: a considerable part
/// of the usual service time.
const CROWDED_WAIT: Duration = Duration::from_millis(50);

/// Share of unserved requests from which any request may probe a server, since the service then
/// needs all capacity that has recovered.
const EAGER_FROM: f64 = 0.08;

/// A suspect server is probed after this long without a request.
const IDLE_SUSPECT: Duration = Duration::from_millis(1_500);

/// Smoothing factor of the moving average of the share of unserved requests, between 0 and 1.
const UNSERVED_GAIN: f64 = 0.02;

/// The properties of a request that decide whether it finds a free slot. Two requests with equal
/// needs either both find one or neither does.
#[derive(Debug, Eq, PartialEq)]
struct RequestNeeds {
    repeatable: bool,
    cheap: bool,
    excluded: Vec<ServerName>,
}

impl RequestNeeds {
    fn of(request: &PlaceRequest) -> Self {
        Self {
            repeatable: request.repeatable,
            cheap: request.bytes <= SPILL_BYTES,
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
    servers: BTreeMap<ServerName, PlacedServer>,
    line: WaitingLine,
    placed: HashMap<u64, ServerName>,
    service_time: Duration,
    budget: RetryBudget,
    repeatable_seen: Option<Instant>,
    complaints: PathComplaints,
    /// Moving average of the share of requests that failed or were refused early.
    unserved: f64,
    draws: u64,
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
            line: WaitingLine::default(),
            placed: HashMap::new(),
            service_time: FIRST_SERVICE_TIME,
            budget: RetryBudget::with_burst(0.0, RETRY_BURST),
            repeatable_seen: None,
            complaints: PathComplaints::default(),
            unserved: 0.0,
            draws: 0,
        }
    }

    /// Applies newer settings. Servers of the first settings begin without slow start.
    pub(crate) fn adopt(&mut self, settings: &ServiceSettings, now: Instant) {
        let first = self.settings.is_none();
        if first {
            self.budget = RetryBudget::with_burst(settings.retry_budget, RETRY_BURST);
        }
        self.budget.set_share(settings.retry_budget);
        self.servers
            .retain(|name, _| settings.servers.contains_key(name));
        for (name, server) in &settings.servers {
            self.servers
                .entry(name.clone())
                .or_insert_with(|| PlacedServer::new(server, !first, now))
                .adopt(server, now);
        }
        self.settings = Some(settings.clone());
    }

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Whether the request is queued.
    pub(crate) fn waits(&self, key: u64) -> bool {
        self.line.iter().any(|request| request.key == key)
    }

    /// Names of the servers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.keys()
    }

    /// Current health of each server.
    pub(crate) fn standings(&self, now: Instant) -> impl Iterator<Item = (&ServerName, Suspicion)> {
        let servers = self.servers.iter();
        servers.map(move |(name, server)| (name, server.suspicion(now)))
    }

    /// Refuses all queued requests, since the service was removed.
    pub(crate) fn refuse_all(&mut self, now: Instant) -> Vec<PlaceAction> {
        let gone = self.line.take_if(|_, _| true);
        gone.into_iter()
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
            inputs: self.inputs(now),
        }
    }

    fn inputs(&self, now: Instant) -> PlaceInputs {
        let pace = self.pace(now);
        PlaceInputs {
            waiting: self.line.len(),
            free: pace.free,
            slots: pace.slots,
            servers_in: self.near_servers(now, Suspicion::Suspect).count(),
            servers: self
                .servers
                .values()
                .filter(|one| self.is_near(one))
                .count(),
            service_time: self.service_time,
        }
    }

    /// Queues a request, or refuses it at once if it could not be served in time.
    pub(crate) fn enqueue(&mut self, request: PlaceRequest, now: Instant) -> Vec<PlaceAction> {
        if request.repeatable {
            self.repeatable_seen = Some(now);
        }
        if request.repeat {
            if !self.budget.spend() {
                return vec![self.refuse(request.key, RefusalReason::RetryBudget, None, now)];
            }
        } else {
            self.budget.earn();
        }
        let (key, deadline) = (request.key, request.deadline);
        let left = deadline.saturating_duration_since(now);
        let queue = self.settings.as_ref().map_or(0, |one| one.queue as usize);
        if self.line.len() >= queue.max(1) {
            let advice = self.advice(now);
            return vec![self.refuse(key, RefusalReason::QueueFull, Some(advice), now)];
        }
        let before = self.line.push(request, now);
        let wait = self.wait_of(before, now);
        let needed = wait + self.service_time.mul_f64(LEAST_SERVICE);
        let patience = left.mul_f64(WAIT_SHARE).min(LONGEST_WAIT);
        let hopeless = !wait.is_zero() && (needed > left || wait > patience);
        if hopeless && !self.finds_place(key, now) {
            self.line.remove(key);
            self.note_unserved(true);
            let advice = self.advice(now);
            return vec![self.refuse(key, RefusalReason::DeadlineEarly, Some(advice), now)];
        }
        Vec::new()
    }

    /// The region's present servers whose health is `most` or better.
    fn near_servers(&self, now: Instant, most: Suspicion) -> impl Iterator<Item = &PlacedServer> {
        let near = self.servers.values().filter(|one| self.is_near(one));
        near.filter(move |one| one.is_present(now) && one.suspicion(now) <= most)
    }

    /// Usable slots of the region's healthy servers.
    fn clean_slots(&self, now: Instant) -> u32 {
        self.near_servers(now, Suspicion::Clean)
            .map(|one| one.usable(self.slow_start(), now))
            .sum()
    }

    /// The slots of a server that requests may use: one of a suspect server, and none of it during
    /// its cooldown.
    fn open_slots(&self, server: &PlacedServer, now: Instant) -> u32 {
        let usable = server.usable(self.slow_start(), now);
        match server.suspicion(now) {
            Suspicion::Clean => usable,
            Suspicion::Suspect if !server.rests(now) => usable.min(1),
            Suspicion::Sick | Suspicion::Suspect => 0,
        }
    }

    /// The queue's state for estimating waits: by the healthy servers, else by the suspect ones,
    /// else by the next probes.
    fn pace(&self, now: Instant) -> QueuePace {
        let mut pace = QueuePace {
            service_time: self.service_time,
            ..QueuePace::default()
        };
        for most in [Suspicion::Clean, Suspicion::Suspect] {
            for server in self.near_servers(now, most) {
                let open = self.open_slots(server, now);
                pace.slots += open;
                pace.free += open.saturating_sub(server.load(now));
            }
            if pace.slots > 0 {
                return pace;
            }
        }
        let near = self.near_servers(now, Suspicion::Sick);
        pace.openings = near.filter_map(|one| one.opens_in(now)).collect();
        pace.openings.sort();
        pace
    }

    /// Expected wait of a request that has `before` others ahead of it.
    fn wait_of(&self, before: usize, now: Instant) -> Duration {
        self.pace(now).wait(before)
    }

    /// The delay that a refused caller is told to wait: the time until the present queue is served,
    /// with jitter, so that callers refused together don't return together.
    fn advice(&mut self, now: Instant) -> Duration {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let spread = 0.5 + (self.draws >> 33) as f64 / f64::from(u32::MAX);
        let wait = self.wait_of(self.line.len(), now);
        wait.mul_f64(spread).clamp(MIN_RETRY, MAX_RETRY)
    }

    fn slow_start(&self) -> Duration {
        self.settings
            .as_ref()
            .map_or(Duration::ZERO, |settings| settings.slow_start)
    }

    fn is_near(&self, server: &PlacedServer) -> bool {
        server.settings.region == self.region
    }

    /// Places the queued requests that find a free slot, and refuses those that can't meet their
    /// deadline.
    pub(crate) fn serve(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.line.is_empty() {
            return Vec::new();
        }
        let last = self.service_time.mul_f64(LAST_SERVICE);
        let mut actions = self.refuse_if(|_, left| left < last, now);
        // A placement only takes slots, so needs that found none find none later in this pass.
        let mut stuck: Vec<RequestNeeds> = Vec::new();
        let mut index = 0;
        while let Some(request) = self.line.get(index) {
            let needs = RequestNeeds::of(request);
            if stuck.contains(&needs) {
                index += 1;
                continue;
            }
            if let Some(server) = self.pick(request, now) {
                let request = self.line.take(index);
                actions.extend(self.place(&request, &server, now));
            } else {
                stuck.push(needs);
                index += 1;
            }
        }
        actions.extend(self.refuse_late(now));
        actions
    }

    /// Refuses requests that can't be served in time any more, since the queue has slowed down
    /// after they were queued.
    fn refuse_late(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.line.is_empty() {
            return Vec::new();
        }
        let pace = self.pace(now);
        let needed = self.service_time.mul_f64(LEAST_SERVICE);
        let late = |place, left| {
            let wait = pace.wait(place);
            !wait.is_zero() && wait + needed > left
        };
        self.refuse_if(late, now)
    }

    /// Refuses the requests that `lost` selects by their position in the queue and their remaining
    /// time.
    fn refuse_if(
        &mut self,
        lost: impl Fn(usize, Duration) -> bool,
        now: Instant,
    ) -> Vec<PlaceAction> {
        let gone = self
            .line
            .take_if(|place, request| lost(place, request.deadline.saturating_duration_since(now)));
        let mut actions = Vec::new();
        for request in gone {
            let advice = self.advice(now);
            let reason = RefusalReason::DeadlineEarly;
            actions.push(self.refuse(request.key, reason, Some(advice), now));
        }
        actions
    }

    /// Whether a queued request finds a free slot now, regardless of its position.
    fn finds_place(&self, key: u64, now: Instant) -> bool {
        let request = self.line.iter().find(|request| request.key == key);
        request.is_some_and(|request| self.pick(request, now).is_some())
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        server: &ServerName,
        now: Instant,
    ) -> Option<PlaceAction> {
        let entry = self.servers.get_mut(server)?;
        let suspicion = entry.suspicion(now);
        entry.start(request.key, now);
        let address = entry.settings.address;
        self.placed.insert(request.key, server.clone());
        Some(PlaceAction::Grant {
            key: request.key,
            server: server.clone(),
            address,
            suspicion,
        })
    }

    /// The best server for a request. In this order: a server that is due for a probe, a healthy
    /// one of the region, a healthy one of another region, a suspect one of the region.
    fn pick(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        if let Some(server) = self.trial(request, now) {
            return Some(server);
        }
        let near = self.best(request, Suspicion::Clean, true, now);
        near.or_else(|| self.spill(request, now))
            .or_else(|| self.suspect(request, now))
    }

    /// A suspect server, if there are no healthy ones or the queue for them is long.
    fn suspect(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let waiting = self.line.len();
        let short = self.clean_slots(now) == 0 || self.wait_of(waiting, now) > SUSPECT_WAIT;
        short
            .then(|| self.best(request, Suspicion::Suspect, true, now))
            .flatten()
    }

    /// The server to probe: of those that are due, the one used least recently. A probe may cost
    /// the request, so repeatable requests are preferred, unless there was none for a while.
    fn trial(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let repeatables = self
            .repeatable_seen
            .is_some_and(|at| now.saturating_duration_since(at) < REPEATABLE_AGE);
        let short = self.unserved > EAGER_FROM;
        let ejection = &self.settings.as_ref()?.ejection;
        let patience = self.trial_patience(request, repeatables, short, now);
        let wanted = |(name, one): &(&ServerName, &PlacedServer)| {
            // A repeatable request shows at low cost whether a suspect server is unhealthy.
            let idle = one
                .last_used
                .is_none_or(|at| now.saturating_duration_since(at) > IDLE_SUSPECT);
            let tests = one.wants_test(now) && (request.repeatable || idle);
            let early = short && one.wants_early_trial(ejection, now);
            let tells = one.wants_trial(patience, now) || early || tests;
            self.is_near(one) && tells && !request.excluded.contains(name)
        };
        let found = self.servers.iter().filter(wanted);
        found
            .min_by_key(|(_, one)| one.last_used)
            .map(|(name, _)| name.clone())
    }

    /// How long after the end of an ejection a probe waits for a more suitable request.
    fn trial_patience(
        &self,
        request: &PlaceRequest,
        repeatables: bool,
        short: bool,
        now: Instant,
    ) -> Duration {
        if request.repeatable || short {
            return Duration::ZERO;
        }
        let crowded = self.wait_of(self.line.len(), now) > CROWDED_WAIT;
        match (crowded, repeatables) {
            (false, _) => CALM_PATIENCE,
            (true, true) => TRIAL_PATIENCE,
            (true, false) => Duration::ZERO,
        }
    }

    fn best(
        &self,
        request: &PlaceRequest,
        most: Suspicion,
        near: bool,
        now: Instant,
    ) -> Option<ServerName> {
        let slow_start = self.slow_start();
        let fits = |(name, one): &(&ServerName, &PlacedServer)| {
            self.is_near(one) == near
                && one.is_present(now)
                && !one.rests(now)
                && one.suspicion(now) == most
                && one.load(now) < self.open_slots(one, now)
                && !request.excluded.contains(name)
        };
        let cost = |one: &PlacedServer| {
            let load = f64::from(one.load(now)) / f64::from(one.usable(slow_start, now).max(1));
            let far = one.settings.center != request.center;
            load + if far { CENTER_COST } else { 0.0 }
        };
        let options = self.servers.iter().filter(fits);
        if request.alone {
            let subject = (self.seed ^ request.key).to_string();
            let drawn = options.max_by(|left, right| {
                let score = |(name, one): &(&ServerName, &PlacedServer)| {
                    let free = one.usable(slow_start, now).saturating_sub(one.load(now));
                    weighted_score(&subject, name.as_str(), free)
                };
                score(left).total_cmp(&score(right))
            });
            return drawn.map(|(name, _)| name.clone());
        }
        options
            .min_by(|(_, left), (_, right)| {
                cost(left)
                    .total_cmp(&cost(right))
                    .then_with(|| left.last_used.cmp(&right.last_used))
            })
            .map(|(name, _)| name.clone())
    }

    /// A healthy server of another region with a free slot, if the request is small enough.
    fn spill(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let cheap = request.bytes <= SPILL_BYTES;
        cheap
            .then(|| self.best(request, Suspicion::Clean, false, now))
            .flatten()
    }

    /// Ends a queued or running request and applies the reported result.
    pub(crate) fn finish(
        &mut self,
        key: u64,
        report: Option<PlaceReport<'_>>,
        now: Instant,
    ) -> Vec<PlaceAction> {
        if self.line.remove(key) {
            return Vec::new();
        }
        let told = report.and_then(|report| Some((report, report.sent?)));
        if let Some(placed) = self.placed.remove(&key) {
            if let Some(entry) = self.servers.get_mut(&placed) {
                entry.finish(key);
            }
        } else if let Some(entry) = told.and_then(|(_, name)| self.servers.get_mut(name)) {
            entry.finish_told();
        }
        let judged = told.and_then(|(report, name)| self.judge(name, report, now));
        judged.into_iter().collect()
    }

    fn judge(
        &mut self,
        name: &ServerName,
        report: PlaceReport<'_>,
        now: Instant,
    ) -> Option<PlaceAction> {
        let end = report.end;
        self.note_unserved(end.end != SlotEnd::Good && end.end != SlotEnd::Cancelled);
        let complains = matches!(end.end, SlotEnd::Late | SlotEnd::Unreached);
        if complains && !self.complaints.note(report.teller, name, now) {
            return None;
        }
        let room = self.may_eject(name, now);
        let limit = self.overdue_limit();
        let settings = self.settings.as_ref()?;
        let server = self.servers.get_mut(name)?;
        let was_out = server.suspicion(now) == Suspicion::Sick;
        let (ejected, cause) = match end.end {
            SlotEnd::Good => {
                server.good(now);
                (false, "good answer")
            }
            SlotEnd::Bad => (server.bad(&settings.ejection, room, now), "bad answer"),
            // The request had little time left, so its timeout says nothing about the server.
            SlotEnd::Late if end.latency < limit => (false, "late answer"),
            SlotEnd::Late => (server.late(&settings.ejection, room, now), "late answer"),
            SlotEnd::Unreached => {
                // Counts only as a late answer, since the fault may be on the path from one host;
                // that host avoids the server by itself.
                (server.late(&settings.ejection, room, now), "not reached")
            }
            SlotEnd::Shed => {
                server.shed(now);
                (false, "turned away")
            }
            SlotEnd::Misdirected => {
                server.leave(now);
                (true, "another server has the address")
            }
            SlotEnd::Cancelled => (false, "cancelled"),
        };
        if end.draining {
            server.leave(now);
        }
        let is_out = server.suspicion(now) == Suspicion::Sick;
        if end.end == SlotEnd::Good {
            self.learn_time(end.latency);
        }
        let changed = ejected || was_out != is_out;
        changed.then(|| PlaceAction::Judged {
            service: self.name.clone(),
            server: name.clone(),
            out: ejected || is_out,
            cause,
        })
    }

    /// Running time from which a request is overdue.
    fn overdue_limit(&self) -> Duration {
        self.service_time.mul_f64(OVERDUE_FACTOR).max(LEAST_OVERDUE)
    }

    fn note_unserved(&mut self, unserved: bool) {
        let newest = f64::from(u8::from(unserved));
        self.unserved += UNSERVED_GAIN * (newest - self.unserved);
    }

    fn learn_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - TIME_GAIN) + time.mul_f64(TIME_GAIN);
    }

    /// Whether the region's remaining capacity stays at or above the floor if `name` is ejected.
    fn may_eject(&self, name: &ServerName, now: Instant) -> bool {
        let floor = self.settings.as_ref().map_or(1.0, |one| one.floor);
        let near = || self.servers.iter().filter(|(_, one)| self.is_near(one));
        let all: u32 = near().map(|(_, one)| one.settings.slots).sum();
        let left: u32 = near()
            .filter(|(other, one)| {
                *other != name && one.is_present(now) && one.suspicion(now) < Suspicion::Sick
            })
            .map(|(_, one)| one.settings.slots)
            .sum();
        f64::from(left) >= floor * f64::from(all)
    }

    /// Handles the confirmation that a request is still running.
    pub(crate) fn confirm(&mut self, key: u64, now: Instant) -> Option<PlaceAction> {
        let name = self.placed.get(&key)?.clone();
        let limit = self.overdue_limit();
        if !self.servers.get(&name)?.is_overdue(key, limit, now) {
            return None;
        }
        let room = self.may_eject(&name, now);
        let ejection = &self.settings.as_ref()?.ejection;
        let server = self.servers.get_mut(&name)?;
        let ejected = server.note_overdue(key, ejection, room, now);
        ejected.then(|| PlaceAction::Judged {
            service: self.name.clone(),
            server: name,
            out: true,
            cause: "no answer for long",
        })
    }

    /// Handles timeouts: maintains the capacity floor.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<PlaceAction> {
        self.keep_floor(now)
    }

    /// Brings ejected servers back while the capacity in use is below the floor, those with the
    /// least evidence first.
    fn keep_floor(&mut self, now: Instant) -> Vec<PlaceAction> {
        let floor = self.settings.as_ref().map_or(0.0, |one| one.floor);
        let near = || self.servers.iter().filter(|(_, one)| self.is_near(one));
        let all: u32 = near().map(|(_, one)| one.settings.slots).sum();
        let in_use = self.slots_of_healthy(now);
        let mut missing = floor * f64::from(all) - f64::from(in_use);
        let mut out: Vec<(f64, ServerName, u32)> = near()
            .filter(|(_, one)| one.is_present(now) && one.is_out(now))
            .map(|(name, one)| (one.evidence(now), name.clone(), one.settings.slots))
            .collect();
        out.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut actions = Vec::new();
        for (_, name, slots) in out {
            if missing <= 0.0 {
                break;
            }
            missing -= f64::from(slots);
            if let Some(server) = self.servers.get_mut(&name) {
                server.restore();
            }
            actions.push(PlaceAction::Judged {
                service: self.name.clone(),
                server: name,
                out: false,
                cause: "floor",
            });
        }
        actions
    }

    fn slots_of_healthy(&self, now: Instant) -> u32 {
        let near = self.servers.values().filter(|one| self.is_near(one));
        near.filter(|one| one.is_present(now) && !one.is_out(now))
            .map(|one| one.settings.slots)
            .sum()
    }

    /// Applies the server loads that another host reports.
    pub(crate) fn learn(&mut self, loads: &[ServerLoad], now: Instant) {
        let told: HashMap<&ServerName, &ServerLoad> =
            loads.iter().map(|load| (&load.server, load)).collect();
        for (name, server) in &mut self.servers {
            // Servers that are not reported are idle and without evidence.
            let (placed, evidence) = told
                .get(name)
                .map_or((0, 0.0), |load| (load.placed, load.evidence));
            server.learn(placed, evidence, now);
        }
    }

    /// The loads that this host reports to others: servers with requests or with evidence.
    pub(crate) fn loads(&self, now: Instant) -> Vec<ServerLoad> {
        let servers = self.servers.iter();
        servers
            .map(|(name, one)| ServerLoad {
                server: name.clone(),
                placed: one.placed(),
                evidence: one.evidence(now),
            })
            .filter(|load| load.placed > 0 || load.evidence > 0.0)
            .collect()
    }
}
