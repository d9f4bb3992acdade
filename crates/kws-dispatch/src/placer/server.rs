//! State of one backend server on the host that schedules its service.

use super::suspicion::{Ejection, Evidence, Suspicion};
use kws_protocol::{EjectionSettings, ServerSettings};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Cooldown of a server that rejected a request because of overload.
const SHED_REST: Duration = Duration::from_millis(30);

/// Cooldown after a bad answer. Without it, a server that fails immediately would always have free
/// slots and attract all requests while the others are full.
const BAD_REST: Duration = Duration::from_millis(300);

/// Consecutive bad answers double the cooldown at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// Age up to which a load that another host reported is used. Hosts report every second, and most
/// requests end sooner than this.
const TOLD_AGE: Duration = Duration::from_millis(1_500);

/// A server that announced its departure is not used for this long, unless its address changes.
const GONE_REST: Duration = Duration::from_secs(30);

/// A request that is running on the server.
#[derive(Clone, Copy, Debug)]
struct Running {
    since: Instant,
    overdue: bool,
}

/// A backend server with its requests, health and reported load.
#[derive(Clone, Debug)]
pub(crate) struct PlacedServer {
    pub(crate) settings: ServerSettings,
    running: BTreeMap<u64, Running>,
    evidence: Evidence,
    ejection: Option<Ejection>,
    rests_until: Option<Instant>,
    /// Consecutive bad answers.
    strikes: u32,
    gone_until: Option<Instant>,
    cold_since: Option<Instant>,
    /// Requests placed by other hosts as last reported, and when.
    told: Option<(u32, Instant)>,
    pub(crate) last_used: Option<Instant>,
}

impl PlacedServer {
    /// Creates the state of a new server; `cold` starts it in slow start.
    pub(crate) fn new(settings: &ServerSettings, cold: bool, now: Instant) -> Self {
        Self {
            settings: settings.clone(),
            running: BTreeMap::new(),
            evidence: Evidence::new(now),
            ejection: None,
            rests_until: None,
            strikes: 0,
            gone_until: None,
            cold_since: cold.then_some(now),
            told: None,
            last_used: None,
        }
    }

    /// Requests running on the server, including those that other hosts reported.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let told = self
            .told
            .filter(|(_, at)| now.saturating_duration_since(*at) < TOLD_AGE);
        self.running.len() as u32 + told.map_or(0, |(load, _)| load)
    }

    /// Running requests that this host placed.
    pub(crate) fn placed(&self) -> u32 {
        self.running.len() as u32
    }

    /// Current evidence of failure, as a sum of log-likelihood ratios.
    pub(crate) fn evidence(&self, now: Instant) -> f64 {
        self.evidence.sum(now)
    }

    /// Slots that may be used; only one during slow start.
    pub(crate) fn usable(&self, slow_start: Duration, now: Instant) -> u32 {
        let cold = self
            .cold_since
            .is_some_and(|since| now.saturating_duration_since(since) < slow_start);
        if cold { 1 } else { self.settings.slots }
    }

    /// Whether the server has not announced its departure.
    pub(crate) fn is_present(&self, now: Instant) -> bool {
        self.gone_until.is_none_or(|until| now >= until)
    }

    /// Whether the server is in cooldown after an overload rejection or a bad answer.
    pub(crate) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Time until the server may get its next request; `None` while it runs one, whose result
    /// decides.
    pub(crate) fn opens_in(&self, now: Instant) -> Option<Duration> {
        let rest = self.rests_until.unwrap_or(now);
        let trial = self.ejection.map_or(now, |out| out.until);
        let opens = rest.max(trial).saturating_duration_since(now);
        self.running.is_empty().then_some(opens)
    }

    /// Current health of the server.
    pub(crate) fn suspicion(&self, now: Instant) -> Suspicion {
        if self.ejection.is_some() {
            return Suspicion::Sick;
        }
        // Evidence above the threshold ejects when it is added, if the capacity floor allows it.
        // What is left without an ejection decays, so it makes the server suspect at most.
        self.evidence.verdict(now).min(Suspicion::Suspect)
    }

    /// Whether the ejection ended at least `patience` ago, so that a request may probe the server.
    pub(crate) fn wants_trial(&self, patience: Duration, now: Instant) -> bool {
        self.is_idle(now) && self.ejection.is_some_and(|out| now >= out.until + patience)
    }

    /// Like [`Self::wants_trial`], but counts every ejection as no longer than the base time. Used
    /// when the service lacks capacity.
    pub(crate) fn wants_early_trial(&self, settings: &EjectionSettings, now: Instant) -> bool {
        let passed = |out: Ejection| now + out.length >= out.until + settings.base;
        self.is_idle(now) && self.ejection.is_some_and(passed)
    }

    /// Whether the server is an idle suspect, so that a single answer shows whether it is healthy.
    pub(crate) fn wants_test(&self, now: Instant) -> bool {
        self.is_idle(now) && self.suspicion(now) == Suspicion::Suspect
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.running.is_empty() && self.is_present(now) && !self.rests(now)
    }

    /// Whether the server is ejected and its ejection has not ended.
    pub(crate) fn is_out(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|out| now < out.until)
    }

    /// Applies newer settings. A changed address means a different server, so its state is reset.
    pub(crate) fn adopt(&mut self, settings: &ServerSettings, now: Instant) {
        if self.settings.address != settings.address {
            *self = Self::new(settings, true, now);
        }
        self.settings = settings.clone();
    }

    /// Records that a request was placed on the server.
    pub(crate) fn start(&mut self, key: u64, now: Instant) {
        let running = Running {
            since: now,
            overdue: false,
        };
        self.running.insert(key, running);
        self.last_used = Some(now);
    }

    /// Records the end of a request that this host placed.
    pub(crate) fn finish(&mut self, key: u64) {
        self.running.remove(&key);
    }

    /// Records the end of a request that another host placed, by reducing the reported load.
    pub(crate) fn finish_told(&mut self) {
        if let Some((load, _)) = &mut self.told {
            *load = load.saturating_sub(1);
        }
    }

    /// Records a good answer. A good answer to a probe ends the ejection and clears the evidence.
    pub(crate) fn good(&mut self, now: Instant) {
        self.evidence.good(now);
        self.strikes = 0;
        if self.tried_ejection().is_some() {
            self.ejection = None;
            self.evidence.clear(now);
        }
    }

    /// Records a bad answer and starts a cooldown. Returns whether the server was ejected.
    pub(crate) fn bad(&mut self, settings: &EjectionSettings, room: bool, now: Instant) -> bool {
        self.evidence.bad(now);
        let rest = BAD_REST * (1 << self.strikes.min(MAX_DOUBLINGS));
        self.strikes += 1;
        self.rests_until = self.rests_until.max(Some(now + rest));
        self.judge(settings, room, now)
    }

    /// Records an answer that did not arrive in time. Returns whether the server was ejected.
    pub(crate) fn late(&mut self, settings: &EjectionSettings, room: bool, now: Instant) -> bool {
        self.evidence.overdue(now);
        self.judge(settings, room, now)
    }

    /// The current ejection if a request was placed since it began. Results of requests that were
    /// already running then say nothing about the server's present state.
    fn tried_ejection(&self) -> Option<Ejection> {
        let used = self.last_used?;
        self.ejection.filter(|out| used + out.length > out.until)
    }

    fn judge(&mut self, settings: &EjectionSettings, room: bool, now: Instant) -> bool {
        let failed_trial = self.tried_ejection();
        let sick = self.evidence.verdict(now) == Suspicion::Sick;
        let still_out = self.ejection.is_some() && failed_trial.is_none();
        if still_out || !(room && sick || failed_trial.is_some()) {
            return false;
        }
        let length = failed_trial.map_or(settings.base, |out| (out.length * 2).min(settings.max));
        self.ejection = Some(Ejection {
            until: now + length,
            length,
        });
        true
    }

    /// Ends the ejection without a probe, to keep the capacity floor.
    pub(crate) fn restore(&mut self) {
        self.ejection = None;
    }

    /// Starts the cooldown after the server rejected a request because of overload.
    pub(crate) fn shed(&mut self, now: Instant) {
        self.rests_until = Some(now + SHED_REST);
    }

    /// Stops using the server for a while, since it announced its departure or a different server
    /// answered at its address.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.gone_until = Some(now + GONE_REST);
    }

    /// Applies the load and the evidence that another host reported.
    pub(crate) fn learn(&mut self, load: u32, evidence: f64, now: Instant) {
        self.told = Some((load, now));
        self.evidence.learn(evidence, now);
    }

    /// Whether a request has run for longer than `limit` and was not yet counted as overdue.
    pub(crate) fn is_overdue(&self, key: u64, limit: Duration, now: Instant) -> bool {
        let running = self.running.get(&key);
        running.is_some_and(|one| !one.overdue && now.saturating_duration_since(one.since) > limit)
    }

    /// Counts an overdue request as a failure. Returns whether the server was ejected.
    pub(crate) fn note_overdue(
        &mut self,
        key: u64,
        settings: &EjectionSettings,
        room: bool,
        now: Instant,
    ) -> bool {
        if let Some(running) = self.running.get_mut(&key) {
            running.overdue = true;
        }
        self.late(settings, room, now)
    }
}
