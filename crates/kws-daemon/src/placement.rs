//! Placement thread: obtains a slot for each request. The slot is requested from the host that owns
//! the service; the own placer assigns it if this host is the owner or if the owner does not reply.

mod ended_tries;
mod grants;
mod loads;
mod owners;
mod pending;
mod remote;
mod status;

use crate::{
    dispatch::{DispatchEvent, GrantReply},
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
    try_log::TryLog,
};
use eyre::Result;
use kws_dispatch::{DispatchRequest, PlaceOutcome, PlaceReport, PlaceRequest, Placer, TicketId};
use kws_forward::{Refusal, TryOutcome};
use kws_membership::OwnerTable;
use kws_protocol::{
    FleetSnapshot, HostName, PeerMessage, RegionName, ServerName, ServiceName, SlotOutcome,
    SlotRequest, TicketMessage,
};
use loads::LoadsSent;
use owners::owner_millicores;
use pending::{PendingSlot, PendingSlots};
use remote::RemoteTickets;
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Receiver,
    time::{Instant, MissedTickBehavior, interval},
};

/// Interval between checks of queues and pending slot requests, while there are any.
const QUEUE_TICK: Duration = Duration::from_millis(10);
/// Interval between reports of running requests.
const RUNNING_REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Interval between load messages to other hosts.
const LOADS_PERIOD: Duration = Duration::from_secs(1);
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
    address: SocketAddr,
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

    fn handle_message(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.owners.record_message(from);
        match message {
            TicketMessage::RequestSlot(request) => self.handle_slot_request(from, request, now),
            TicketMessage::Queued { ticket } => self.pending.record_queued(ticket, from, now),
            TicketMessage::Grant { ticket, grant } => self.handle_grant(from, ticket, grant, now),
            TicketMessage::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                if let Some(pending) = self.pending.take_replied(ticket, from) {
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
