//! Schedules the requests of one host without coordination with other hosts.

use crate::{
    DispatchAction, DispatchRequest, ServerGrant, TicketId, TicketOutcome,
    service::{ChoiceContext, ServerPick, ServiceDispatch},
    spill::SpillBudget,
    subset::connection_shares,
};
use kws_health::AvailabilitySource;
use kws_protocol::{
    CenterName, FleetSnapshot, HealthMessage, HealthReport, HostName, HostState, RefusalReason,
    RegionName, ServerName, ServiceName, TeamName, rendezvous_score,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A granted request.
#[derive(Clone, Debug)]
struct GrantedTicket {
    request: DispatchRequest,
    server: ServerName,
    granted_at: Instant,
}

/// State of a tracked ticket.
#[derive(Clone, Debug)]
enum TicketState {
    Queued(ServiceName, TeamName),
    Granted(Box<GrantedTicket>),
}

/// Queues requests and selects a backend server for each.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    host: HostName,
    region: RegionName,
    center: CenterName,
    services: BTreeMap<ServiceName, ServiceDispatch>,
    tickets: BTreeMap<TicketId, TicketState>,
    spill: Option<SpillBudget>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher for `host` without servers.
    pub fn new(host: HostName, region: RegionName, center: CenterName) -> Self {
        // The seed differs between hosts, and is the same in every replay.
        let rng = SmallRng::seed_from_u64(rendezvous_score(host.as_str(), "dispatch"));
        Self {
            host,
            region,
            center,
            services: BTreeMap::new(),
            tickets: BTreeMap::new(),
            spill: None,
            rng,
        }
    }

    /// The dispatcher's host, region and data centre.
    pub fn location(&self) -> (&HostName, &RegionName, &CenterName) {
        (&self.host, &self.region, &self.center)
    }

    /// Applies the services of newer settings and the list of hosts. Requests queued for a removed
    /// service are refused.
    pub fn apply_settings(
        &mut self,
        snapshot: &FleetSnapshot,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let hosts = self.live_hosts(snapshot);
        let settings = &snapshot.settings;
        let local_hosts = hosts.values().filter(|region| **region == self.region);
        let host_count = local_hosts.count().max(1) as f64;
        let region_bits = settings
            .regions
            .get(&self.region)
            .map_or(0.0, |region| region.spill_bits_per_s as f64);
        self.spill
            .get_or_insert_with(|| SpillBudget::new(now))
            .set_rate(region_bits / host_count, now);
        for (name, service) in &settings.services {
            let shares = connection_shares(&self.host, &hosts, &service.servers);
            self.services
                .entry(name.clone())
                .or_insert_with(|| ServiceDispatch::new(name))
                .apply_settings(service, &shares);
        }
        self.remove_services(snapshot)
    }

    fn live_hosts(&self, snapshot: &FleetSnapshot) -> BTreeMap<HostName, RegionName> {
        let mut hosts: BTreeMap<HostName, RegionName> = snapshot
            .hosts
            .hosts
            .iter()
            .filter(|listed| listed.state == HostState::Live)
            .map(|listed| (listed.name.clone(), listed.region.clone()))
            .collect();
        hosts.insert(self.host.clone(), self.region.clone());
        hosts
    }

    fn remove_services(&mut self, snapshot: &FleetSnapshot) -> Vec<DispatchAction> {
        let mut removed = Vec::new();
        self.services.retain(|name, dispatch| {
            let kept = snapshot.settings.services.contains_key(name);
            if !kept {
                removed.extend(dispatch.queue.remove_if(|_| true));
            }
            kept
        });
        self.refuse_all(removed, RefusalReason::NoServer)
    }

    /// Applies a peer's reported requests in flight. Servers missing in the message have none.
    pub fn receive(&mut self, from: &HostName, message: &HealthMessage, now: Instant) {
        let HealthMessage::Reports(reports) = message;
        let counts: BTreeMap<(&ServiceName, &ServerName), u32> = reports
            .iter()
            .map(|report| ((&report.service, &report.server), report.in_flight))
            .collect();
        for (service, dispatch) in &mut self.services {
            for (server, entry) in &mut dispatch.servers {
                let count = counts.get(&(service, server)).copied().unwrap_or(0);
                entry.limit.record_peer_load(from, count, now);
            }
        }
    }

    /// Sets this host's requests in flight in the reports, and adds the servers that they lack.
    pub fn add_in_flight(&self, reports: &mut Vec<HealthReport>) {
        for (service, dispatch) in &self.services {
            for (server, entry) in &dispatch.servers {
                if entry.limit.in_flight == 0 {
                    continue;
                }
                let existing = reports
                    .iter_mut()
                    .find(|report| &report.service == service && &report.server == server);
                match existing {
                    Some(report) => report.in_flight = entry.limit.in_flight,
                    None => reports.push(in_flight_report(service, server, entry.limit.in_flight)),
                }
            }
        }
    }

    /// Queues a request, which may be granted or refused immediately.
    pub fn enqueue(
        &mut self,
        request: DispatchRequest,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let ticket = request.ticket;
        if request.deadline <= now {
            return vec![refuse(ticket, RefusalReason::DeadlineEarly)];
        }
        let Some(dispatch) = self.services.get_mut(&request.service) else {
            return vec![refuse(ticket, RefusalReason::NoServer)];
        };
        let queued = request.clone();
        let service = request.service.clone();
        let state = TicketState::Queued(service.clone(), request.team.clone());
        self.tickets.insert(ticket, state);
        let evicted = dispatch.queue.push(request, dispatch.queue_limit.max(1));
        let mut actions = self.refuse_all(evicted, RefusalReason::QueueFull);
        actions.extend(self.grant_queued(&service, availability, now));
        actions.extend(self.refuse_early(&queued, now));
        actions
    }

    /// Refuses a request that is still queued and would wait past its deadline.
    fn refuse_early(&mut self, request: &DispatchRequest, now: Instant) -> Option<DispatchAction> {
        if !matches!(
            self.tickets.get(&request.ticket),
            Some(TicketState::Queued(..))
        ) {
            return None;
        }
        let dispatch = self.services.get_mut(&request.service)?;
        if !dispatch.misses_deadline(request, now) {
            return None;
        }
        dispatch.queue.remove(&request.team, request.ticket);
        self.tickets.remove(&request.ticket);
        Some(refuse(request.ticket, RefusalReason::DeadlineEarly))
    }

    /// Ends a granted ticket and gives the freed capacity to queued requests.
    pub fn complete(
        &mut self,
        ticket: TicketId,
        outcome: TicketOutcome,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(ended) = self.remove_granted(ticket, Some(outcome), now) else {
            return Vec::new();
        };
        self.grant_queued(&ended.request.service, availability, now)
    }

    /// Removes a queued or granted ticket.
    pub fn cancel(
        &mut self,
        ticket: TicketId,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        if let Some(TicketState::Queued(service, team)) = self.tickets.get(&ticket).cloned() {
            self.tickets.remove(&ticket);
            if let Some(dispatch) = self.services.get_mut(&service) {
                dispatch.queue.remove(&team, ticket);
            }
            return Vec::new();
        }
        let Some(ended) = self.remove_granted(ticket, None, now) else {
            return Vec::new();
        };
        self.grant_queued(&ended.request.service, availability, now)
    }

    /// Ends a granted ticket's try and queues the request again, ahead of its team's other
    /// requests. The server is excluded, unless it shed the request. The caller must have consulted
    /// the retry policy.
    pub fn retry(
        &mut self,
        ticket: TicketId,
        outcome: TicketOutcome,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(ended) = self.remove_granted(ticket, Some(outcome), now) else {
            return Vec::new();
        };
        let mut request = ended.request;
        let service = request.service.clone();
        if outcome != TicketOutcome::NotRun {
            // The limit already slows down requests to a server that sheds, and it may soon have
            // free slots again.
            request.excluded.push(ended.server);
        }
        let state = TicketState::Queued(service.clone(), request.team.clone());
        match self.services.get_mut(&service) {
            Some(dispatch) if request.deadline > now => {
                self.tickets.insert(ticket, state);
                dispatch.queue.push_front(request);
            }
            Some(_) => return vec![refuse(ticket, RefusalReason::DeadlineEarly)],
            None => return vec![refuse(ticket, RefusalReason::NoServer)],
        }
        self.grant_queued(&service, availability, now)
    }

    /// Removes expired requests and grants queued ones. Call it about every 10 ms while requests
    /// are queued.
    pub fn tick(
        &mut self,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut actions = Vec::new();
        for name in names {
            if let Some(dispatch) = self.services.get_mut(&name) {
                dispatch.remove_stale_loads(now);
            }
            actions.extend(self.grant_queued(&name, availability, now));
        }
        actions
    }

    /// Number of requests queued for `service`.
    pub fn queue_length(&self, service: &ServiceName) -> usize {
        self.services
            .get(service)
            .map_or(0, |dispatch| dispatch.queue.len())
    }

    /// Number of connections that this host may hold to `server`; 0 if it is outside its subset.
    pub fn connections(&self, service: &ServiceName, server: &ServerName) -> u32 {
        self.services
            .get(service)
            .and_then(|dispatch| dispatch.servers.get(server))
            .map_or(0, |entry| entry.connections)
    }

    /// Removes a granted ticket from its server. Returns `None` if the ticket isn't granted.
    fn remove_granted(
        &mut self,
        ticket: TicketId,
        outcome: Option<TicketOutcome>,
        now: Instant,
    ) -> Option<GrantedTicket> {
        let Some(TicketState::Granted(_)) = self.tickets.get(&ticket) else {
            return None;
        };
        let Some(TicketState::Granted(ended)) = self.tickets.remove(&ticket) else {
            return None;
        };
        let dispatch = self.services.get_mut(&ended.request.service);
        if let Some(dispatch) = dispatch {
            let service_time = now.duration_since(ended.granted_at);
            record_end(dispatch, &ended.server, outcome, service_time);
        }
        Some(*ended)
    }

    /// Grants queued requests while servers have capacity, and refuses those that can no longer be
    /// served.
    fn grant_queued(
        &mut self,
        service: &ServiceName,
        availability: &dyn AvailabilitySource,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(dispatch) = self.services.get_mut(service) else {
            return Vec::new();
        };
        if dispatch.queue.len() == 0 {
            return Vec::new();
        }
        let expired = dispatch.remove_expired(now);
        let mut context = ChoiceContext {
            availability,
            region: &self.region,
            spill_allowed: false,
            now,
        };
        let unservable = dispatch.remove_unservable(&context);
        let mut granted = Vec::new();
        loop {
            context.spill_allowed = self.spill.as_mut().is_some_and(|spill| {
                spill.refill(now);
                spill.allows()
            });
            let Some((request, pick)) = dispatch.take_next(&context, &mut self.rng) else {
                break;
            };
            let Some(entry) = dispatch.servers.get_mut(&pick.server) else {
                break;
            };
            entry.limit.record_sent(now);
            if let Some(spill) = self.spill.as_mut().filter(|_| pick.spill) {
                spill.charge(request.bytes);
            }
            granted.push((request, pick, entry.settings.address));
        }
        let mut actions = self.refuse_all(expired, RefusalReason::DeadlineEarly);
        actions.extend(self.refuse_all(unservable, RefusalReason::NoServer));
        for (request, pick, address) in granted {
            actions.push(self.grant(request, pick, address, now));
        }
        actions
    }

    fn grant(
        &mut self,
        request: DispatchRequest,
        pick: ServerPick,
        address: std::net::SocketAddr,
        now: Instant,
    ) -> DispatchAction {
        let grant = ServerGrant {
            ticket: request.ticket,
            server: pick.server.clone(),
            address,
            probe: pick.probe,
            spill: pick.spill,
        };
        let granted = GrantedTicket {
            request,
            server: pick.server,
            granted_at: now,
        };
        let state = TicketState::Granted(Box::new(granted));
        self.tickets.insert(grant.ticket, state);
        DispatchAction::Grant(grant)
    }

    fn refuse_all(
        &mut self,
        requests: impl IntoIterator<Item = DispatchRequest>,
        reason: RefusalReason,
    ) -> Vec<DispatchAction> {
        requests
            .into_iter()
            .map(|request| {
                self.tickets.remove(&request.ticket);
                refuse(request.ticket, reason)
            })
            .collect()
    }
}

fn record_end(
    dispatch: &mut ServiceDispatch,
    server: &ServerName,
    outcome: Option<TicketOutcome>,
    service_time: Duration,
) {
    if outcome == Some(TicketOutcome::Responded) {
        dispatch.record_service_time(service_time);
    }
    let Some(entry) = dispatch.servers.get_mut(server) else {
        return;
    };
    entry.limit.record_end();
    match outcome {
        Some(TicketOutcome::Responded) => entry.limit.increase_window(entry.settings.slots),
        Some(TicketOutcome::NotRun) => entry.limit.decrease_window(),
        Some(TicketOutcome::NoResponse) | None => {}
    }
}

fn refuse(ticket: TicketId, reason: RefusalReason) -> DispatchAction {
    DispatchAction::Refuse { ticket, reason }
}

/// A report that contains only the requests in flight on a server.
fn in_flight_report(service: &ServiceName, server: &ServerName, in_flight: u32) -> HealthReport {
    HealthReport {
        service: service.clone(),
        server: server.clone(),
        responses: 0,
        failures: 0,
        median_latency: Duration::ZERO,
        in_flight,
        draining: false,
        ejected: false,
    }
}
