//! The lifecycle of one server on one host: serving, ejected, probed, serving again.

use kws_protocol::{EjectionSettings, HostName};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// The weight at the start of the warm-up.
const START_WEIGHT: f64 = 0.1;

/// Good responses to this host's own probes that return a server to service.
const PROBE_RESPONSES: u32 = 3;

/// Peers whose probes must agree to settle the result for the other hosts.
const PROBE_PEERS: usize = 2;

/// The maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// The evidence that an ejection is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EjectionScope {
    /// Evidence of several hosts.
    Fleet,
    /// Reports of peers; this host has no evidence of its own.
    PeerReported,
    /// Evidence of this host only.
    Local,
}

/// The responses to probes so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeResults {
    good: u32,
    good_peers: BTreeSet<HostName>,
    bad_peers: BTreeSet<HostName>,
}

/// The phase of a server's lifecycle.
#[derive(Clone, Debug)]
pub(crate) enum ServerPhase {
    /// In service; warming up if `cold`.
    Serving { since: Instant, cold: bool },
    /// Out of service until the given time.
    Ejected {
        until: Instant,
        scope: EjectionScope,
    },
    /// Out of service, but probed.
    Probing {
        since: Instant,
        results: ProbeResults,
        /// Whether this host alone had ejected the server, so that only its own probes return it to
        /// service.
        local: bool,
    },
}

/// A server's phase, with its history of ejections.
#[derive(Clone, Debug)]
pub(crate) struct ServerLifecycle {
    pub(crate) phase: ServerPhase,
    /// The failure score at the latest ejection.
    pub(crate) failure_score: f64,
    /// Ejections that were not yet removed by [`Self::decay`].
    ejection_count: u32,
    /// When the ejection count last changed, or the server last returned to service.
    decay_since: Instant,
    /// When the server last returned to service.
    returned_at: Option<Instant>,
}

impl ServerLifecycle {
    /// A server in service since `now`.
    pub(crate) fn new(cold: bool, now: Instant) -> Self {
        Self {
            phase: ServerPhase::Serving { since: now, cold },
            failure_score: 0.0,
            ejection_count: 0,
            decay_since: now,
            returned_at: None,
        }
    }

    /// Whether the server returned to service within the last `time`.
    pub(crate) fn returned_within(&self, time: Duration, now: Instant) -> bool {
        self.returned_at
            .is_some_and(|at| now.duration_since(at) <= time)
    }

    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.phase, ServerPhase::Serving { .. })
    }

    /// Whether the server is out of service by this host's own decision, not by the reports of
    /// peers.
    pub(crate) fn is_ejected_by_host(&self) -> bool {
        match &self.phase {
            ServerPhase::Ejected { scope, .. } => *scope != EjectionScope::PeerReported,
            ServerPhase::Probing { .. } => true,
            ServerPhase::Serving { .. } => false,
        }
    }

    /// The warm-up weight, between 0 and 1; 0 while the server is out of service.
    pub(crate) fn weight(&self, slow_start: Duration, now: Instant) -> f64 {
        match &self.phase {
            ServerPhase::Serving { cold: false, .. } => 1.0,
            ServerPhase::Serving { since, cold: true } => {
                let elapsed = now.duration_since(*since).as_secs_f64();
                let progress = elapsed / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
                (START_WEIGHT + (1.0 - START_WEIGHT) * progress).min(1.0)
            }
            ServerPhase::Ejected { .. } | ServerPhase::Probing { .. } => 0.0,
        }
    }

    /// Ejects the server. Each counted ejection doubles the time, up to the configured maximum.
    pub(crate) fn eject(
        &mut self,
        scope: EjectionScope,
        failure_score: f64,
        settings: &EjectionSettings,
        now: Instant,
    ) {
        let doublings = self.ejection_count.min(MAX_DOUBLINGS);
        let time = settings.base.saturating_mul(1 << doublings);
        self.ejection_count += 1;
        self.decay_since = now;
        self.failure_score = failure_score;
        self.phase = ServerPhase::Ejected {
            until: now + time.min(settings.max),
            scope,
        };
    }

    /// Ejects the server until `until` on the reports of peers.
    pub(crate) fn eject_by_peers(&mut self, until: Instant) {
        self.phase = ServerPhase::Ejected {
            until,
            scope: EjectionScope::PeerReported,
        };
        self.failure_score = 1.0;
    }

    /// Starts to probe the server; `local` if too few peers report it as ejected too.
    pub(crate) fn start_probing(&mut self, local: bool, now: Instant) {
        self.phase = ServerPhase::Probing {
            since: now,
            results: ProbeResults::default(),
            local,
        };
    }

    /// Returns the server to service: cold after an ejection that ended, at full weight for the
    /// floor.
    pub(crate) fn return_to_service(&mut self, cold: bool, now: Instant) {
        self.phase = ServerPhase::Serving { since: now, cold };
        self.decay_since = now;
        self.returned_at = Some(now);
    }

    /// Lowers the ejection count by one after each `max` in service without an ejection.
    pub(crate) fn decay(&mut self, max: Duration, now: Instant) {
        if self.ejection_count > 0
            && self.is_serving()
            && now.duration_since(self.decay_since) >= max
        {
            self.ejection_count -= 1;
            self.decay_since = now;
        }
    }

    /// The evidence that an ejection after a failed probe is based on.
    pub(crate) fn probe_scope(&self) -> EjectionScope {
        match self.phase {
            ServerPhase::Probing { local: true, .. } => EjectionScope::Local,
            _ => EjectionScope::Fleet,
        }
    }

    /// Records a response to this host's own probe; returns whether the probe failed.
    pub(crate) fn record_own_probe(&mut self, bad: bool, now: Instant) -> bool {
        let ServerPhase::Probing { results, .. } = &mut self.phase else {
            return false;
        };
        if bad {
            return true;
        }
        results.good += 1;
        if results.good >= PROBE_RESPONSES {
            self.return_to_service(true, now);
        }
        false
    }

    /// Records a peer's probe; returns whether enough peers agree that the probes failed.
    pub(crate) fn record_peer_probe(&mut self, from: &HostName, bad: bool, now: Instant) -> bool {
        let ServerPhase::Probing { results, local, .. } = &mut self.phase else {
            return false;
        };
        let local_only = *local;
        let peers = if bad {
            &mut results.bad_peers
        } else {
            &mut results.good_peers
        };
        peers.insert(from.clone());
        if results.bad_peers.len() >= PROBE_PEERS {
            return true;
        }
        if results.good_peers.len() >= PROBE_PEERS && !local_only {
            self.return_to_service(true, now);
        }
        false
    }
}
