//! One service at one host: its queue, and the room at its servers.

use crate::{
    DispatchRequest,
    choice::{ServerOption, choose_server},
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

/// The time in service assumed before any was measured.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(50);

/// The weight of the newest time in service in the average, between 0 and 1.
const TIME_GAIN: f64 = 0.1;

/// The part of its remaining time that a request may spend waiting before it may spill.
const LOCAL_PATIENCE: f64 = 0.5;

/// The part of the usual time in service that must be left after the wait, so that an early refusal
/// doesn't turn away what a quick answer could still serve.
const LEAST_SERVICE: f64 = 0.5;

/// The longest time before its deadline at which a request is given up.
const LONGEST_MARGIN: Duration = Duration::from_millis(100);

/// Where a request may go.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerPick {
    pub(crate) server: ServerName,
    pub(crate) trial: bool,
    pub(crate) spill: bool,
}

/// One server and the room this host has there.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub(crate) settings: ServerSettings,
    pub(crate) limit: ConcurrencyLimit,
    /// The connections this host may hold; 0 outside its subset.
    pub(crate) connections: u32,
}

/// What a choice depends on besides the service itself.
pub(crate) struct ChoiceContext<'a> {
    pub(crate) standing: &'a dyn AvailabilitySource,
    pub(crate) region: &'a RegionName,
    /// Whether the spill budget has anything left.
    pub(crate) spill: bool,
    pub(crate) now: Instant,
}

/// The queue and the servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceDispatch {
    name: ServiceName,
    pub(crate) queue: FairQueue,
    pub(crate) queue_limit: usize,
    pub(crate) servers: BTreeMap<ServerName, ServerEntry>,
    service_time: Duration,
}

impl ServiceDispatch {
    /// A service without servers.
    pub(crate) fn new(name: &ServiceName) -> Self {
        Self {
            name: name.clone(),
            queue: FairQueue::default(),
            queue_limit: 0,
            servers: BTreeMap::new(),
            service_time: FIRST_SERVICE_TIME,
        }
    }

    /// Takes newer settings and this host's connections.
    pub(crate) fn adopt(&mut self, settings: &ServiceSettings, shares: &BTreeMap<ServerName, u32>) {
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

    /// Takes a time in service.
    pub(crate) fn learn_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - TIME_GAIN) + time.mul_f64(TIME_GAIN);
    }

    /// Forgets peers' loads that are too old.
    pub(crate) fn prune(&mut self, now: Instant) {
        for entry in self.servers.values_mut() {
            entry.limit.prune(now);
        }
    }

    /// Removes the requests that could no longer be served in time.
    pub(crate) fn drop_lost(&mut self, now: Instant) -> Vec<DispatchRequest> {
        let least = self.service_time.mul_f64(LEAST_SERVICE).min(LONGEST_MARGIN);
        self.queue
            .drop_if(|request| request.deadline <= now + least)
    }

    /// Removes the requests that no server could take as things stand.
    pub(crate) fn drop_stranded(&mut self, context: &ChoiceContext<'_>) -> Vec<DispatchRequest> {
        let serves = self
            .standings(context)
            .any(|(_, _, one)| one.unavailable.is_none());
        if serves {
            return Vec::new();
        }
        let trial = self.standings(context).any(|(_, _, one)| one.probe_only);
        self.queue.drop_if(|request| !(trial && request.repeatable))
    }

    /// Whether the newest request of `team` will still wait when its deadline comes.
    pub(crate) fn too_late(&self, request: &DispatchRequest, now: Instant) -> bool {
        let needed = self.wait(&request.team) + self.service_time.mul_f64(LEAST_SERVICE);
        now + needed > request.deadline
    }

    /// How long the last request of `team` waits at the present pace.
    fn wait(&self, team: &TeamName) -> Duration {
        let running: u32 = self
            .servers
            .values()
            .map(|entry| entry.limit.in_flight)
            .sum();
        let turns = self.queue.turns_to_last(team) / f64::from(running.max(1));
        self.service_time.mul_f64(turns)
    }

    /// Takes the next request with a place to go.
    pub(crate) fn next(
        &mut self,
        context: &ChoiceContext<'_>,
        rng: &mut SmallRng,
    ) -> Option<(DispatchRequest, ServerPick)> {
        let mut queue = std::mem::take(&mut self.queue);
        let waits: BTreeMap<TeamName, Duration> = queue
            .team_names()
            .map(|team| {
                let turns = queue.turns_to_last(team);
                (team.clone(), self.service_time.mul_f64(turns))
            })
            .collect();
        let next = queue.next(|request| {
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
        if let Some(server) = self.trial_server(request, context) {
            let spill = self.servers[&server].settings.region != *context.region;
            return Some(ServerPick {
                server,
                trial: true,
                spill,
            });
        }
        let local = self.options(request, context, true);
        if let Some(server) = choose_server(&local, rng) {
            return Some(ServerPick {
                server,
                trial: false,
                spill: false,
            });
        }
        if !context.spill || !self.local_short(request, wait, context) {
            return None;
        }
        let remote = self.options(request, context, false);
        choose_server(&remote, rng).map(|server| ServerPick {
            server,
            trial: false,
            spill: true,
        })
    }

    /// An ejected server that this request can try.
    fn trial_server(
        &self,
        request: &DispatchRequest,
        context: &ChoiceContext<'_>,
    ) -> Option<ServerName> {
        if !request.repeatable || !request.excluded.is_empty() {
            return None;
        }
        self.standings(context)
            .find(|(_, entry, standing)| {
                let local = &entry.settings.region == context.region;
                standing.probe_only && entry.limit.in_flight == 0 && (local || context.spill)
            })
            .map(|(name, ..)| name.clone())
    }

    /// The servers of a region to avoid; none when nothing else serves there.
    fn exclusions<'r>(
        &self,
        request: &'r DispatchRequest,
        context: &ChoiceContext<'_>,
        local: bool,
    ) -> BTreeSet<&'r ServerName> {
        let excluded: BTreeSet<&ServerName> = request.excluded.iter().collect();
        let others = self.standings(context).any(|(name, entry, standing)| {
            let near = &entry.settings.region == context.region;
            near == local && standing.unavailable.is_none() && !excluded.contains(name)
        });
        if others { excluded } else { BTreeSet::new() }
    }

    fn options(
        &self,
        request: &DispatchRequest,
        context: &ChoiceContext<'_>,
        local: bool,
    ) -> Vec<ServerOption> {
        let excluded = self.exclusions(request, context, local);
        self.standings(context)
            .filter(|(name, entry, standing)| {
                let near = &entry.settings.region == context.region;
                near == local && standing.unavailable.is_none() && !excluded.contains(name)
            })
            .filter_map(|(name, entry, standing)| {
                let usable = f64::from(entry.settings.slots) * standing.weight;
                let query = LimitQuery {
                    usable,
                    service_time: self.service_time,
                    now: context.now,
                };
                entry.limit.admits(&query).then(|| ServerOption {
                    server: name.clone(),
                    usable,
                    load: entry.limit.total() + standing.penalty,
                })
            })
            .collect()
    }

    /// Whether waiting for the host's own region would cost the request its deadline.
    fn local_short(
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
        let serves = self.standings(context).any(|(_, entry, standing)| {
            standing.unavailable.is_none() && &entry.settings.region == context.region
        });
        let left = request.deadline.saturating_duration_since(context.now);
        let needed = wait.div_f64(f64::from(running.max(1))) + self.service_time;
        !serves || needed > left.mul_f64(LOCAL_PATIENCE)
    }

    /// The servers of this host's subset, with their standing.
    fn standings<'a>(
        &'a self,
        context: &'a ChoiceContext<'_>,
    ) -> impl Iterator<Item = (&'a ServerName, &'a ServerEntry, ServerAvailability)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.connections > 0)
            .map(|(name, entry)| {
                let standing = context.standing.availability(&self.name, name, context.now);
                (name, entry, standing)
            })
    }
}
