//! The health of one service on one host: its servers, and the evidence of all hosts on them.

use crate::{
    LoadReport, ResponseOutcome, ServerAvailability, UnavailableReason,
    detection::{EvidenceSpan, UnhealthyServer, is_slow, unhealthy_servers},
    evidence::{EVIDENCE_WINDOW, HostEvidence, ResponseWindow},
    floor::{FloorEntry, may_eject, servers_to_restore},
    lifecycle::{EjectionScope, ServerPhase},
    server::{DetectionSpan, ServerState},
};
use kws_protocol::{
    CenterName, FleetSnapshot, HealthReport, HostName, HostState, RegionName, ServerName,
    ServiceName, ServiceSettings, rendezvous_order,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// A peer that was not heard from for this long has no say on ejections and probes.
const MAX_PEER_AGE: Duration = Duration::from_secs(5);

/// Hosts that probe a server after an ejection, on behalf of all others.
const PROBE_HOSTS: usize = 3;

/// If the probes of a server gave no result for this long, every host may probe it.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// A server that returned to service isn't ejected on the reports of peers for this long.
const PEER_EJECTION_COOLDOWN: Duration = Duration::from_secs(10);

/// Peers that must report an ejection before this host relies on it.
const MIN_REPORTING_PEERS: usize = 2;

/// A server must be found slow for this long before it is ejected: a service that slows as a whole
/// does so unevenly, some servers a few responses before the others.
const SLOW_CONFIRMATION: Duration = Duration::from_millis(750);

/// The detection of a server ends if the server isn't found unhealthy again within this time.
const DETECTION_TTL: Duration = Duration::from_secs(1);

/// Evaluates the health of the servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceMonitor {
    own: HostName,
    settings: ServiceSettings,
    servers: BTreeMap<ServerName, ServerState>,
    hosts: BTreeMap<HostName, HostEvidence>,
    /// The responses that this host observed since its last reports.
    pending: BTreeMap<ServerName, ResponseWindow>,
}

impl ServiceMonitor {
    /// Creates the monitor of a service. All of its servers count as warm.
    pub(crate) fn new(own: &HostName, settings: &ServiceSettings, now: Instant) -> Self {
        let servers = settings
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), ServerState::new(server, false, now)))
            .collect();
        Self {
            own: own.clone(),
            settings: settings.clone(),
            servers,
            hosts: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Applies newer settings and the platform's list.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &ServiceSettings,
        snapshot: &FleetSnapshot,
        now: Instant,
    ) {
        self.settings = settings.clone();
        self.servers.retain(|name, state| {
            let kept = settings.servers.get(name);
            kept.is_some_and(|server| server.address == state.settings.address)
        });
        for (name, server) in &settings.servers {
            self.servers
                .entry(name.clone())
                .or_insert_with(|| ServerState::new(server, true, now))
                .settings = server.clone();
        }
        for (name, state) in &mut self.servers {
            let mut listed = snapshot.hosts.servers.iter();
            let leaving = |state| state == HostState::Leaving;
            state.apply_listed_state(
                listed.any(|entry| &entry.name == name && leaving(entry.state)),
                now,
            );
        }
        for (host, evidence) in &mut self.hosts {
            evidence.center = center_of(snapshot, host);
        }
        self.enforce_floor(now);
    }

    /// Records the outcome of one of this host's own tries.
    pub(crate) fn record_outcome(
        &mut self,
        server: &ServerName,
        outcome: ResponseOutcome,
        latency: Duration,
        center: Option<CenterName>,
        now: Instant,
    ) {
        if outcome == ResponseOutcome::NotRun || !self.servers.contains_key(server) {
            return;
        }
        if outcome == ResponseOutcome::TimedOut && self.ended_before_slow(server, latency) {
            return;
        }
        let failures = u32::from(outcome.is_failure());
        let timed = matches!(
            outcome,
            ResponseOutcome::Succeeded | ResponseOutcome::TimedOut
        );
        let latency = timed.then_some(latency);
        let pending = self.pending.entry(server.clone()).or_default();
        pending.add(1, failures, latency, now);
        let own = self.own.clone();
        self.add_responses(&own, center, server, (1, failures, latency), now);
    }

    /// Whether a late try ended before its latency was slow. The request had used up its time
    /// before this try, which says nothing about the server.
    fn ended_before_slow(&self, server: &ServerName, latency: Duration) -> bool {
        self.hosts.get(&self.own).is_some_and(|evidence| {
            let regions = self.regions();
            is_slow(evidence, &regions, &self.settings.ejection, server, latency) == Some(false)
        })
    }

    /// Adds the responses that a host observed; they also count as probes if the server is being
    /// probed.
    fn add_responses(
        &mut self,
        from: &HostName,
        center: Option<CenterName>,
        server: &ServerName,
        (responses, failures, latency): (u32, u32, Option<Duration>),
        now: Instant,
    ) {
        let evidence = self
            .hosts
            .entry(from.clone())
            .or_insert_with(|| HostEvidence::new(center, now));
        evidence.last_heard = now;
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        if responses == 0 || matches!(state.lifecycle.phase, ServerPhase::Ejected { .. }) {
            return;
        }
        let window = evidence.windows.entry(server.clone()).or_default();
        window.add(responses, failures, latency, now);
        if matches!(state.lifecycle.phase, ServerPhase::Probing { .. }) {
            let slow = latency.is_some_and(|latency| self.is_slow_response(from, server, latency));
            self.record_probe(from, server, failures > 0 || slow, now);
        }
    }

    fn is_slow_response(&self, host: &HostName, server: &ServerName, latency: Duration) -> bool {
        let Some(evidence) = self.hosts.get(host) else {
            return false;
        };
        let regions = self.regions();
        is_slow(evidence, &regions, &self.settings.ejection, server, latency) == Some(true)
    }

    fn record_probe(&mut self, from: &HostName, server: &ServerName, bad: bool, now: Instant) {
        let own = from == &self.own;
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        let scope = state.lifecycle.probe_scope();
        let failed = if own {
            state.lifecycle.record_own_probe(bad, now)
        } else {
            state.lifecycle.record_peer_probe(from, bad, now)
        };
        if failed {
            let failure_score = state.lifecycle.failure_score;
            self.eject(server, scope, failure_score, now);
        }
    }

    /// Records that a server announced that it is draining.
    pub(crate) fn record_drain(&mut self, server: &ServerName, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.drain_at = Some(now);
            self.enforce_floor(now);
        }
    }

    /// Records a report of a server's health and load endpoints.
    pub(crate) fn record_load(&mut self, server: &ServerName, report: LoadReport, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.load = Some((report, now));
        }
    }

    /// Records that a peer was heard from. Its new reports replace the ejections that it reported
    /// before.
    pub(crate) fn record_contact(
        &mut self,
        from: &HostName,
        center: Option<CenterName>,
        now: Instant,
    ) {
        let evidence = self
            .hosts
            .entry(from.clone())
            .or_insert_with(|| HostEvidence::new(center, now));
        evidence.last_heard = now;
        evidence.ejected.clear();
    }

    /// Applies a peer's report on one server, after [`Self::record_contact`].
    pub(crate) fn receive(&mut self, from: &HostName, report: &HealthReport, now: Instant) {
        let Some(evidence) = self.hosts.get_mut(from) else {
            return;
        };
        if report.ejected {
            evidence.ejected.insert(report.server.clone());
        }
        let latency = Some(report.median_latency).filter(|median| !median.is_zero());
        let responses = (report.responses, report.failures, latency);
        self.add_responses(from, None, &report.server, responses, now);
        let Some(state) = self.servers.get_mut(&report.server) else {
            return;
        };
        if report.draining {
            state.peer_drain_at = Some(now);
            self.enforce_floor(now);
        }
    }

    /// The reports of this host's observations since the last call. Servers without responses,
    /// drain or ejection are left out.
    pub(crate) fn take_reports(&mut self, service: &ServiceName) -> Vec<HealthReport> {
        let pending = std::mem::take(&mut self.pending);
        self.servers
            .iter()
            .filter_map(|(name, state)| {
                let summary = pending
                    .get(name)
                    .map(|window| window.summary(None))
                    .unwrap_or_default();
                let draining = state.drain_at.is_some();
                let ejected = state.lifecycle.is_ejected_by_host();
                let relevant = summary.responses > 0 || draining || ejected;
                relevant.then(|| HealthReport {
                    service: service.clone(),
                    server: name.clone(),
                    responses: summary.responses,
                    failures: summary.failures,
                    median_latency: summary.median_latency.unwrap_or_default(),
                    in_flight: 0,
                    draining,
                    ejected,
                })
            })
            .collect()
    }

    /// Evaluates all servers.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.hosts
            .retain(|_, evidence| now.duration_since(evidence.last_heard) <= EVIDENCE_WINDOW);
        for evidence in self.hosts.values_mut() {
            evidence.prune(now);
        }
        self.advance_phases(now);
        self.apply_peer_ejections(now);
        self.eject_unhealthy(now);
        self.enforce_floor(now);
        self.choose_probe_hosts(now);
    }

    fn advance_phases(&mut self, now: Instant) {
        let max = self.settings.ejection.max;
        let solo = self.ended_solo_ejections(now);
        for (name, state) in &mut self.servers {
            state.expire_drain(now);
            state.lifecycle.decay(max, now);
            match state.lifecycle.phase {
                ServerPhase::Ejected { until, scope } if until <= now => {
                    if scope == EjectionScope::PeerReported {
                        state.lifecycle.return_to_service(true, now);
                    } else {
                        state.lifecycle.start_probing(solo.contains(name), now);
                    }
                }
                _ => {}
            }
        }
    }

    /// Servers whose ejection by this host ends now and which too few peers report as ejected.
    fn ended_solo_ejections(&self, now: Instant) -> BTreeSet<ServerName> {
        let ends = |state: &ServerState| {
            matches!(
                state.lifecycle.phase,
                ServerPhase::Ejected { until, scope: EjectionScope::Local } if until <= now
            )
        };
        let ended = self.servers.iter().filter(|(_, state)| ends(state));
        ended
            .filter(|(name, _)| self.reporting_peers(name, now) < MIN_REPORTING_PEERS)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Ejects the servers that enough peers report as ejected and on which this host has no
    /// evidence.
    fn apply_peer_ejections(&mut self, now: Instant) {
        let recent = self.recent_peers(now).count();
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for name in names {
            let reports = self.reporting_peers(&name, now);
            if reports < MIN_REPORTING_PEERS || reports * 2 < recent {
                continue;
            }
            let has_evidence = self
                .hosts
                .get(&self.own)
                .and_then(|evidence| evidence.windows.get(&name))
                .is_some_and(|window| window.summary(None).responses > 0);
            let entries = self.floor_entries(now);
            let allowed = may_eject(&entries, self.settings.floor, &name);
            if let Some(state) = self.servers.get_mut(&name) {
                // Reports that peers sent before their own probes must not undo a return to
                // service.
                let returned = state.lifecycle.returned_within(PEER_EJECTION_COOLDOWN, now);
                match state.lifecycle.phase {
                    ServerPhase::Ejected {
                        scope: EjectionScope::PeerReported,
                        ..
                    } => state.lifecycle.eject_by_peers(now + MAX_PEER_AGE),
                    ServerPhase::Serving { .. } if !has_evidence && !returned && allowed => {
                        state.lifecycle.eject_by_peers(now + MAX_PEER_AGE);
                    }
                    _ => {}
                }
            }
        }
    }

    fn eject_unhealthy(&mut self, now: Instant) {
        let mut unhealthy = self.unhealthy_servers(EvidenceSpan::recent(now));
        unhealthy.extend(self.unhealthy_servers(EvidenceSpan::whole(now)));
        self.record_detections(&unhealthy, now);
        for found in unhealthy {
            let entries = self.floor_entries(now);
            let allowed = may_eject(&entries, self.settings.floor, &found.server);
            let Some(state) = self.servers.get_mut(&found.server) else {
                continue;
            };
            if !state.lifecycle.is_serving() || !state.is_available() {
                continue;
            }
            let detected_for = state
                .detection
                .map(|detection| now.duration_since(detection.since));
            if found.slow_only && detected_for.is_none_or(|time| time < SLOW_CONFIRMATION) {
                continue;
            }
            if allowed {
                self.eject(&found.server, found.scope, found.failure_score, now);
            } else {
                state.suspect = true;
            }
        }
    }

    /// Records since when servers are found unhealthy. With few responses the result alternates, so
    /// a short gap doesn't reset the time.
    fn record_detections(&mut self, unhealthy: &[UnhealthyServer], now: Instant) {
        for (name, state) in &mut self.servers {
            state.suspect = false;
            if unhealthy.iter().any(|found| &found.server == name) {
                let since = state.detection.map_or(now, |detection| detection.since);
                state.detection = Some(DetectionSpan { since, last: now });
            }
            let expired =
                |detection: DetectionSpan| now.duration_since(detection.last) > DETECTION_TTL;
            if state.detection.is_some_and(expired) {
                state.detection = None;
            }
        }
    }

    fn unhealthy_servers(&self, span: EvidenceSpan) -> Vec<UnhealthyServer> {
        let regions = self.regions();
        unhealthy_servers(
            &self.own,
            &self.hosts,
            &regions,
            &self.settings.ejection,
            span,
        )
    }

    /// Ejects a server and discards the evidence on it.
    fn eject(
        &mut self,
        server: &ServerName,
        scope: EjectionScope,
        failure_score: f64,
        now: Instant,
    ) {
        let ejection = self.settings.ejection.clone();
        if let Some(state) = self.servers.get_mut(server) {
            state.lifecycle.eject(scope, failure_score, &ejection, now);
        }
        for evidence in self.hosts.values_mut() {
            evidence.windows.remove(server);
        }
    }

    /// Returns the servers with the lowest failure scores to service while capacity is below the
    /// floor.
    fn enforce_floor(&mut self, now: Instant) {
        let entries = self.floor_entries(now);
        for server in servers_to_restore(&entries, self.settings.floor) {
            if let Some(state) = self.servers.get_mut(&server) {
                state.lifecycle.return_to_service(false, now);
            }
        }
    }

    fn floor_entries(&self, now: Instant) -> Vec<FloorEntry> {
        self.servers
            .iter()
            .map(|(name, state)| {
                let slots = f64::from(state.settings.slots);
                let weight = if state.is_available() {
                    state.lifecycle.weight(self.settings.slow_start, now)
                } else {
                    0.0
                };
                let restorable = state.is_available() && !state.lifecycle.is_serving();
                FloorEntry {
                    server: name.clone(),
                    slots,
                    capacity: slots * weight,
                    ejected_by_peers: self.reporting_peers(name, now) >= MIN_REPORTING_PEERS,
                    restorable: restorable.then_some(state.lifecycle.failure_score),
                }
            })
            .collect()
    }

    fn choose_probe_hosts(&mut self, now: Instant) {
        let mut hosts: Vec<HostName> = self
            .recent_peers(now)
            .map(|(name, _)| name.clone())
            .collect();
        hosts.push(self.own.clone());
        for (name, state) in &mut self.servers {
            let ServerPhase::Probing { since, local, .. } = &state.lifecycle.phase else {
                continue;
            };
            let within_timeout = now.duration_since(*since) < PROBE_TIMEOUT;
            let order = rendezvous_order(name.as_str(), hosts.iter().map(HostName::as_str));
            let chosen = order.iter().take(PROBE_HOSTS);
            state.may_probe = *local
                || !within_timeout
                || chosen.into_iter().any(|host| *host == self.own.as_str());
        }
    }

    /// How a server may be used at `now`.
    pub(crate) fn availability(&self, server: &ServerName, now: Instant) -> ServerAvailability {
        let Some(state) = self.servers.get(server) else {
            return ServerAvailability::unavailable(UnavailableReason::Unlisted);
        };
        state.availability(self.settings.slow_start, now)
    }

    fn regions(&self) -> BTreeMap<&ServerName, &RegionName> {
        self.servers
            .iter()
            .map(|(name, state)| (name, &state.settings.region))
            .collect()
    }

    fn recent_peers(&self, now: Instant) -> impl Iterator<Item = (&HostName, &HostEvidence)> {
        self.hosts.iter().filter(move |(name, evidence)| {
            *name != &self.own && now.duration_since(evidence.last_heard) <= MAX_PEER_AGE
        })
    }

    /// The number of peers heard from recently that report `server` as ejected.
    fn reporting_peers(&self, server: &ServerName, now: Instant) -> usize {
        self.recent_peers(now)
            .filter(|(_, peer)| peer.ejected.contains(server))
            .count()
    }
}

/// The data centre of a listed host.
pub(crate) fn center_of(snapshot: &FleetSnapshot, host: &HostName) -> Option<CenterName> {
    snapshot
        .hosts
        .host(host)
        .map(|listed| listed.center.clone())
}
