//! The judge of one host.

use crate::{AnswerOutcome, LoadReport, ServerStanding, StandingSource};
use kws_protocol::{FleetSnapshot, HealthMessage, HostName, ServerDigest, ServerName, ServiceName};
use std::time::Duration;
use tokio::time::Instant;

/// Judges the backend servers of every service as one host sees them.
#[derive(Debug)]
pub struct HealthJudge {
    host: HostName,
}

impl HealthJudge {
    /// A judge for `host` that knows no servers yet.
    pub fn new(host: HostName) -> Self {
        Self { host }
    }

    /// Takes the servers, floors and ejection settings of a newer tree, and the list.
    pub fn adopt(&mut self, _snapshot: &FleetSnapshot, _now: Instant) {}

    /// Takes the end of one try of this host's own.
    pub fn observe(
        &mut self,
        _service: &ServiceName,
        _server: &ServerName,
        _outcome: AnswerOutcome,
        _latency: Duration,
        _now: Instant,
    ) {
    }

    /// Takes a server's own word, in an answer, that it drains.
    pub fn observe_drain(&mut self, _service: &ServiceName, _server: &ServerName, _now: Instant) {}

    /// Takes what a server's health and load endpoints said.
    pub fn observe_load(
        &mut self,
        _service: &ServiceName,
        _server: &ServerName,
        _report: LoadReport,
        _now: Instant,
    ) {
    }

    /// Takes a peer's digest; it replaces what the peer said before of drains and ejections.
    pub fn receive(&mut self, _from: &HostName, _message: &HealthMessage, _now: Instant) {}

    /// What this host saw since its last digest. Requests in flight are left at 0: the dispatcher
    /// fills them in.
    pub fn digest(&mut self, _now: Instant) -> Vec<ServerDigest> {
        Vec::new()
    }

    /// Judges anew: ejects, ends ejections, and keeps the floor. Due every 250 ms or so.
    pub fn tick(&mut self, _now: Instant) {}

    /// The host that judges.
    pub fn host(&self) -> &HostName {
        &self.host
    }
}

impl StandingSource for HealthJudge {
    fn standing(
        &self,
        _service: &ServiceName,
        _server: &ServerName,
        _now: Instant,
    ) -> ServerStanding {
        ServerStanding::FULL
    }
}
