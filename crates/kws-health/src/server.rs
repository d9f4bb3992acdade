//! The state of one backend server on one host.

use crate::{
    LoadReport, ServerStanding, StandingBar,
    phase::{ServerLife, ServerPhase},
};
use kws_protocol::ServerSettings;
use std::time::Duration;
use tokio::time::Instant;

/// A server counts as draining for this long after its latest announcement.
const DRAIN_MEMORY: Duration = Duration::from_mins(10);

/// The penalty of an unhealthy server that the floor keeps in service, in requests.
const SUSPECT_PENALTY: f64 = 3.0;

/// The penalty of a fully loaded server, and the same again for one whose endpoint calls it
/// unhealthy, in requests.
const LOAD_PENALTY: f64 = 1.0;

/// The half-life of the penalty from a load report.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(1);

/// The time since when a server is found unhealthy. Slowness must persist before it causes an
/// ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowVerdict {
    /// When the server was first found unhealthy.
    pub(crate) since: Instant,
    /// When the server was last found unhealthy.
    pub(crate) last: Instant,
}

/// The state of one server on this host.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) settings: ServerSettings,
    pub(crate) life: ServerLife,
    pub(crate) leaving: bool,
    /// When the server last announced to this host that it is draining.
    pub(crate) drained: Option<Instant>,
    /// When a peer last reported that the server announced a drain to that peer.
    pub(crate) drained_by_peer: Option<Instant>,
    pub(crate) load: Option<(LoadReport, Instant)>,
    pub(crate) suspect: bool,
    /// Set while the server is found slow or bad.
    pub(crate) slow: Option<SlowVerdict>,
    /// Whether this host may probe the server.
    pub(crate) trial_host: bool,
}

impl ServerState {
    /// The state of a newly added server.
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

    /// Whether the server announced to this host or to a peer that it is draining.
    pub(crate) fn draining(&self) -> bool {
        self.drained.or(self.drained_by_peer).is_some()
    }

    /// Whether the server is neither leaving nor draining.
    pub(crate) fn available(&self) -> bool {
        !self.leaving && !self.draining()
    }

    /// Applies the state in the platform's list. A server that was leaving and is live again starts
    /// cold.
    pub(crate) fn list(&mut self, leaving: bool, now: Instant) {
        if self.leaving && !leaving {
            self.drained = None;
            self.drained_by_peer = None;
            self.life = ServerLife::new(true, now);
        }
        self.leaving = leaving;
    }

    /// Ends a drain whose announcement has expired. The server is probed before it returns to
    /// service.
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

    /// The penalty for being suspect and for the latest load report, in requests.
    fn penalty(&self, now: Instant) -> f64 {
        let suspicion = if self.suspect { SUSPECT_PENALTY } else { 0.0 };
        let Some((report, at)) = &self.load else {
            return suspicion;
        };
        let age = now.duration_since(*at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let sickness = if report.healthy { 0.0 } else { 1.0 };
        suspicion + LOAD_PENALTY * (report.load.clamp(0.0, 1.0) + sickness) * (-age).exp2()
    }

    /// How the server may be used now.
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
