//! The state of one backend server on one host.

use crate::{
    LoadReport, ServerAvailability, UnavailableReason,
    lifecycle::{ServerLifecycle, ServerPhase},
};
use kws_protocol::ServerSettings;
use std::time::Duration;
use tokio::time::Instant;

/// A server counts as draining for this long after its latest announcement.
const DRAIN_TTL: Duration = Duration::from_mins(10);

/// The penalty of an unhealthy server that the floor keeps in service, in requests.
const SUSPECT_PENALTY: f64 = 3.0;

/// The penalty of a fully loaded server, and the same again for one whose endpoint calls it
/// unhealthy, in requests.
const LOAD_PENALTY: f64 = 1.0;

/// The half-life of the penalty from a load report.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(1);

/// The time span in which a server is found unhealthy. Slowness must persist before it causes an
/// ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DetectionSpan {
    /// When the server was first found unhealthy.
    pub(crate) since: Instant,
    /// When the server was last found unhealthy.
    pub(crate) last: Instant,
}

/// The state of one server on this host.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) settings: ServerSettings,
    pub(crate) lifecycle: ServerLifecycle,
    pub(crate) leaving: bool,
    /// When the server last announced to this host that it is draining.
    pub(crate) drain_at: Option<Instant>,
    /// When a peer last reported that the server announced a drain to that peer.
    pub(crate) peer_drain_at: Option<Instant>,
    pub(crate) load: Option<(LoadReport, Instant)>,
    pub(crate) suspect: bool,
    /// Set while the server is found slow or bad; its start is kept over short gaps.
    pub(crate) detection: Option<DetectionSpan>,
    /// Whether this host may probe the server.
    pub(crate) may_probe: bool,
}

impl ServerState {
    /// The state of a newly added server.
    pub(crate) fn new(settings: &ServerSettings, cold: bool, now: Instant) -> Self {
        Self {
            settings: settings.clone(),
            lifecycle: ServerLifecycle::new(cold, now),
            leaving: false,
            drain_at: None,
            peer_drain_at: None,
            load: None,
            suspect: false,
            detection: None,
            may_probe: false,
        }
    }

    /// Whether the server announced to this host or to a peer that it is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_at.or(self.peer_drain_at).is_some()
    }

    /// Whether the server is neither leaving nor draining.
    pub(crate) fn is_available(&self) -> bool {
        !self.leaving && !self.is_draining()
    }

    /// Applies the state in the platform's list. A server that was leaving and is live again starts
    /// cold.
    pub(crate) fn apply_listed_state(&mut self, leaving: bool, now: Instant) {
        if self.leaving && !leaving {
            self.drain_at = None;
            self.peer_drain_at = None;
            self.lifecycle = ServerLifecycle::new(true, now);
        }
        self.leaving = leaving;
    }

    /// Ends a drain whose announcement has expired. The server is probed before it returns to
    /// service.
    pub(crate) fn expire_drain(&mut self, now: Instant) {
        let expired = |at: &Instant| now.duration_since(*at) > DRAIN_TTL;
        if !self.is_draining() {
            return;
        }
        self.drain_at = self.drain_at.filter(|at| !expired(at));
        self.peer_drain_at = self.peer_drain_at.filter(|at| !expired(at));
        if !self.is_draining() {
            self.lifecycle.start_probing(false, now);
        }
    }

    /// The penalty for being suspect and for the latest load report, in requests.
    fn penalty(&self, now: Instant) -> f64 {
        let suspect_penalty = if self.suspect { SUSPECT_PENALTY } else { 0.0 };
        let Some((report, at)) = &self.load else {
            return suspect_penalty;
        };
        let age = now.duration_since(*at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let unhealthy = if report.healthy { 0.0 } else { 1.0 };
        suspect_penalty + LOAD_PENALTY * (report.load.clamp(0.0, 1.0) + unhealthy) * (-age).exp2()
    }

    /// How the server may be used now.
    pub(crate) fn availability(&self, slow_start: Duration, now: Instant) -> ServerAvailability {
        if self.leaving {
            return ServerAvailability::unavailable(UnavailableReason::Leaving);
        }
        if self.is_draining() {
            return ServerAvailability::unavailable(UnavailableReason::Draining);
        }
        match self.lifecycle.phase {
            ServerPhase::Serving { .. } => ServerAvailability {
                weight: self.lifecycle.weight(slow_start, now),
                penalty: self.penalty(now),
                ..ServerAvailability::FULL
            },
            ServerPhase::Probing { .. } => ServerAvailability {
                probe_only: self.may_probe,
                ..ServerAvailability::unavailable(UnavailableReason::Ejected)
            },
            ServerPhase::Ejected { .. } => {
                ServerAvailability::unavailable(UnavailableReason::Ejected)
            }
        }
    }
}
