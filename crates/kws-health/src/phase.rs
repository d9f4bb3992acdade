//! The life of one server at one host: serving, ejected, on trial, serving again.

use kws_protocol::{EjectionSettings, HostName};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// The weight at which a server starts to warm up.
const START_WEIGHT: f64 = 0.1;

/// Good trial answers of this host's own that bring a server back.
const TRIAL_ANSWERS: u32 = 3;

/// Peers whose trials agree that settle a trial for the others.
const TRIAL_PEERS: usize = 2;

/// Doublings of the ejection time at the most.
const MAX_DOUBLINGS: u32 = 16;

/// On whose evidence a server is out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EjectionScope {
    /// Corroborated by several hosts.
    Fleet,
    /// Peers report it; this host has no evidence of its own.
    Followed,
    /// This host's own evidence only.
    Local,
}

/// Trial answers seen so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialRecord {
    good: u32,
    good_peers: BTreeSet<HostName>,
    bad_peers: BTreeSet<HostName>,
}

/// Where a server stands.
#[derive(Clone, Debug)]
pub(crate) enum ServerPhase {
    /// In service; warming up when `cold`.
    Serving { since: Instant, cold: bool },
    /// Out until the time.
    Ejected {
        until: Instant,
        scope: EjectionScope,
    },
    /// Out, but tried.
    Trial {
        since: Instant,
        record: TrialRecord,
        /// Whether this host alone had ejected it: then only its own answers bring it back.
        local: bool,
    },
}

/// A server's phase, with its record of ejections.
#[derive(Clone, Debug)]
pub(crate) struct ServerLife {
    pub(crate) phase: ServerPhase,
    /// How sick it was when it was ejected.
    pub(crate) sickness: f64,
    strikes: u32,
    /// When the last strike was given or forgiven.
    strike_at: Instant,
    /// When it last came back into service.
    returned: Option<Instant>,
}

impl ServerLife {
    /// A server in service since `now`.
    pub(crate) fn new(cold: bool, now: Instant) -> Self {
        Self {
            phase: ServerPhase::Serving { since: now, cold },
            sickness: 0.0,
            strikes: 0,
            strike_at: now,
            returned: None,
        }
    }

    /// Whether it came back within `time`.
    pub(crate) fn returned_within(&self, time: Duration, now: Instant) -> bool {
        self.returned
            .is_some_and(|at| now.duration_since(at) <= time)
    }

    /// Whether it is in service.
    pub(crate) fn serves(&self) -> bool {
        matches!(self.phase, ServerPhase::Serving { .. })
    }

    /// Whether this host has ejected it by its own judgement, and not yet returned it.
    pub(crate) fn ejected(&self) -> bool {
        match &self.phase {
            ServerPhase::Ejected { scope, .. } => *scope != EjectionScope::Followed,
            ServerPhase::Trial { .. } => true,
            ServerPhase::Serving { .. } => false,
        }
    }

    /// Its warm-up weight between 0 and 1; 0 while it is out.
    pub(crate) fn weight(&self, slow_start: Duration, now: Instant) -> f64 {
        match &self.phase {
            ServerPhase::Serving { cold: false, .. } => 1.0,
            ServerPhase::Serving { since, cold: true } => {
                let warm = now.duration_since(*since).as_secs_f64();
                let part = warm / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
                (START_WEIGHT + (1.0 - START_WEIGHT) * part).min(1.0)
            }
            ServerPhase::Ejected { .. } | ServerPhase::Trial { .. } => 0.0,
        }
    }

    /// Ejects it; each strike doubles the time.
    pub(crate) fn eject(
        &mut self,
        scope: EjectionScope,
        sickness: f64,
        settings: &EjectionSettings,
        now: Instant,
    ) {
        let doublings = self.strikes.min(MAX_DOUBLINGS);
        let time = settings.base.saturating_mul(1 << doublings);
        self.strikes += 1;
        self.strike_at = now;
        self.sickness = sickness;
        self.phase = ServerPhase::Ejected {
            until: now + time.min(settings.max),
            scope,
        };
    }

    /// Takes it out for as long as peers say so.
    pub(crate) fn follow(&mut self, until: Instant) {
        self.phase = ServerPhase::Ejected {
            until,
            scope: EjectionScope::Followed,
        };
        self.sickness = 1.0;
    }

    /// Puts it on trial; `local` when no peers report it as ejected too.
    pub(crate) fn start_trial(&mut self, local: bool, now: Instant) {
        self.phase = ServerPhase::Trial {
            since: now,
            record: TrialRecord::default(),
            local,
        };
    }

    /// Puts it back in service, cold after a trial and at full weight for the floor.
    pub(crate) fn serve(&mut self, cold: bool, now: Instant) {
        self.phase = ServerPhase::Serving { since: now, cold };
        self.strike_at = now;
        self.returned = Some(now);
    }

    /// Forgives one strike for each `max` of service without one.
    pub(crate) fn decay(&mut self, max: Duration, now: Instant) {
        if self.strikes > 0 && self.serves() && now.duration_since(self.strike_at) >= max {
            self.strikes -= 1;
            self.strike_at = now;
        }
    }

    /// On whose evidence a failed trial ejects it again.
    pub(crate) fn trial_scope(&self) -> EjectionScope {
        match self.phase {
            ServerPhase::Trial { local: true, .. } => EjectionScope::Local,
            _ => EjectionScope::Fleet,
        }
    }

    /// Takes a trial answer of this host's own; `true` when the trial failed.
    pub(crate) fn own_trial(&mut self, bad: bool, now: Instant) -> bool {
        let ServerPhase::Trial { record, .. } = &mut self.phase else {
            return false;
        };
        if bad {
            return true;
        }
        record.good += 1;
        if record.good >= TRIAL_ANSWERS {
            self.serve(true, now);
        }
        false
    }

    /// Takes a peer's trial answers; `true` when the peers agree that the trial failed.
    pub(crate) fn peer_trial(&mut self, from: &HostName, bad: bool, now: Instant) -> bool {
        let ServerPhase::Trial { record, local, .. } = &mut self.phase else {
            return false;
        };
        let alone = *local;
        let peers = if bad {
            &mut record.bad_peers
        } else {
            &mut record.good_peers
        };
        peers.insert(from.clone());
        if record.bad_peers.len() >= TRIAL_PEERS {
            return true;
        }
        if record.good_peers.len() >= TRIAL_PEERS && !alone {
            self.serve(true, now);
        }
        false
    }
}
