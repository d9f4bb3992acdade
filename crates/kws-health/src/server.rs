//! One server as one host knows it.

use crate::{
    LoadReport, ServerStanding, StandingBar,
    phase::{ServerLife, ServerPhase},
};
use kws_protocol::ServerSettings;
use std::time::Duration;
use tokio::time::Instant;

/// How long a server's word that it drains is believed.
const DRAIN_MEMORY: Duration = Duration::from_mins(10);

/// What a sick server that the floor keeps in service adds to its load, in requests.
const SUSPECT_PENALTY: f64 = 3.0;

/// What the worst load report adds to a server's load, in requests.
const LOAD_PENALTY: f64 = 1.0;

/// The time in which a load report loses half its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(1);

/// A verdict that must stand for a while before it counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowVerdict {
    /// When it was first found.
    pub(crate) since: Instant,
    /// When it was last found.
    pub(crate) last: Instant,
}

/// One server as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) settings: ServerSettings,
    pub(crate) life: ServerLife,
    pub(crate) leaving: bool,
    /// When the server last told this host that it drains.
    pub(crate) drained: Option<Instant>,
    /// When a peer last said that the server told it so.
    pub(crate) drained_by_peer: Option<Instant>,
    pub(crate) load: Option<(LoadReport, Instant)>,
    pub(crate) suspect: bool,
    /// Its verdict, when it is found slow or bad.
    pub(crate) slow: Option<SlowVerdict>,
    pub(crate) trial_host: bool,
}

impl ServerState {
    /// A server just learned of.
    pub(crate) fn new(settings: &ServerSettings, cold: bool, now: Instant) -> Self {
        Self {
            settings: settings.clone(),
            life: ServerLife::new(cold, now),
            leaving: false,
            drained: None,
            drained_by_peer: None,
            load: None,
            suspect: false,
            slow: None,
            trial_host: false,
        }
    }

    /// Whether it is believed to drain.
    pub(crate) fn draining(&self) -> bool {
        self.drained.or(self.drained_by_peer).is_some()
    }

    /// Whether it stays.
    pub(crate) fn available(&self) -> bool {
        !self.leaving && !self.draining()
    }

    /// Takes the list's word; a server that is live again starts cold.
    pub(crate) fn list(&mut self, leaving: bool, now: Instant) {
        if self.leaving && !leaving {
            self.drained = None;
            self.drained_by_peer = None;
            self.life = ServerLife::new(true, now);
        }
        self.leaving = leaving;
    }

    /// Ends a drain that is no longer believed: the server is tried before it serves.
    pub(crate) fn expire_drain(&mut self, now: Instant) {
        let old = |at: &Instant| now.duration_since(*at) > DRAIN_MEMORY;
        if !self.draining() {
            return;
        }
        self.drained = self.drained.filter(|at| !old(at));
        self.drained_by_peer = self.drained_by_peer.filter(|at| !old(at));
        if !self.draining() {
            self.life.start_trial(false, now);
        }
    }

    /// What its suspicion and its endpoints add to its load, in requests.
    fn penalty(&self, now: Instant) -> f64 {
        let suspicion = if self.suspect { SUSPECT_PENALTY } else { 0.0 };
        let Some((report, at)) = &self.load else {
            return suspicion;
        };
        let age = now.duration_since(*at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let sickness = if report.healthy { 0.0 } else { 1.0 };
        suspicion + LOAD_PENALTY * (report.load.clamp(0.0, 1.0) + sickness) * (-age).exp2()
    }

    /// How it may be used now.
    pub(crate) fn standing(&self, slow_start: Duration, now: Instant) -> ServerStanding {
        if self.leaving {
            return ServerStanding::barred(StandingBar::Leaving);
        }
        if self.draining() {
            return ServerStanding::barred(StandingBar::Draining);
        }
        match self.life.phase {
            ServerPhase::Serving { .. } => ServerStanding {
                weight: self.life.weight(slow_start, now),
                penalty: self.penalty(now),
                ..ServerStanding::FULL
            },
            ServerPhase::Trial { .. } => ServerStanding {
                trial_only: self.trial_host,
                ..ServerStanding::barred(StandingBar::Ejected)
            },
            ServerPhase::Ejected { .. } => ServerStanding::barred(StandingBar::Ejected),
        }
    }
}
