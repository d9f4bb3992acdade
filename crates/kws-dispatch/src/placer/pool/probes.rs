//! Decides when suspect and ejected servers are tried again.

use super::ServicePool;
use crate::placer::{PlaceRequest, server::ProbeRules};
use kws_protocol::ServerName;
use std::time::Duration;
use tokio::time::Instant;

/// A service that had a repeatable request within this time prefers those for probes.
const REPEATABLE_WINDOW: Duration = Duration::from_secs(1);

/// Delay after the end of an ejection from which a request that may run once probes a server whose
/// capacity is needed, while repeatable requests are expected.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// The same delay for a repeatable request while the capacity is not needed. Failures typically
/// last some seconds, and each probe uses up a part of the retry budget.
const SPARE_PROBE_DELAY: Duration = Duration::from_secs(3);

/// The same delay for a request that may run once while the capacity is not needed: the probe would
/// only risk the request.
const SPARE_RISKY_DELAY: Duration = Duration::from_secs(8);

/// Time without a request after which a suspect server gets one that may run once, while more
/// servers are unused than may be.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The same time otherwise.
const SPARE_SUSPECT_INTERVAL: Duration = Duration::from_secs(10);

/// Time without a request after which a server counts as unused.
pub(super) const UNUSED_PERIOD: Duration = Duration::from_millis(1_800);

/// Share of a region's servers that may stay unused. Servers that failed may have recovered since,
/// and the capacity floor is to be in use when load or failures come all of a sudden.
const MAX_UNUSED_SHARE: f64 = 0.33;

/// The same share while many requests go unserved. Of the servers in use, many may then be out of
/// reach for other reasons.
const MAX_UNUSED_SHARE_UNSERVED: f64 = 0.15;

/// The earliest probe by rules, as long as no suspect or ejected server changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeCache {
    version: u64,
    earliest: Vec<(ProbeRules, Option<Instant>)>,
}

impl ProbeCache {
    /// Whether no probe by these rules is due at `now`.
    fn excludes(&self, rules: &ProbeRules, version: u64, now: Instant) -> bool {
        let known = self.earliest.iter().find(|(known, _)| known == rules);
        self.version == version
            && known.is_some_and(|(_, earliest)| earliest.is_none_or(|at| now < at))
    }

    fn store(&mut self, rules: ProbeRules, version: u64, earliest: Option<Instant>) {
        if self.version != version {
            self.earliest.clear();
            self.version = version;
        }
        self.earliest.retain(|(known, _)| *known != rules);
        self.earliest.push((rules, earliest));
    }
}

impl ServicePool {
    /// The server to probe: of those that are due, the one used least recently. A probe may cost
    /// the request, so repeatable requests are preferred, unless there was none for a while. If too
    /// many servers are left unused, healthy ones among them come first.
    pub(super) fn probe_server(&self, request: &PlaceRequest, now: Instant) -> Option<ServerName> {
        let leaves_unused = self.leaves_servers_unused(now);
        if leaves_unused && let Some(unused) = self.unused_server(request, now) {
            return Some(unused);
        }
        let rules = self.probe_rules(request, leaves_unused, now)?;
        self.due_server(rules, &request.excluded, now)
    }

    fn probe_rules(
        &self,
        request: &PlaceRequest,
        leaves_unused: bool,
        now: Instant,
    ) -> Option<ProbeRules> {
        let ejection = &self.settings.as_ref()?.ejection;
        let suspect_interval = match (request.repeatable, leaves_unused) {
            (true, _) => Duration::ZERO,
            (false, true) => SUSPECT_PROBE_INTERVAL,
            (false, false) => SPARE_SUSPECT_INTERVAL,
        };
        Some(ProbeRules {
            delay: Some(self.probe_delay(request, leaves_unused, now)),
            early_base: leaves_unused.then_some(ejection.base),
            suspect_interval,
        })
    }

    /// The server that a probe by these rules is due at.
    fn due_server(
        &self,
        rules: ProbeRules,
        excluded: &[ServerName],
        now: Instant,
    ) -> Option<ServerName> {
        let version = self.servers.avoided_version();
        let mut cache = self.probe_cache.borrow_mut();
        if cache.excludes(&rules, version, now) {
            return None;
        }
        let mut earliest: Option<Instant> = None;
        for (name, server) in self.servers.avoided() {
            let due = server.probe_due(&rules, self.servers.slow_start(), now);
            if due.is_some_and(|at| at <= now) && !excluded.contains(name) {
                return Some(name.clone());
            }
            earliest = [earliest, due].into_iter().flatten().min();
        }
        cache.store(rules, version, earliest);
        None
    }

    /// A suspect server, if its capacity is needed.
    pub(super) fn suspect_server(
        &self,
        request: &PlaceRequest,
        now: Instant,
    ) -> Option<ServerName> {
        let needed = self.servers.healthy_slots() == 0 || self.is_contended(now);
        let rules = ProbeRules {
            delay: None,
            early_base: None,
            suspect_interval: Duration::ZERO,
        };
        needed
            .then(|| self.due_server(rules, &request.excluded, now))
            .flatten()
    }

    /// Whether more servers got no request lately than the capacity floor allows, although there are
    /// enough requests for all. Then ejected and suspect ones are probed until fewer are left.
    fn leaves_servers_unused(&self, now: Instant) -> bool {
        let local = self.servers.local_count();
        if !self.demand.can_use_all(local, now) {
            return false;
        }
        let max_share = if self.demand.is_unserved(now) {
            MAX_UNUSED_SHARE_UNSERVED
        } else {
            MAX_UNUSED_SHARE
        };
        self.servers.unused_count() as f64 > max_share * local as f64
    }

    /// How long after the end of an ejection a probe waits for a more suitable request.
    fn probe_delay(&self, request: &PlaceRequest, leaves_unused: bool, now: Instant) -> Duration {
        if leaves_unused {
            return Duration::ZERO;
        }
        let expects_repeatable = self
            .last_repeatable
            .is_some_and(|at| now.saturating_duration_since(at) < REPEATABLE_WINDOW);
        match (self.is_contended(now), request.repeatable) {
            (true, false) if expects_repeatable => PROBE_DELAY,
            (true, _) => Duration::ZERO,
            (false, true) => SPARE_PROBE_DELAY,
            (false, false) => SPARE_RISKY_DELAY,
        }
    }

    /// Whether any request may find a server now: one with a free slot, or one that is due for a
    /// probe by the most suitable request.
    pub(super) fn may_place_any(&self, now: Instant) -> bool {
        if self.servers.has_free_slot() {
            return true;
        }
        let ejection = self.settings.as_ref().map(|settings| &settings.ejection);
        let rules = ProbeRules {
            delay: Some(Duration::ZERO),
            early_base: ejection
                .filter(|_| self.leaves_servers_unused(now))
                .map(|ejection| ejection.base),
            suspect_interval: Duration::ZERO,
        };
        self.due_server(rules, &[], now).is_some()
    }
}
