//! Placement thread: obtains a slot for each request. The slot is requested from the host that owns
//! the service; the own placer assigns it if this host is the owner or if the owner does not reply.

mod asked;
mod foreign;

use crate::{
    dispatch::{DispatchEvent, GrantReply},
    doubt::DoubtList,
    duty::start_duty,
    shared::{DaemonShared, PeerSender},
    try_lines::{self, EndedTry, PlacedTry, TryNames},
};
use asked::{AskedTickets, OwnAsk};
use eyre::Result;
use foreign::ForeignTickets;
use kws_dispatch::{
    DispatchRequest, PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, RefusalContext,
    ServerGrant, ServerHealth, TicketId,
};
use kws_forward::{Refusal, TryClass, TryOutcome};
use kws_protocol::{
    FleetSnapshot, HostName, PeerMessage, RegionName, ServerName, ServerStatus, ServiceName,
    SlotOutcome, SlotRequest, TicketMessage,
};
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
const JUDGE_PERIOD: Duration = Duration::from_millis(300);
/// Run time after which a request is reported to the host that placed it. Most requests end before.
const TELL_RUNNING_AFTER: Duration = Duration::from_millis(500);
/// Interval between load messages to other hosts.
const LOADS_PERIOD: Duration = Duration::from_secs(1);
/// Processor time that placement takes per slot in use, in millicores: three requests per second at
/// 0.5 ms each (`docs/CAPACITY.md`), doubled to leave the same for the host's own callers.
const SLOT_MILLICORES: u32 = 3;
/// Time for which a server is excluded after this host failed to connect to it.
const CUT_PATH_TIME: Duration = Duration::from_secs(4);
/// Interval between updates of the server states shown at the admin address.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Starts the placement thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_placement(
    shared: Arc<DaemonShared>,
    events: Receiver<DispatchEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_duty("placement", move || run_placement(shared, events, peers))
}

/// A request that has a slot.
struct GrantedTicket {
    /// Host that granted the slot; `None` if this host did.
    keeper: Option<HostName>,
    service: ServiceName,
    server: ServerName,
    since: Instant,
}

struct PlacementDuty {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    placer: Placer,
    snapshot: Option<Arc<FleetSnapshot>>,
    asked: AskedTickets,
    /// Requests of this host that are queued in its own placer.
    waiting: HashMap<u64, GrantReply>,
    granted: HashMap<TicketId, GrantedTicket>,
    foreign: ForeignTickets,
    names: TryNames,
    doubts: DoubtList,
    /// Servers that this host could not connect to, with the end of their exclusion.
    cut_paths: HashMap<ServerName, Instant>,
    /// Services with loads in the last load message.
    told: BTreeSet<ServiceName>,
}

async fn run_placement(
    shared: Arc<DaemonShared>,
    mut events: Receiver<DispatchEvent>,
    peers: PeerSender,
) {
    let region = shared.identity.region.clone();
    let mut duty = PlacementDuty {
        shared,
        peers,
        placer: Placer::new(region, rand::random()),
        snapshot: None,
        asked: AskedTickets::default(),
        waiting: HashMap::new(),
        granted: HashMap::new(),
        foreign: ForeignTickets::default(),
        names: TryNames::default(),
        doubts: DoubtList::default(),
        cut_paths: HashMap::new(),
        told: BTreeSet::new(),
    };
    let timer = |period| {
        let mut timer = interval(period);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        timer
    };
    let mut queues = timer(QUEUE_TICK);
    let mut judgements = timer(JUDGE_PERIOD);
    let mut loads = timer(LOADS_PERIOD);
    let mut reports = timer(REPORT_PERIOD);
    loop {
        let busy = duty.placer.queue_length() > 0 || !duty.asked.is_empty();
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => duty.take_event(event, Instant::now()),
                None => return,
            },
            _ = queues.tick(), if busy => duty.pass_time(Instant::now()),
            _ = judgements.tick(), if duty.has_work() => {
                duty.tell_running(Instant::now());
                duty.pass_time(Instant::now());
            }
            _ = loads.tick() => duty.tell_loads(Instant::now()),
            _ = reports.tick() => duty.report(Instant::now()),
        }
    }
}

impl PlacementDuty {
    fn has_work(&self) -> bool {
        !self.granted.is_empty() || !self.foreign.is_empty()
    }

    fn take_event(&mut self, event: DispatchEvent, now: Instant) {
        match event {
            DispatchEvent::Adopt(snapshot) => self.adopt(&snapshot, now),
            DispatchEvent::Cancel(ticket) => self.cancel(ticket, now),
            DispatchEvent::Enqueue {
                request_id,
                request,
                reply,
            } => {
                let tried = (&request.service, request.excluded.len() + 1);
                self.names.add(request.ticket.0, request_id, tried, now);
                self.enqueue(request, reply, now);
            }
            DispatchEvent::Finish { ticket, outcome } => self.finish(ticket, outcome, now),
            DispatchEvent::Peer { .. } => {}
            DispatchEvent::Ticket { from, message } => self.hear(&from, message, now),
        }
    }

    fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) {
        let actions = self.placer.apply_settings(&snapshot.settings, now);
        let known = |host: &HostName| snapshot.hosts.host(host).is_some();
        let gone = self.foreign.drop_hosts(known);
        let lost = self.asked.take_lost(known);
        self.snapshot = Some(Arc::clone(snapshot));
        self.carry_out(actions, now);
        for key in gone {
            let actions = self.placer.cancel(key, now);
            self.carry_out(actions, now);
        }
        for ask in lost {
            self.place(ask.request, ask.reply, now);
        }
    }

    /// Owner of `service` in this region; this host if no other is known.
    fn keeper(&self, service: &ServiceName, now: Instant) -> HostName {
        let identity = &self.shared.identity;
        let first = self.keeper_in(&identity.region, service, now);
        first.unwrap_or_else(|| identity.host.clone())
    }

    /// Owner of `service` in `region`. A service with many slots there needs a host with many
    /// processors.
    fn keeper_in(
        &self,
        region: &RegionName,
        service: &ServiceName,
        now: Instant,
    ) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let settings = snapshot.settings.services.get(service);
        let servers = settings.into_iter().flat_map(|one| one.servers.values());
        let near = servers.filter(|server| server.region == *region);
        let needed = near.map(|server| server.slots).sum::<u32>() * SLOT_MILLICORES;
        let hosts = snapshot.hosts.in_region(region);
        self.doubts
            .first_trusted((service.as_str(), needed), hosts, now)
    }

    fn enqueue(&mut self, request: DispatchRequest, reply: GrantReply, now: Instant) {
        self.cut_paths.retain(|_, until| now < *until);
        let mut excluded = request.excluded;
        excluded.extend(self.cut_paths.keys().cloned());
        let request = SlotRequest {
            ticket: request.ticket.0,
            service: request.service,
            center: self.shared.identity.center.clone(),
            team: request.team,
            weight: request.weight,
            priority: request.priority,
            remaining: request.deadline.saturating_duration_since(now),
            repeatable: request.repeatable,
            expected_bytes: request.bytes,
            excluded,
            retry: request.repeat,
        };
        self.place(request, reply, now);
    }

    fn place(&mut self, request: SlotRequest, reply: GrantReply, now: Instant) {
        let keeper = self.keeper(&request.service, now);
        if keeper == self.shared.identity.host || self.shared.is_stopping() {
            return self.place_here(request, reply, false, now);
        }
        let message = TicketMessage::RequestSlot(request.clone());
        self.peers.send(&keeper, PeerMessage::Ticket(message));
        self.asked.add(OwnAsk::new(request, reply, keeper, now));
    }

    /// Places the request with the own placer; `alone` means that the owner did not reply.
    fn place_here(&mut self, request: SlotRequest, reply: GrantReply, alone: bool, now: Instant) {
        let key = request.ticket;
        if alone {
            self.names.note_alone(key);
        }
        self.waiting.insert(key, reply);
        let request = PlaceRequest {
            uncoordinated: alone,
            ..place_request(request, key, now)
        };
        let actions = self.placer.request_slot(request, now);
        self.carry_out(actions, now);
    }

    fn cancel(&mut self, ticket: TicketId, now: Instant) {
        self.waiting.remove(&ticket.0);
        if let Some(ask) = self.asked.remove(ticket.0) {
            let end = end_message(ticket, ask.request.service, None, SlotOutcome::Cancelled);
            self.peers.send(&ask.keeper, end);
            return self.names.given_up(ticket.0);
        }
        if let Some(granted) = self.granted.remove(&ticket) {
            self.end_granted(ticket, granted, TryOutcome::CANCELLED, now);
        } else {
            self.names.given_up(ticket.0);
            let actions = self.placer.cancel(ticket.0, now);
            self.carry_out(actions, now);
        }
    }

    fn finish(&mut self, ticket: TicketId, outcome: TryOutcome, now: Instant) {
        if let Some(granted) = self.granted.remove(&ticket) {
            self.end_granted(ticket, granted, outcome, now);
        }
    }

    /// Reports the outcome of a try to the host that placed it and to the current owner of the
    /// service. The owner gets the outcomes of uncoordinated placements as evidence too.
    fn end_granted(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        outcome: TryOutcome,
        now: Instant,
    ) {
        let GrantedTicket {
            keeper,
            service,
            server,
            since,
        } = granted;
        let own = self.shared.identity.host.clone();
        let ended = EndedTry {
            server: &server,
            keeper: keeper.as_ref().unwrap_or(&own),
            since,
            outcome,
        };
        self.names.ended(ticket.0, &ended);
        let end = slot_end(outcome.class);
        if end == SlotOutcome::ConnectFailed {
            log::info!(server = server.as_str(); "no way to a server");
            self.cut_paths.insert(server.clone(), now + CUT_PATH_TIME);
        }
        if keeper.is_none() {
            let place_end = PlaceOutcome {
                end,
                latency: outcome.latency,
                draining: outcome.draining,
            };
            let report = PlaceReport {
                reporter: &own,
                server: Some(&server),
                outcome: place_end,
            };
            let ended = self.placer.complete(ticket.0, &service, report, now);
            self.carry_out(ended, now);
        }
        // The host that placed the request releases the slot; the current owner rates the server.
        let judge = self.keeper(&service, now);
        let told: BTreeSet<HostName> = keeper.into_iter().chain([judge]).collect();
        let message = TicketMessage::Finished {
            ticket: ticket.0,
            service,
            server: Some(server),
            outcome: end,
            latency: outcome.latency,
            draining: outcome.draining,
        };
        for to in told.iter().filter(|to| **to != own) {
            self.peers.send(to, PeerMessage::Ticket(message.clone()));
        }
    }

    /// Reports long-running requests to the hosts that placed them, which release a slot after a
    /// time-out if its request is not reported.
    fn tell_running(&mut self, now: Instant) {
        let mut told: BTreeMap<&HostName, Vec<u64>> = BTreeMap::new();
        let mut own = Vec::new();
        for (ticket, granted) in &self.granted {
            if now.saturating_duration_since(granted.since) < TELL_RUNNING_AFTER {
                continue;
            }
            match &granted.keeper {
                Some(keeper) => told.entry(keeper).or_default().push(ticket.0),
                None => own.push(ticket.0),
            }
        }
        for (keeper, tickets) in told {
            let message = TicketMessage::Running { tickets };
            self.peers.send(keeper, PeerMessage::Ticket(message));
        }
        for key in own {
            let actions = self.placer.confirm_running(key, now);
            self.carry_out(actions, now);
        }
    }

    fn hear_running(&mut self, from: &HostName, tickets: &[u64], now: Instant) {
        for ticket in tickets {
            if let Some(key) = self.foreign.confirm(from, *ticket, now) {
                let actions = self.placer.confirm_running(key, now);
                self.carry_out(actions, now);
            }
        }
    }

    fn hear(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.doubts.trust(from);
        match message {
            TicketMessage::RequestSlot(request) => self.hear_ask(from, request, now),
            TicketMessage::Queued { ticket } => self.asked.note_queued(ticket, now),
            TicketMessage::Grant {
                ticket,
                server,
                address,
            } => self.hear_grant(from, ticket, (server, address), now),
            TicketMessage::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                if let Some(ask) = self.asked.remove(ticket) {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    self.names.refused(ticket, from, refusal);
                    let _ = ask.reply.send(Err(refusal));
                }
            }
            TicketMessage::Finished {
                ticket,
                service,
                server,
                outcome: end,
                latency,
                draining,
            } => {
                let key = self.foreign.remove(from, ticket);
                let place_end = PlaceOutcome {
                    end,
                    latency,
                    draining,
                };
                let key = key.unwrap_or(foreign::UNKNOWN_KEY);
                let report = PlaceReport {
                    reporter: from,
                    server: server.as_ref(),
                    outcome: place_end,
                };
                let ended = self.placer.complete(key, &service, report, now);
                self.carry_out(ended, now);
            }
            TicketMessage::Running { tickets } => self.hear_running(from, &tickets, now),
            TicketMessage::Loads { service, loads } => {
                self.placer.apply_loads(&service, &loads, now);
            }
            TicketMessage::RequestToken { .. } | TicketMessage::TokenReply { .. } => {}
        }
    }

    fn hear_ask(&mut self, from: &HostName, request: SlotRequest, now: Instant) {
        let ticket = request.ticket;
        let (key, known) = self.foreign.key(from, ticket, now);
        if !known {
            let actions = self
                .placer
                .request_slot(place_request(request, key, now), now);
            self.carry_out(actions, now);
        } else if let Some((server, address)) = self.foreign.granted(key) {
            let message = TicketMessage::Grant {
                ticket,
                server,
                address,
            };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
        if self.placer.is_queued(key) {
            let message = TicketMessage::Queued { ticket };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
    }

    fn hear_grant(
        &mut self,
        from: &HostName,
        ticket: u64,
        (server, address): (ServerName, std::net::SocketAddr),
        now: Instant,
    ) {
        let id = TicketId(ticket);
        let Some(ask) = self.asked.remove(ticket) else {
            // The request was placed elsewhere or cancelled in the meantime: release the slot.
            if !self.granted.contains_key(&id) {
                let service = ServiceName::new("");
                let end = end_message(id, service, None, SlotOutcome::Cancelled);
                self.peers.send(from, end);
            }
            return;
        };
        let granted = GrantedTicket {
            keeper: Some(from.clone()),
            service: ask.request.service,
            server: server.clone(),
            since: now,
        };
        self.hand_out(id, granted, address, ask.reply, now);
    }

    fn hand_out(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        address: std::net::SocketAddr,
        reply: GrantReply,
        now: Instant,
    ) {
        let grant = ServerGrant {
            ticket,
            server: granted.server.clone(),
            address,
            trial: false,
            spill: false,
        };
        self.granted.insert(ticket, granted);
        if reply.send(Ok(grant)).is_err() {
            self.cancel(ticket, now);
        }
    }

    fn carry_out(&mut self, actions: Vec<PlaceAction>, now: Instant) {
        for action in actions {
            match action {
                PlaceAction::Grant {
                    key,
                    server,
                    address,
                    health: suspicion,
                } => {
                    self.write_placed(key, &server, suspicion);
                    self.carry_grant(key, server, address, now);
                }
                PlaceAction::Refuse {
                    key,
                    reason,
                    retry_after,
                    context: inputs,
                } => {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    self.carry_refusal(key, refusal, &inputs);
                }
                PlaceAction::HealthChanged {
                    service,
                    server,
                    ejected: out,
                    cause,
                } => log::info!(
                    service = service.as_str(),
                    server = server.as_str(),
                    out = out,
                    cause = cause;
                    "server judged"
                ),
            }
        }
    }

    /// Tells of a grant to another host, and of one on a server in doubt.
    fn write_placed(&self, key: u64, server: &ServerName, suspicion: ServerHealth) {
        let own = &self.shared.identity.host;
        let foreign = self.foreign.owner(key);
        if foreign.is_none() && suspicion == ServerHealth::Healthy {
            return;
        }
        let (asker, ticket) = foreign.unwrap_or((own, key));
        let placed = PlacedTry {
            server,
            standing: standing_text(suspicion),
            waiting: self.placer.queue_length(),
        };
        try_lines::write_placed(asker, ticket, &placed);
    }

    fn carry_grant(
        &mut self,
        key: u64,
        server: ServerName,
        address: std::net::SocketAddr,
        now: Instant,
    ) {
        if let Some((host, ticket)) = self.foreign.grant(key, &server, address, now) {
            let message = TicketMessage::Grant {
                ticket,
                server,
                address,
            };
            self.peers.send(&host, PeerMessage::Ticket(message));
            return;
        }
        let Some((reply, service)) = self
            .waiting
            .remove(&key)
            .zip(self.placer.service_of(key).cloned())
        else {
            let actions = self.placer.cancel(key, now);
            return self.carry_out(actions, now);
        };
        let granted = GrantedTicket {
            keeper: None,
            service,
            server,
            since: now,
        };
        self.hand_out(TicketId(key), granted, address, reply, now);
    }

    fn carry_refusal(&mut self, key: u64, refusal: Refusal, inputs: &RefusalContext) {
        if let Some((host, ticket)) = self.foreign.take(key) {
            try_lines::write_refused(&host, ticket, refusal, inputs);
            let message = TicketMessage::Refuse {
                ticket,
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            };
            self.peers.send(&host, PeerMessage::Ticket(message));
        } else if let Some(reply) = self.waiting.remove(&key) {
            let own = &self.shared.identity.host;
            try_lines::write_refused(own, key, refusal, inputs);
            self.names.refused(key, own, refusal);
            let _ = reply.send(Err(refusal));
        }
    }

    fn pass_time(&mut self, now: Instant) {
        for ask in self.asked.take_unanswered(now) {
            log::warn!(
                ticket = ask.request.ticket,
                service = ask.request.service.as_str(),
                keeper = ask.keeper.as_str(),
                waited_ms = now.saturating_duration_since(ask.sent).as_millis() as u64;
                "no answer on a slot, placed alone"
            );
            self.shared.metrics.peer_dropped("ticket_unanswered");
            self.doubts.doubt(&ask.keeper, now);
            self.place_here(ask.request, ask.reply, true, now);
        }
        for (keeper, request) in self.asked.take_reminders(now) {
            let message = TicketMessage::RequestSlot(request);
            self.peers.send(&keeper, PeerMessage::Ticket(message));
        }
        for key in self.foreign.take_silent(now) {
            let actions = self.placer.cancel(key, now);
            self.carry_out(actions, now);
        }
        let actions = self.placer.tick(now);
        self.carry_out(actions, now);
    }

    /// Sends the loads of the services that this host owns to the hosts of the region and to the
    /// owner of the service in each other region.
    fn tell_loads(&mut self, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let identity = self.shared.identity.clone();
        for service in snapshot.settings.services.keys() {
            if self.keeper(service, now) != identity.host {
                continue;
            }
            let loads = self.placer.loads(service, now);
            let told = !loads.is_empty();
            if !told && !self.told.remove(service) {
                continue;
            }
            if told {
                self.told.insert(service.clone());
            }
            let message = PeerMessage::Ticket(TicketMessage::Loads {
                service: service.clone(),
                loads,
            });
            for region in snapshot.settings.regions.keys() {
                if region == &identity.region {
                    let names = snapshot.hosts.in_region(region).map(|host| &host.name);
                    let others = names.filter(|name| **name != identity.host);
                    others.for_each(|name| self.peers.send(name, message.clone()));
                } else if let Some(far) = self.keeper_in(region, service, now) {
                    self.peers.send(&far, message.clone());
                }
            }
        }
    }

    /// Publishes the state of each server and the queue lengths at the admin address.
    fn report(&self, now: Instant) {
        let mut statuses = Vec::new();
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (service, server, suspicion) in self.placer.server_health(now) {
            let state = standing_text(suspicion);
            for known in ["serving", "suspect", "ejected"] {
                let count = counts.entry((service.as_str(), known)).or_default();
                *count += usize::from(known == state);
            }
            statuses.push(ServerStatus {
                service: service.clone(),
                server: server.clone(),
                weight: if suspicion == ServerHealth::Unhealthy {
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
        for (service, waiting) in self.placer.queue_lengths() {
            self.shared.metrics.set_queue(service.as_str(), waiting);
        }
        self.shared.set_servers(statuses);
    }
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
        repeatable: request.repeatable,
        bytes: request.expected_bytes,
        excluded: request.excluded,
        retry: request.retry,
        uncoordinated: false,
    }
}

fn standing_text(suspicion: ServerHealth) -> &'static str {
    match suspicion {
        ServerHealth::Healthy => "serving",
        ServerHealth::Suspect => "suspect",
        ServerHealth::Unhealthy => "ejected",
    }
}

fn end_message(
    ticket: TicketId,
    service: ServiceName,
    server: Option<ServerName>,
    end: SlotOutcome,
) -> PeerMessage {
    PeerMessage::Ticket(TicketMessage::Finished {
        ticket: ticket.0,
        service,
        server,
        outcome: end,
        latency: Duration::ZERO,
        draining: false,
    })
}

fn slot_end(class: TryClass) -> SlotOutcome {
    match class {
        TryClass::Good => SlotOutcome::Succeeded,
        TryClass::Bad => SlotOutcome::Failed,
        TryClass::Late => SlotOutcome::TimedOut,
        TryClass::ConnectFailed => SlotOutcome::ConnectFailed,
        TryClass::NotRun => SlotOutcome::NotRun,
        TryClass::Misdirected => SlotOutcome::Misdirected,
        TryClass::Cancelled => SlotOutcome::Cancelled,
    }
}
