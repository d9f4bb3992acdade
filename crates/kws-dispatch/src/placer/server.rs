//! State of one backend server on the host that schedules its service.

use super::evidence::{BadResponse, Ejection, FailureEvidence, ServerHealth};
use kws_protocol::{EjectionSettings, ServerSettings};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Cooldown of a server that rejected a request because of overload.
const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(30);

/// Cooldown after a bad response. Without it, a server that fails immediately would always have
/// free slots and attract all requests while the others are full.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(300);

/// Cooldown after a connection could not be established. Without it, a server whose process ended
/// refuses connections at once, and would attract all requests while the others are full.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(100);

/// Consecutive failed connections double the cooldown at most this many times.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 5;

/// Consecutive bad responses double the cooldown at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// Age up to which a load that another host reported is used. Hosts report every second, and most
/// requests end sooner than this.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// A server that announced its departure is not used for this long, unless its address changes.
const DEPARTURE_COOLDOWN: Duration = Duration::from_secs(30);

/// Time after a good response in which a server's state becomes unknown.
const KNOWN_PERIOD: Duration = Duration::from_secs(5);

/// When suspect and ejected servers are probed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ProbeRules {
    /// Delay after the end of an ejection; `None` if ejected servers aren't probed.
    pub(crate) delay: Option<Duration>,
    /// Time after which an ejection is probed whatever its length and the delay.
    pub(crate) early_base: Option<Duration>,
    /// Time without a request after which a suspect server is probed.
    pub(crate) suspect_interval: Duration,
}

/// A request that is running on the server.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    since: Instant,
    overdue: bool,
    /// The server's health when the request was placed.
    health: ServerHealth,
    /// Whether nothing was known of the server's state then.
    was_unknown: bool,
}

/// The placement of a request that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRequest {
    /// When the request was placed.
    pub(crate) placed_at: Instant,
    /// The server's health then.
    pub(crate) health: ServerHealth,
    /// Whether nothing was known of the server's state then.
    pub(crate) was_unknown: bool,
}

/// A backend server with its requests, health and reported load.
#[derive(Clone, Debug)]
pub(crate) struct PoolServer {
    pub(crate) settings: ServerSettings,
    running: BTreeMap<u64, RunningRequest>,
    evidence: FailureEvidence,
    ejection: Option<Ejection>,
    cooldown_until: Option<Instant>,
    /// Consecutive bad responses.
    consecutive_failures: u32,
    /// Consecutive failed connections.
    consecutive_unreachable: u32,
    /// When the last bad response arrived.
    last_bad: Option<Instant>,
    /// When the last good response arrived to a request placed after the last bad one.
    last_good: Option<Instant>,
    unavailable_until: Option<Instant>,
    slow_start_since: Option<Instant>,
    /// Requests placed by other hosts as last reported, and when.
    reported_load: Option<(u32, Instant)>,
    pub(crate) last_used: Option<Instant>,
}

impl PoolServer {
    /// Creates the state of a new server. `in_slow_start` limits it to one slot at first.
    pub(crate) fn new(settings: &ServerSettings, in_slow_start: bool, now: Instant) -> Self {
        Self {
            settings: settings.clone(),
            running: BTreeMap::new(),
            evidence: FailureEvidence::new(now),
            ejection: None,
            cooldown_until: None,
            consecutive_failures: 0,
            consecutive_unreachable: 0,
            last_bad: None,
            last_good: None,
            unavailable_until: None,
            slow_start_since: in_slow_start.then_some(now),
            reported_load: None,
            last_used: None,
        }
    }

    /// Requests running on the server, including those that other hosts reported.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let reported_load = self
            .reported_load
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_REPORT_AGE);
        self.running.len() as u32 + reported_load.map_or(0, |(load, _)| load)
    }

    /// Running requests that this host placed.
    pub(crate) fn own_requests(&self) -> u32 {
        self.running.len() as u32
    }

    /// Current evidence of failure, as a sum of log-likelihood ratios.
    pub(crate) fn evidence(&self, now: Instant) -> f64 {
        self.evidence.score(now)
    }

    /// Slots that may be used; only one during slow start.
    pub(crate) fn usable_slots(&self, slow_start: Duration, now: Instant) -> u32 {
        let in_slow_start = self
            .slow_start_since
            .is_some_and(|since| now.saturating_duration_since(since) < slow_start);
        if in_slow_start {
            1
        } else {
            self.settings.slots
        }
    }

    /// Whether the server has not announced its departure.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether the server is in cooldown after an overload rejection or a bad response.
    pub(crate) fn in_cooldown(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }

    /// Time until the server may get its next request; `None` while it runs one, whose result
    /// decides.
    pub(crate) fn time_to_next_request(&self, now: Instant) -> Option<Duration> {
        let cooldown_end = self.cooldown_until.unwrap_or(now);
        let probe_at = self.ejection.map_or(now, |ejection| ejection.until);
        let delay = cooldown_end.max(probe_at).saturating_duration_since(now);
        self.running.is_empty().then_some(delay)
    }

    /// Current health of the server.
    pub(crate) fn health(&self, now: Instant) -> ServerHealth {
        if self.ejection.is_some() {
            return ServerHealth::Unhealthy;
        }
        // Evidence above the threshold ejects when it is added, if the capacity floor allows it.
        // What is left without an ejection decays, so it makes the server suspect at most.
        self.evidence.health(now).min(ServerHealth::Suspect)
    }

    /// Whether a request would verify a suspect server: no request placed since its last bad
    /// response is running.
    pub(crate) fn is_verifiable(&self, now: Instant) -> bool {
        self.health(now) == ServerHealth::Suspect
            && self.is_available(now)
            && !self.in_cooldown(now)
            && !self.is_being_verified()
    }

    /// Whether a request placed since the last bad response is running. Its result decides whether
    /// the server is healthy; those of earlier requests don't.
    fn is_being_verified(&self) -> bool {
        let Some(last_bad) = self.last_bad else {
            return !self.running.is_empty();
        };
        self.running
            .values()
            .any(|request| request.since >= last_bad)
    }

    /// Slots that the next requests may use: one at a time of a suspect server.
    pub(crate) fn free_slots(&self, slow_start: Duration, now: Instant) -> u32 {
        let free = self
            .usable_slots(slow_start, now)
            .saturating_sub(self.load(now));
        match self.health(now) {
            ServerHealth::Healthy => free,
            ServerHealth::Suspect if self.is_verifiable(now) => free.min(1),
            ServerHealth::Suspect | ServerHealth::Unhealthy => 0,
        }
    }

    /// When a request may probe the server by these rules; `None` while a running one decides.
    pub(crate) fn probe_due(
        &self,
        rules: &ProbeRules,
        slow_start: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let ready = self
            .cooldown_until
            .max(self.unavailable_until)
            .unwrap_or(now);
        if let Some(ejection) = self.ejection {
            let due = ejection.until + rules.delay.filter(|_| self.running.is_empty())?;
            let began = ejection.until - ejection.duration;
            let early = rules.early_base.map(|base| began + base);
            return Some(early.map_or(due, |early| early.min(due)).max(ready));
        }
        let is_full = self.usable_slots(slow_start, now) <= self.load(now);
        if is_full || self.is_being_verified() {
            return None;
        }
        let rested = self.last_used.map_or(now, |at| at + rules.suspect_interval);
        Some(rested.max(ready))
    }

    /// When the server's health or its slots change next without an event.
    pub(crate) fn next_change(&self, slow_start: Duration, now: Instant) -> Option<Instant> {
        let report = self.reported_load.filter(|(load, _)| *load > 0);
        let changes = [
            self.cooldown_until,
            self.unavailable_until,
            self.slow_start_since.map(|since| since + slow_start),
            report.map(|(_, at)| at + MAX_REPORT_AGE),
            self.evidence.suspect_until(now),
        ];
        changes.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Whether the server is ejected and its ejection has not ended.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|ejection| now < ejection.until)
    }

    /// Applies newer settings. A changed address means a different server, so its state is reset.
    pub(crate) fn apply_settings(&mut self, settings: &ServerSettings, now: Instant) {
        if self.settings.address != settings.address {
            *self = Self::new(settings, true, now);
        }
        self.settings = settings.clone();
    }

    /// Whether a request was placed on the server within `period`.
    pub(crate) fn was_used(&self, period: Duration, now: Instant) -> bool {
        self.last_used
            .is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// How little is known of the server's present state, from 0 just after a good response to 1.
    pub(crate) fn uncertainty(&self, now: Instant) -> f64 {
        self.last_good.map_or(1.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            (age / KNOWN_PERIOD.as_secs_f64()).min(1.0)
        })
    }

    /// Records that a request was placed on the server.
    pub(crate) fn start_request(&mut self, key: u64, now: Instant) {
        let running = RunningRequest {
            since: now,
            overdue: false,
            health: self.health(now),
            was_unknown: self.uncertainty(now) >= 1.0,
        };
        self.running.insert(key, running);
        self.last_used = Some(now);
    }

    /// Records the end of a request that this host placed. Returns what its placement was based on.
    pub(crate) fn finish_request(&mut self, key: u64) -> Option<EndedRequest> {
        let request = self.running.remove(&key)?;
        Some(EndedRequest {
            placed_at: request.since,
            health: request.health,
            was_unknown: request.was_unknown,
        })
    }

    /// Records the end of a request that another host placed, by reducing the reported load.
    pub(crate) fn finish_reported_request(&mut self) {
        if let Some((load, _)) = &mut self.reported_load {
            *load = load.saturating_sub(1);
        }
    }

    /// Records a good response to a request placed at `placed`. A good response to a probe ends the
    /// ejection and clears the evidence. One to a request placed before the last bad response says
    /// nothing about the server's present state.
    pub(crate) fn record_good(&mut self, placed: Instant, now: Instant) {
        if self.last_bad.is_some_and(|bad| placed < bad) {
            return self.evidence.record_in_time(now);
        }
        self.consecutive_unreachable = 0;
        self.evidence.record_good(now);
        self.last_good = Some(now);
        self.cooldown_until = None;
        self.consecutive_failures = 0;
        if self.probed_ejection().is_some() {
            self.ejection = None;
            self.evidence.reset(now);
        }
    }

    /// Records a bad response, and starts a cooldown unless it may be the request's own. `abrupt`
    /// means that it came much sooner than the server can do its work. Returns whether the server
    /// was ejected.
    pub(crate) fn record_bad(
        &mut self,
        abrupt: bool,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        let kind = match self.consecutive_failures {
            _ if abrupt => BadResponse::Abrupt,
            0 => BadResponse::Single,
            _ => BadResponse::Repeated,
        };
        self.evidence.record_bad(kind, now);
        self.last_bad = Some(now);
        if kind != BadResponse::Single {
            let cooldown = FAILURE_COOLDOWN * (1 << self.consecutive_failures.min(MAX_DOUBLINGS));
            self.cooldown_until = self.cooldown_until.max(Some(now + cooldown));
        }
        self.consecutive_failures += 1;
        self.update_ejection(settings, may_eject, now)
    }

    /// Records a response that did not arrive in time. Returns whether the server was ejected.
    pub(crate) fn record_late(
        &mut self,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        self.evidence.record_overdue(now);
        self.update_ejection(settings, may_eject, now)
    }

    /// Records a failed connection and starts a cooldown. It counts only as a late response, since
    /// the fault may be on the path from one host, which avoids the server by itself. Returns
    /// whether the server was ejected.
    pub(crate) fn record_unreachable(
        &mut self,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        let doublings = self.consecutive_unreachable.min(MAX_UNREACHABLE_DOUBLINGS);
        self.consecutive_unreachable += 1;
        let end = now + UNREACHABLE_COOLDOWN * (1 << doublings);
        self.cooldown_until = self.cooldown_until.max(Some(end));
        self.record_late(settings, may_eject, now)
    }

    /// The current ejection if a request was placed since it began. Results of requests that were
    /// already running then say nothing about the server's present state.
    fn probed_ejection(&self) -> Option<Ejection> {
        let used = self.last_used?;
        self.ejection
            .filter(|ejection| used + ejection.duration > ejection.until)
    }

    fn update_ejection(
        &mut self,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        let failed_probe = self.probed_ejection();
        let unhealthy = self.evidence.health(now) == ServerHealth::Unhealthy;
        let still_ejected = self.ejection.is_some() && failed_probe.is_none();
        if still_ejected || !(may_eject && unhealthy || failed_probe.is_some()) {
            return false;
        }
        let duration = failed_probe.map_or(settings.base, |ejection| {
            (ejection.duration * 2).min(settings.max)
        });
        self.ejection = Some(Ejection {
            until: now + duration,
            duration,
        });
        true
    }

    /// Ends the ejection without a probe, to keep the capacity floor.
    pub(crate) fn end_ejection(&mut self) {
        self.ejection = None;
    }

    /// Starts the cooldown after the server rejected a request because of overload.
    pub(crate) fn record_overload(&mut self, now: Instant) {
        self.cooldown_until = Some(now + OVERLOAD_COOLDOWN);
    }

    /// Stops using the server for a while, since it announced its departure or a different server
    /// responded at its address.
    pub(crate) fn record_departure(&mut self, now: Instant) {
        self.unavailable_until = Some(now + DEPARTURE_COOLDOWN);
    }

    /// Applies the load that another host reported, and its evidence if it is the one that places
    /// requests on the server.
    pub(crate) fn apply_report(&mut self, load: u32, evidence: Option<f64>, now: Instant) {
        self.reported_load = Some((load, now));
        if let Some(score) = evidence {
            self.evidence.adopt(score, now);
        }
    }

    /// Whether a request has run for longer than `limit` and was not yet counted as overdue.
    pub(crate) fn is_overdue(&self, key: u64, limit: Duration, now: Instant) -> bool {
        let running = self.running.get(&key);
        running.is_some_and(|request| {
            !request.overdue && now.saturating_duration_since(request.since) > limit
        })
    }

    /// Counts an overdue request as a failure. Returns whether the server was ejected.
    pub(crate) fn record_overdue(
        &mut self,
        key: u64,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        if let Some(running) = self.running.get_mut(&key) {
            running.overdue = true;
        }
        self.record_late(settings, may_eject, now)
    }
}
