//! Placement thread: obtains a slot for each request. The slot is requested from the host that owns
//! the service; the own placer assigns it if this host is the owner or if the owner does not reply.

mod loads;
mod pending;
mod remote;

use crate::{
    dispatch::{DispatchEvent, GrantReply},
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
    try_log::{self, EndedTry, PlacedTry, TryLog},
};
use eyre::Result;
use kws_dispatch::{
    DispatchRequest, PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, RefusalContext,
    ServerGrant, ServerHealth, TicketId,
};
use kws_forward::{Refusal, TryClass, TryOutcome};
use kws_membership::{OwnerTable, SharedTask};
use kws_protocol::{
    FleetSettings, FleetSnapshot, HostName, PeerMessage, RegionName, ServerName, ServerStatus,
    ServiceName, SlotGrant, SlotOutcome, SlotRequest, TicketMessage,
};
use loads::LoadsSent;
use pending::{PendingSlot, PendingSlots};
use remote::RemoteTickets;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::mpsc::Receiver,
    time::{Instant, MissedTickBehavior, interval},
};

/// Interval between checks of queues and pending slot requests, while there are any.
const QUEUE_TICK: Duration = Duration::from_millis(10);
/// Interval between reports of running requests.
const RUNNING_REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Run time after which a request is reported to the host that placed it. Most requests end before.
const RUNNING_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Interval between load messages to other hosts.
const LOADS_PERIOD: Duration = Duration::from_secs(1);
/// Processor time that placement takes per slot in use, in millicores: three requests per second at
/// 0.5 ms each (`docs/CAPACITY.md`), doubled to leave the same for the host's own callers.
const SLOT_MILLICORES: u32 = 3;
/// Time for which a server is excluded after this host failed to connect to it.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(4);
/// Interval between updates of the server states shown at the admin address.
const STATUS_PERIOD: Duration = Duration::from_secs(5);

/// Starts the placement thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_placement(
    shared: Arc<DaemonShared>,
    events: Receiver<DispatchEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_async_thread("placement", move || run_placement(shared, events, peers))
}

/// A request that has a slot.
struct GrantedTicket {
    /// Host that granted the slot; `None` if this host did.
    placed_by: Option<HostName>,
    service: ServiceName,
    server: ServerName,
    since: Instant,
}

struct PlacementThread {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    placer: Placer,
    snapshot: Option<Arc<FleetSnapshot>>,
    pending: PendingSlots,
    /// Requests of this host that are queued in its own placer.
    queued: HashMap<u64, GrantReply>,
    granted: HashMap<TicketId, GrantedTicket>,
    remote: RemoteTickets,
    try_log: TryLog,
    owners: OwnerTable,
    /// Processor share that the owner of each service in each region needs, in thousandths of a
    /// processor.
    needed: HashMap<ServiceName, HashMap<RegionName, u32>>,
    /// Servers that this host could not connect to, with the end of their exclusion.
    unreachable: HashMap<ServerName, Instant>,
    /// What the last load messages held.
    loads_sent: LoadsSent,
}

async fn run_placement(
    shared: Arc<DaemonShared>,
    mut events: Receiver<DispatchEvent>,
    peers: PeerSender,
) {
    let region = shared.identity.region.clone();
    let mut thread = PlacementThread {
        shared,
        peers,
        placer: Placer::new(region, rand::random()),
        snapshot: None,
        pending: PendingSlots::default(),
        queued: HashMap::new(),
        granted: HashMap::new(),
        remote: RemoteTickets::default(),
        try_log: TryLog::default(),
        owners: OwnerTable::default(),
        needed: HashMap::new(),
        unreachable: HashMap::new(),
        loads_sent: LoadsSent::default(),
    };
    let timer = |period| {
        let mut timer = interval(period);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        timer
    };
    let mut queue_ticks = timer(QUEUE_TICK);
    let mut running_ticks = timer(RUNNING_REPORT_PERIOD);
    let mut load_ticks = timer(LOADS_PERIOD);
    let mut status_ticks = timer(STATUS_PERIOD);
    loop {
        let busy = thread.placer.queue_length() > 0 || !thread.pending.is_empty();
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => thread.handle_event(event, Instant::now()),
                None => return,
            },
            _ = queue_ticks.tick(), if busy => thread.handle_tick(Instant::now()),
            _ = running_ticks.tick(), if thread.has_tickets() => {
                thread.report_running(Instant::now());
                thread.handle_tick(Instant::now());
            }
            _ = load_ticks.tick() => thread.send_loads(Instant::now()),
            _ = status_ticks.tick() => thread.publish_status(Instant::now()),
        }
    }
}

impl PlacementThread {
    fn has_tickets(&self) -> bool {
        !self.granted.is_empty() || !self.remote.is_empty()
    }

    fn handle_event(&mut self, event: DispatchEvent, now: Instant) {
        match event {
            DispatchEvent::ApplySettings(snapshot) => self.apply_settings(&snapshot, now),
            DispatchEvent::Cancel(ticket) => self.cancel(ticket, now),
            DispatchEvent::Enqueue {
                request_id,
                request,
                reply,
            } => {
                let attempt = (&request.service, request.excluded.len() + 1);
                self.try_log.add(request.ticket.0, request_id, attempt, now);
                self.enqueue(request, reply, now);
            }
            DispatchEvent::Finish { ticket, outcome } => self.finish(ticket, outcome, now),
            DispatchEvent::Health { .. } => {}
            DispatchEvent::Ticket { from, message } => self.handle_message(&from, message, now),
        }
    }

    fn apply_settings(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) {
        let is_same = self
            .snapshot
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(&held.settings, &snapshot.settings));
        let actions = if is_same {
            Vec::new()
        } else {
            self.needed = owner_millicores(&snapshot.settings);
            self.placer.apply_settings(&snapshot.settings, now)
        };
        self.owners.set_hosts(&snapshot.hosts);
        let is_listed = |host: &HostName| snapshot.hosts.host(host).is_some();
        let removed = self.remote.remove_unlisted(is_listed);
        let unlisted = self.pending.take_unlisted(is_listed);
        self.snapshot = Some(Arc::clone(snapshot));
        self.run_actions(actions, now);
        for key in removed {
            let actions = self.placer.cancel(key, now);
            self.run_actions(actions, now);
        }
        for pending in unlisted {
            self.place(pending.request, pending.reply, now);
        }
    }

    /// Owner of `service` in this region; this host if no other is known.
    fn owner(&mut self, service: &ServiceName, now: Instant) -> HostName {
        let region = self.shared.identity.region.clone();
        let owner = self.owner_in(&region, service, now);
        owner.unwrap_or_else(|| self.shared.identity.host.clone())
    }

    /// Owner of `service` in `region`.
    fn owner_in(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        now: Instant,
    ) -> Option<HostName> {
        let task = SharedTask {
            name: service.as_str(),
            millicores: self.needed_millicores(region, service),
        };
        self.owners.owner(region, task, now)
    }

    /// Processor share that the owner of `service` in `region` needs, in thousandths of a processor.
    fn needed_millicores(&self, region: &RegionName, service: &ServiceName) -> u32 {
        let needed = self.needed.get(service);
        let needed = needed.and_then(|regions| regions.get(region));
        needed.copied().unwrap_or_default()
    }

    /// Owner of `service` in the region of `server`, if that is another region.
    fn remote_owner(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
        now: Instant,
    ) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let server = snapshot
            .settings
            .services
            .get(service)?
            .servers
            .get(server)?;
        let region = server.region.clone();
        if region == self.shared.identity.region {
            return None;
        }
        self.owner_in(&region, service, now)
    }

    fn enqueue(&mut self, request: DispatchRequest, reply: GrantReply, now: Instant) {
        self.unreachable.retain(|_, until| now < *until);
        let mut excluded = request.excluded;
        excluded.extend(self.unreachable.keys().cloned());
        let request = SlotRequest {
            ticket: request.ticket.0,
            service: request.service,
            center: self.shared.identity.center.clone(),
            team: request.team,
            weight: request.weight,
            priority: request.priority,
            remaining: request.deadline.saturating_duration_since(now),
            objective: request
                .objective
                .map(|objective| objective.saturating_duration_since(now)),
            repeatable: request.repeatable,
            expected_bytes: request.bytes,
            unserved_share: request.unserved_share,
            excluded,
            kind: request.kind,
        };
        self.place(request, reply, now);
    }

    fn place(&mut self, request: SlotRequest, reply: GrantReply, now: Instant) {
        let owner = self.owner(&request.service, now);
        if owner == self.shared.identity.host || self.shared.is_stopping() {
            return self.place_locally(request, reply, false, now);
        }
        let message = TicketMessage::RequestSlot(request.clone());
        self.peers.send(&owner, PeerMessage::Ticket(message));
        self.pending
            .add(PendingSlot::new(request, reply, owner, now));
    }

    /// Places the request with the own placer; `uncoordinated` means that the owner did not reply.
    fn place_locally(
        &mut self,
        request: SlotRequest,
        reply: GrantReply,
        uncoordinated: bool,
        now: Instant,
    ) {
        let key = request.ticket;
        if uncoordinated {
            self.try_log.record_uncoordinated(key);
        }
        self.queued.insert(key, reply);
        let request = PlaceRequest {
            uncoordinated,
            ..place_request(request, key, now)
        };
        let actions = self.placer.request_slot(request, now);
        self.run_actions(actions, now);
    }

    fn cancel(&mut self, ticket: TicketId, now: Instant) {
        self.queued.remove(&ticket.0);
        if let Some(pending) = self.pending.remove(ticket.0) {
            let message = finished_message(
                ticket,
                pending.request.service,
                None,
                SlotOutcome::Cancelled,
            );
            self.peers.send(&pending.owner, message);
            return self.try_log.log_given_up(ticket.0);
        }
        if let Some(granted) = self.granted.remove(&ticket) {
            self.finish_granted(ticket, granted, TryOutcome::CANCELLED, now);
        } else {
            self.try_log.log_given_up(ticket.0);
            let actions = self.placer.cancel(ticket.0, now);
            self.run_actions(actions, now);
        }
    }

    fn finish(&mut self, ticket: TicketId, outcome: TryOutcome, now: Instant) {
        if let Some(granted) = self.granted.remove(&ticket) {
            self.finish_granted(ticket, granted, outcome, now);
        }
    }

    /// Reports the outcome of a try to the host that placed it, to the current owner of the service
    /// and to the owner in the server's region. The owners get the outcomes of uncoordinated
    /// placements and of other regions' requests as evidence too.
    fn finish_granted(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        outcome: TryOutcome,
        now: Instant,
    ) {
        let GrantedTicket {
            placed_by,
            service,
            server,
            since,
        } = granted;
        let own = self.shared.identity.host.clone();
        let ended = EndedTry {
            server: &server,
            placed_by: placed_by.as_ref().unwrap_or(&own),
            since,
            outcome,
        };
        self.try_log.log_ended(ticket.0, &ended);
        let slot_outcome = slot_outcome(outcome.class);
        if slot_outcome == SlotOutcome::ConnectFailed {
            log::info!(server = server.as_str(); "no way to a server");
            self.unreachable
                .insert(server.clone(), now + UNREACHABLE_COOLDOWN);
        }
        if placed_by.is_none() {
            let place_outcome = PlaceOutcome {
                outcome: slot_outcome,
                latency: outcome.latency,
                draining: outcome.draining,
            };
            let report = PlaceReport {
                reporter: &own,
                server: Some(&server),
                outcome: place_outcome,
            };
            let actions = self.placer.complete(ticket.0, &service, report, now);
            self.run_actions(actions, now);
        }
        // The host that placed the request releases the slot; the owners rate the server.
        let owners = [
            Some(self.owner(&service, now)),
            self.remote_owner(&service, &server, now),
        ];
        let recipients: BTreeSet<HostName> = placed_by
            .into_iter()
            .chain(owners.into_iter().flatten())
            .collect();
        let message = TicketMessage::Finished {
            ticket: ticket.0,
            service,
            server: Some(server),
            outcome: slot_outcome,
            latency: outcome.latency,
            draining: outcome.draining,
        };
        for to in recipients.iter().filter(|to| **to != own) {
            self.peers.send(to, PeerMessage::Ticket(message.clone()));
        }
    }

    /// Reports long-running requests to the hosts that placed them, which release a slot after a
    /// time-out if its request is not reported.
    fn report_running(&mut self, now: Instant) {
        let mut reports: BTreeMap<&HostName, Vec<u64>> = BTreeMap::new();
        let mut own = Vec::new();
        for (ticket, granted) in &self.granted {
            if now.saturating_duration_since(granted.since) < RUNNING_REPORT_DELAY {
                continue;
            }
            match &granted.placed_by {
                Some(host) => reports.entry(host).or_default().push(ticket.0),
                None => own.push(ticket.0),
            }
        }
        for (host, tickets) in reports {
            let message = TicketMessage::Running { tickets };
            self.peers.send(host, PeerMessage::Ticket(message));
        }
        for key in own {
            let actions = self.placer.confirm_running(key, now);
            self.run_actions(actions, now);
        }
    }

    fn handle_running(&mut self, from: &HostName, tickets: &[u64], now: Instant) {
        for ticket in tickets {
            if let Some(key) = self.remote.confirm(from, *ticket, now) {
                let actions = self.placer.confirm_running(key, now);
                self.run_actions(actions, now);
            }
        }
    }

    fn handle_message(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.owners.record_message(from);
        match message {
            TicketMessage::RequestSlot(request) => self.handle_slot_request(from, request, now),
            TicketMessage::Queued { ticket } => self.pending.record_queued(ticket, now),
            TicketMessage::Grant { ticket, grant } => self.handle_grant(from, ticket, grant, now),
            TicketMessage::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                if let Some(pending) = self.pending.remove(ticket) {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    self.try_log.log_refused(ticket, from, refusal);
                    let _ = pending.reply.send(Err(refusal));
                }
            }
            TicketMessage::Finished {
                ticket,
                service,
                server,
                outcome,
                latency,
                draining,
            } => {
                let key = self.remote.remove_ticket(from, ticket);
                let place_outcome = PlaceOutcome {
                    outcome,
                    latency,
                    draining,
                };
                let key = key.unwrap_or(remote::UNKNOWN_KEY);
                let report = PlaceReport {
                    reporter: from,
                    server: server.as_ref(),
                    outcome: place_outcome,
                };
                let actions = self.placer.complete(key, &service, report, now);
                self.run_actions(actions, now);
            }
            TicketMessage::Running { tickets } => self.handle_running(from, &tickets, now),
            TicketMessage::Loads { service, loads } => {
                let snapshot = self.snapshot.as_ref();
                if let Some(sender) = snapshot.and_then(|one| one.hosts.host(from)) {
                    self.placer
                        .apply_loads(&service, &loads, &sender.region, now);
                }
            }
            TicketMessage::RequestToken { .. } | TicketMessage::TokenReply { .. } => {}
        }
    }

    fn handle_slot_request(&mut self, from: &HostName, request: SlotRequest, now: Instant) {
        let ticket = request.ticket;
        let (key, known) = self.remote.key_for(from, ticket, now);
        if !known {
            let actions = self
                .placer
                .request_slot(place_request(request, key, now), now);
            self.run_actions(actions, now);
        } else if let Some(grant) = self.remote.granted(key) {
            let message = TicketMessage::Grant { ticket, grant };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
        if self.placer.is_queued(key) {
            let message = TicketMessage::Queued { ticket };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
    }

    fn handle_grant(&mut self, from: &HostName, ticket: u64, grant: SlotGrant, now: Instant) {
        let id = TicketId(ticket);
        let Some(pending) = self.pending.remove(ticket) else {
            // The request was placed elsewhere or cancelled in the meantime: release the slot.
            if !self.granted.contains_key(&id) {
                let service = ServiceName::new("");
                let message = finished_message(id, service, None, SlotOutcome::Cancelled);
                self.peers.send(from, message);
            }
            return;
        };
        let granted = GrantedTicket {
            placed_by: Some(from.clone()),
            service: pending.request.service,
            server: grant.server.clone(),
            since: now,
        };
        self.deliver_grant(id, granted, grant, pending.reply, now);
    }

    fn deliver_grant(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        slot: SlotGrant,
        reply: GrantReply,
        now: Instant,
    ) {
        let grant = ServerGrant {
            ticket,
            server: slot.server,
            address: slot.address,
            probe: slot.probe,
            spill: false,
        };
        self.granted.insert(ticket, granted);
        if reply.send(Ok(grant)).is_err() {
            self.cancel(ticket, now);
        }
    }

    fn run_actions(&mut self, actions: Vec<PlaceAction>, now: Instant) {
        for action in actions {
            match action {
                PlaceAction::Grant {
                    key,
                    server,
                    address,
                    health,
                } => {
                    self.log_placed(key, &server, health);
                    let grant = SlotGrant {
                        server,
                        address,
                        probe: health != ServerHealth::Healthy,
                    };
                    self.send_grant(key, grant, now);
                }
                PlaceAction::Refuse {
                    key,
                    reason,
                    retry_after,
                    context,
                } => {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    self.send_refusal(key, refusal, &context);
                }
                PlaceAction::HealthChanged {
                    service,
                    server,
                    ejected,
                    cause,
                } => log::info!(
                    service = service.as_str(),
                    server = server.as_str(),
                    out = ejected,
                    cause = cause;
                    "server judged"
                ),
            }
        }
    }

    /// Logs grants to other hosts, and grants to this host on servers that are not healthy.
    fn log_placed(&self, key: u64, server: &ServerName, health: ServerHealth) {
        let own = &self.shared.identity.host;
        let asker = self.remote.asker(key);
        if asker.is_none() && health == ServerHealth::Healthy {
            return;
        }
        let (asker, ticket) = asker.unwrap_or((own, key));
        let placed = PlacedTry {
            server,
            health: health_state(health),
            queue_length: self.placer.queue_length(),
        };
        try_log::log_placed(asker, ticket, &placed);
    }

    fn send_grant(&mut self, key: u64, grant: SlotGrant, now: Instant) {
        if let Some((host, ticket)) = self.remote.record_grant(key, &grant, now) {
            let message = TicketMessage::Grant { ticket, grant };
            self.peers.send(&host, PeerMessage::Ticket(message));
            return;
        }
        let Some((reply, service)) = self
            .queued
            .remove(&key)
            .zip(self.placer.service_of(key).cloned())
        else {
            let actions = self.placer.cancel(key, now);
            return self.run_actions(actions, now);
        };
        let granted = GrantedTicket {
            placed_by: None,
            service,
            server: grant.server.clone(),
            since: now,
        };
        self.deliver_grant(TicketId(key), granted, grant, reply, now);
    }

    fn send_refusal(&mut self, key: u64, refusal: Refusal, context: &RefusalContext) {
        if let Some((host, ticket)) = self.remote.remove_key(key) {
            try_log::log_refused(&host, ticket, refusal, context);
            let message = TicketMessage::Refuse {
                ticket,
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            };
            self.peers.send(&host, PeerMessage::Ticket(message));
        } else if let Some(reply) = self.queued.remove(&key) {
            let own = &self.shared.identity.host;
            try_log::log_refused(own, key, refusal, context);
            self.try_log.log_refused(key, own, refusal);
            let _ = reply.send(Err(refusal));
        }
    }

    fn handle_tick(&mut self, now: Instant) {
        for pending in self.pending.take_timed_out(now) {
            log::warn!(
                ticket = pending.request.ticket,
                service = pending.request.service.as_str(),
                keeper = pending.owner.as_str(),
                waited_ms = now.saturating_duration_since(pending.first_sent).as_millis() as u64;
                "no answer on a slot, placed alone"
            );
            self.shared.metrics.record_peer_dropped("ticket_unanswered");
            self.owners.record_timeout(&pending.owner, now);
            self.place_locally(pending.request, pending.reply, true, now);
        }
        for (owner, request) in self.pending.resend_due(now) {
            let message = TicketMessage::RequestSlot(request);
            self.peers.send(&owner, PeerMessage::Ticket(message));
        }
        for key in self.remote.remove_unconfirmed(now) {
            let actions = self.placer.cancel(key, now);
            self.run_actions(actions, now);
        }
        let actions = self.placer.tick(now);
        self.run_actions(actions, now);
    }

    /// Publishes the state of each server and the queue lengths for the admin address.
    fn publish_status(&self, now: Instant) {
        let mut statuses = Vec::new();
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (service, server, health) in self.placer.server_health(now) {
            let state = health_state(health);
            for name in ["serving", "suspect", "ejected"] {
                let count = counts.entry((service.as_str(), name)).or_default();
                *count += usize::from(name == state);
            }
            statuses.push(ServerStatus {
                service: service.clone(),
                server: server.clone(),
                weight: if health == ServerHealth::Unhealthy {
                    0.0
                } else {
                    1.0
                },
                state: state.to_owned(),
            });
        }
        for ((service, state), count) in counts {
            self.shared.metrics.set_servers(service, state, count);
        }
        for (service, length) in self.placer.queue_lengths() {
            self.shared.metrics.set_queue(service.as_str(), length);
        }
        self.shared.set_servers(statuses);
    }
}

/// Processor share that the owner of each service in each region needs, in thousandths of a
/// processor: a service with many slots needs a host with many processors.
fn owner_millicores(settings: &FleetSettings) -> HashMap<ServiceName, HashMap<RegionName, u32>> {
    let services = settings.services.iter();
    let needs = services.map(|(name, service)| {
        let mut needed: HashMap<RegionName, u32> = HashMap::new();
        for server in service.servers.values() {
            *needed.entry(server.region.clone()).or_default() += server.slots * SLOT_MILLICORES;
        }
        (name.clone(), needed)
    });
    needs.collect()
}

fn place_request(request: SlotRequest, key: u64, now: Instant) -> PlaceRequest {
    PlaceRequest {
        key,
        service: request.service,
        center: request.center,
        team: request.team,
        weight: request.weight,
        priority: request.priority,
        deadline: now + request.remaining,
        objective: request.objective.map(|left| now + left),
        repeatable: request.repeatable,
        bytes: request.expected_bytes,
        unserved_share: request.unserved_share,
        excluded: request.excluded,
        kind: request.kind,
        uncoordinated: false,
    }
}

fn health_state(health: ServerHealth) -> &'static str {
    match health {
        ServerHealth::Healthy => "serving",
        ServerHealth::Suspect => "suspect",
        ServerHealth::Unhealthy => "ejected",
    }
}

fn finished_message(
    ticket: TicketId,
    service: ServiceName,
    server: Option<ServerName>,
    outcome: SlotOutcome,
) -> PeerMessage {
    PeerMessage::Ticket(TicketMessage::Finished {
        ticket: ticket.0,
        service,
        server,
        outcome,
        latency: Duration::ZERO,
        draining: false,
    })
}

fn slot_outcome(class: TryClass) -> SlotOutcome {
    match class {
        TryClass::Succeeded => SlotOutcome::Succeeded,
        TryClass::Failed => SlotOutcome::Failed,
        TryClass::TimedOut => SlotOutcome::TimedOut,
        TryClass::ConnectFailed => SlotOutcome::ConnectFailed,
        TryClass::NotRun => SlotOutcome::NotRun,
        TryClass::Misdirected => SlotOutcome::Misdirected,
        TryClass::Cancelled => SlotOutcome::Cancelled,
    }
}
