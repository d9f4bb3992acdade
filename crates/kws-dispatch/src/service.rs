//! State of one service on one host: its queue and its servers.

use crate::{
    DispatchRequest,
    choice::{ServerCandidate, choose_server},
    concurrency::{ConcurrencyLimit, LimitQuery},
    queue::FairQueue,
};
use kws_health::{AvailabilitySource, ServerAvailability};
use kws_protocol::{
    RegionName, ServerName, ServerSettings, ServiceName, ServiceSettings, TeamName,
};
use rand::rngs::SmallRng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Service time assumed until the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Smoothing factor of the moving average of the service time, between 0 and 1.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Share of its remaining time that a request may spend waiting for a server of its own region.
/// Above it, the request may spill.
const MAX_LOCAL_WAIT_SHARE: f64 = 0.5;

/// Time that must be left after the wait, in average service times. It is below 1, so that requests
/// that a fast response could still serve are not refused early.
const MIN_SERVICE_TIMES_AFTER_WAIT: f64 = 0.5;

/// A queued request is not given up earlier than this before its deadline.
const MAX_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// The server selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerPick {
    pub(crate) server: ServerName,
    pub(crate) probe: bool,
    pub(crate) spill: bool,
}

/// One server and this host's concurrency limit on it.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub(crate) settings: ServerSettings,
    pub(crate) limit: ConcurrencyLimit,
    /// Connections that this host may hold to it; 0 if it is outside the subset of this host.
    pub(crate) connections: u32,
}

/// Inputs to the selection of a server, besides the state of the service.
pub(crate) struct ChoiceContext<'a> {
    pub(crate) availability: &'a dyn AvailabilitySource,
    pub(crate) region: &'a RegionName,
    /// Whether the spill budget allows a request to leave the region.
    pub(crate) spill_allowed: bool,
    pub(crate) now: Instant,
}

/// The queue and servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceDispatch {
    name: ServiceName,
    pub(crate) queue: FairQueue,
    pub(crate) queue_limit: usize,
    pub(crate) servers: BTreeMap<ServerName, ServerEntry>,
    service_time: Duration,
}

impl ServiceDispatch {
    /// Creates a service without servers.
    pub(crate) fn new(name: &ServiceName) -> Self {
        Self {
            name: name.clone(),
            queue: FairQueue::default(),
            queue_limit: 0,
            servers: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
        }
    }

    /// Applies newer settings and this host's shares of the connections.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &ServiceSettings,
        shares: &BTreeMap<ServerName, u32>,
    ) {
        self.queue_limit = settings.queue as usize;
        self.servers
            .retain(|name, _| settings.servers.contains_key(name));
        for (name, server) in &settings.servers {
            let entry = self
                .servers
                .entry(name.clone())
                .or_insert_with(|| ServerEntry {
                    settings: server.clone(),
                    limit: ConcurrencyLimit::new(server.slots),
                    connections: 0,
                });
            entry.settings = server.clone();
            entry.connections = shares.get(name).copied().unwrap_or(0);
        }
    }

    /// Adds a service time to the moving average.
    pub(crate) fn record_service_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - SERVICE_TIME_SMOOTHING)
            + time.mul_f64(SERVICE_TIME_SMOOTHING);
    }

    /// Removes the loads of peers that are too old.
    pub(crate) fn remove_stale_loads(&mut self, now: Instant) {
        for entry in self.servers.values_mut() {
            entry.limit.remove_stale_peers(now);
        }
    }

    /// Removes the requests that can no longer be served before their deadline.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<DispatchRequest> {
        let margin = self
            .service_time
            .mul_f64(MIN_SERVICE_TIMES_AFTER_WAIT)
            .min(MAX_EXPIRY_MARGIN);
        self.queue
            .remove_if(|request| request.deadline <= now + margin)
    }

    /// Removes the requests that no server can take at present.
    pub(crate) fn remove_unservable(
        &mut self,
        context: &ChoiceContext<'_>,
    ) -> Vec<DispatchRequest> {
        let available = self
            .subset_servers(context)
            .any(|(_, _, availability)| availability.unavailable.is_none());
        if available {
            return Vec::new();
        }
        let can_probe = self
            .subset_servers(context)
            .any(|(_, _, availability)| availability.probe_only);
        self.queue
            .remove_if(|request| !(can_probe && request.repeatable))
    }

    /// Whether the request, as the last of its team, would wait too long to meet its deadline.
    pub(crate) fn misses_deadline(&self, request: &DispatchRequest, now: Instant) -> bool {
        let needed = self.estimated_wait(&request.team)
            + self.service_time.mul_f64(MIN_SERVICE_TIMES_AFTER_WAIT);
        now + needed > request.deadline
    }

    /// Estimated wait of the last request of `team`, at the present number of requests in flight.
    fn estimated_wait(&self, team: &TeamName) -> Duration {
        let running: u32 = self
            .servers
            .values()
            .map(|entry| entry.limit.in_flight)
            .sum();
        let service_times = self.queue.last_position(team) / f64::from(running.max(1));
        self.service_time.mul_f64(service_times)
    }

    /// Removes the next request for which a server has capacity.
    pub(crate) fn take_next(
        &mut self,
        context: &ChoiceContext<'_>,
        rng: &mut SmallRng,
    ) -> Option<(DispatchRequest, ServerPick)> {
        let mut queue = std::mem::take(&mut self.queue);
        let waits: BTreeMap<TeamName, Duration> = queue
            .team_names()
            .map(|team| {
                let position = queue.last_position(team);
                (team.clone(), self.service_time.mul_f64(position))
            })
            .collect();
        let next = queue.take_next(|request| {
            let wait = waits.get(&request.team).copied().unwrap_or_default();
            self.pick(request, wait, context, rng)
        });
        self.queue = queue;
        next
    }

    fn pick(
        &self,
        request: &DispatchRequest,
        wait: Duration,
        context: &ChoiceContext<'_>,
        rng: &mut SmallRng,
    ) -> Option<ServerPick> {
        if let Some(server) = self.probe_target(request, context) {
            let spill = self.servers[&server].settings.region != *context.region;
            return Some(ServerPick {
                server,
                probe: true,
                spill,
            });
        }
        let local = self.candidates(request, context, true);
        if let Some(server) = choose_server(&local, rng) {
            return Some(ServerPick {
                server,
                probe: false,
                spill: false,
            });
        }
        if !context.spill_allowed || !self.spill_needed(request, wait, context) {
            return None;
        }
        let remote = self.candidates(request, context, false);
        choose_server(&remote, rng).map(|server| ServerPick {
            server,
            probe: false,
            spill: true,
        })
    }

    /// An ejected server that this request can probe.
    fn probe_target(
        &self,
        request: &DispatchRequest,
        context: &ChoiceContext<'_>,
    ) -> Option<ServerName> {
        if !request.repeatable || !request.excluded.is_empty() {
            return None;
        }
        self.subset_servers(context)
            .find(|(_, entry, availability)| {
                let local = &entry.settings.region == context.region;
                availability.probe_only
                    && entry.limit.in_flight == 0
                    && (local || context.spill_allowed)
            })
            .map(|(name, ..)| name.clone())
    }

    /// The excluded servers of the request; empty if no other server is available in the region.
    fn excluded_servers<'r>(
        &self,
        request: &'r DispatchRequest,
        context: &ChoiceContext<'_>,
        local: bool,
    ) -> BTreeSet<&'r ServerName> {
        let excluded: BTreeSet<&ServerName> = request.excluded.iter().collect();
        let other_available = self
            .subset_servers(context)
            .any(|(name, entry, availability)| {
                let same_region = &entry.settings.region == context.region;
                same_region == local
                    && availability.unavailable.is_none()
                    && !excluded.contains(name)
            });
        if other_available {
            excluded
        } else {
            BTreeSet::new()
        }
    }

    fn candidates(
        &self,
        request: &DispatchRequest,
        context: &ChoiceContext<'_>,
        local: bool,
    ) -> Vec<ServerCandidate> {
        let excluded = self.excluded_servers(request, context, local);
        self.subset_servers(context)
            .filter(|(name, entry, availability)| {
                let same_region = &entry.settings.region == context.region;
                same_region == local
                    && availability.unavailable.is_none()
                    && !excluded.contains(name)
            })
            .filter_map(|(name, entry, availability)| {
                let usable_slots = f64::from(entry.settings.slots) * availability.weight;
                let query = LimitQuery {
                    usable_slots,
                    service_time: self.service_time,
                    now: context.now,
                };
                entry.limit.admits(&query).then(|| ServerCandidate {
                    server: name.clone(),
                    usable_slots,
                    load: entry.limit.total_in_flight() + availability.penalty,
                })
            })
            .collect()
    }

    /// Whether no server of the host's own region is available, or the wait for one would take too
    /// much of the remaining time.
    fn spill_needed(
        &self,
        request: &DispatchRequest,
        wait: Duration,
        context: &ChoiceContext<'_>,
    ) -> bool {
        let running: u32 = self
            .servers
            .values()
            .filter(|entry| &entry.settings.region == context.region)
            .map(|entry| entry.limit.in_flight)
            .sum();
        let available = self
            .subset_servers(context)
            .any(|(_, entry, availability)| {
                availability.unavailable.is_none() && &entry.settings.region == context.region
            });
        let remaining = request.deadline.saturating_duration_since(context.now);
        let needed = wait.div_f64(f64::from(running.max(1))) + self.service_time;
        !available || needed > remaining.mul_f64(MAX_LOCAL_WAIT_SHARE)
    }

    /// The servers in this host's subset, with their availability.
    fn subset_servers<'a>(
        &'a self,
        context: &'a ChoiceContext<'_>,
    ) -> impl Iterator<Item = (&'a ServerName, &'a ServerEntry, ServerAvailability)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.connections > 0)
            .map(|(name, entry)| {
                let availability = context
                    .availability
                    .availability(&self.name, name, context.now);
                (name, entry, availability)
            })
    }
}
