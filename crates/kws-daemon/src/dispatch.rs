//! Dispatch thread: rates the health of backend servers and grants their slots.

use crate::{
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
    try_log::{EndedTry, TryLog},
};
use eyre::Result;
use kws_dispatch::{
    DispatchAction, DispatchRequest, Dispatcher, ServerGrant, TicketId, TicketOutcome,
};
use kws_forward::{Refusal, TryClass, TryOutcome};
use kws_health::{AvailabilitySource, HealthMonitor, ResponseOutcome, UnavailableReason};
use kws_protocol::{
    FleetSnapshot, HealthMessage, HostName, PeerMessage, ServerName, ServerStatus, ServiceName,
    TicketMessage,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc::Receiver, oneshot},
    time::{Instant, MissedTickBehavior, interval},
};

/// Interval between checks of the queues, while requests are queued.
const QUEUE_TICK: Duration = Duration::from_millis(10);
/// Interval between evaluations of the servers' health.
const HEALTH_PERIOD: Duration = Duration::from_millis(250);
/// Interval between health reports to peers.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Channel for the slot of a request, or for its refusal.
pub(crate) type GrantReply = oneshot::Sender<Result<ServerGrant, Refusal>>;

/// Input of the dispatch thread and of the placement thread.
pub(crate) enum DispatchEvent {
    ApplySettings(Arc<FleetSnapshot>),
    Cancel(TicketId),
    Enqueue {
        /// Identifier of the request, for the log.
        request_id: String,
        request: DispatchRequest,
        reply: GrantReply,
    },
    Finish {
        ticket: TicketId,
        outcome: TryOutcome,
    },
    Health {
        from: HostName,
        message: HealthMessage,
    },
    Ticket {
        from: HostName,
        message: TicketMessage,
    },
}

/// Starts the dispatch thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_dispatch(
    shared: Arc<DaemonShared>,
    events: Receiver<DispatchEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_async_thread("dispatch", move || run_dispatch(shared, events, peers))
}

struct GrantRecord {
    service: ServiceName,
    server: ServerName,
    address: SocketAddr,
    since: Instant,
}

struct DispatchThread {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    health: HealthMonitor,
    dispatcher: Dispatcher,
    snapshot: Option<Arc<FleetSnapshot>>,
    queued: HashMap<TicketId, (ServiceName, GrantReply)>,
    granted: HashMap<TicketId, GrantRecord>,
    try_log: TryLog,
}

async fn run_dispatch(
    shared: Arc<DaemonShared>,
    mut events: Receiver<DispatchEvent>,
    peers: PeerSender,
) {
    let identity = shared.identity.clone();
    let mut thread = DispatchThread {
        shared,
        peers,
        health: HealthMonitor::new(identity.host.clone()),
        dispatcher: Dispatcher::new(identity.host, identity.region, identity.center),
        snapshot: None,
        queued: HashMap::new(),
        granted: HashMap::new(),
        try_log: TryLog::default(),
    };
    let mut queue_ticks = interval(QUEUE_TICK);
    queue_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut health_ticks = interval(HEALTH_PERIOD);
    health_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut report_ticks = interval(REPORT_PERIOD);
    report_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => thread.handle_event(event, Instant::now()),
                None => return,
            },
            _ = queue_ticks.tick(), if !thread.queued.is_empty() => thread.serve_queues(Instant::now()),
            _ = health_ticks.tick() => thread.evaluate_health(Instant::now()),
            _ = report_ticks.tick() => thread.send_reports(Instant::now()),
        }
    }
}

impl DispatchThread {
    fn handle_event(&mut self, event: DispatchEvent, now: Instant) {
        match event {
            DispatchEvent::ApplySettings(snapshot) => self.apply_settings(snapshot, now),
            DispatchEvent::Cancel(ticket) => {
                self.queued.remove(&ticket);
                match self.granted.remove(&ticket) {
                    Some(record) => self.log_ended(ticket, &record, TryOutcome::CANCELLED),
                    None => self.try_log.log_given_up(ticket.0),
                }
                let actions = self.dispatcher.cancel(ticket, &self.health, now);
                self.run_actions(actions, now);
            }
            DispatchEvent::Enqueue {
                request_id,
                request,
                reply,
            } => {
                let service = request.service.clone();
                let attempt = (&service, request.excluded.len() + 1);
                self.try_log.add(request.ticket.0, request_id, attempt, now);
                self.queued.insert(request.ticket, (service, reply));
                let actions = self.dispatcher.enqueue(request, &self.health, now);
                self.run_actions(actions, now);
            }
            DispatchEvent::Finish { ticket, outcome } => self.finish(ticket, outcome, now),
            DispatchEvent::Health { from, message } => {
                self.health.receive(&from, &message, now);
                self.dispatcher.receive(&from, &message, now);
            }
            // Only hosts that discover each other exchange tickets, in the placement thread.
            DispatchEvent::Ticket { .. } => {}
        }
    }

    fn apply_settings(&mut self, snapshot: Arc<FleetSnapshot>, now: Instant) {
        self.health.apply_settings(&snapshot, now);
        self.dispatcher.apply_settings(&snapshot, now);
        self.snapshot = Some(snapshot);
        self.publish_status(now);
    }

    fn finish(&mut self, ticket: TicketId, outcome: TryOutcome, now: Instant) {
        if let Some(record) = self.granted.remove(&ticket) {
            self.log_ended(ticket, &record, outcome);
            self.record_outcome(&record, outcome, now);
        }
        let end = ticket_outcome(outcome.class);
        let actions = self.dispatcher.complete(ticket, end, &self.health, now);
        self.run_actions(actions, now);
    }

    fn log_ended(&mut self, ticket: TicketId, record: &GrantRecord, outcome: TryOutcome) {
        let ended = EndedTry {
            server: &record.server,
            address: record.address,
            placed_by: &self.shared.identity.host,
            since: record.since,
            outcome,
        };
        self.try_log.log_ended(ticket.0, &ended);
    }

    fn record_outcome(&mut self, record: &GrantRecord, outcome: TryOutcome, now: Instant) {
        let GrantRecord {
            service, server, ..
        } = record;
        if let Some(response) = response_outcome(outcome.class) {
            self.health
                .record_outcome(service, server, response, outcome.latency, now);
        }
        if outcome.draining {
            self.health.record_drain(service, server, now);
        }
    }

    fn run_actions(&mut self, actions: Vec<DispatchAction>, now: Instant) {
        for action in actions {
            match action {
                DispatchAction::Grant(grant) => self.grant(grant, now),
                DispatchAction::Refuse { ticket, reason } => {
                    if let Some((_, reply)) = self.queued.remove(&ticket) {
                        let own = &self.shared.identity.host;
                        self.try_log.log_refused(ticket.0, own, reason.into());
                        let _ = reply.send(Err(reason.into()));
                    }
                }
            }
        }
    }

    fn grant(&mut self, grant: ServerGrant, now: Instant) {
        let ticket = grant.ticket;
        let Some((service, reply)) = self.queued.remove(&ticket) else {
            return;
        };
        let record = GrantRecord {
            service,
            server: grant.server.clone(),
            address: grant.address,
            since: now,
        };
        self.granted.insert(ticket, record);
        if reply.send(Ok(grant)).is_err() {
            self.handle_event(DispatchEvent::Cancel(ticket), now);
        }
    }

    fn serve_queues(&mut self, now: Instant) {
        let actions = self.dispatcher.tick(&self.health, now);
        self.run_actions(actions, now);
    }

    /// Evaluates the servers' health, then serves the queues: servers may have been readmitted.
    fn evaluate_health(&mut self, now: Instant) {
        self.health.tick(now);
        self.serve_queues(now);
    }

    fn send_reports(&mut self, now: Instant) {
        self.publish_status(now);
        let mut reports = self.health.take_reports(now);
        self.dispatcher.add_in_flight(&mut reports);
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        if reports.is_empty() {
            return;
        }
        let identity = &self.shared.identity;
        let message = PeerMessage::Health(HealthMessage::Reports(reports));
        for peer in snapshot.hosts.in_region(&identity.region) {
            if peer.name != identity.host {
                self.peers.send(&peer.name, message.clone());
            }
        }
    }

    /// Publishes the state of each server for the admin address.
    fn publish_status(&self, now: Instant) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let mut statuses = Vec::new();
        for (service, settings) in &snapshot.settings.services {
            for server in settings.servers.keys() {
                let availability = self.health.availability(service, server, now);
                statuses.push(ServerStatus {
                    service: service.clone(),
                    server: server.clone(),
                    weight: availability.weight,
                    state: availability_state(availability.unavailable).to_owned(),
                });
            }
        }
        self.count_states(&statuses);
        self.shared.set_servers(statuses);
    }

    fn count_states(&self, statuses: &[ServerStatus]) {
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for status in statuses {
            for state in ["serving", "draining", "ejected", "leaving", "unlisted"] {
                let count = counts.entry((status.service.as_str(), state)).or_default();
                *count += usize::from(status.state == state);
            }
        }
        for ((service, state), count) in counts {
            self.shared.metrics.set_servers(service, state, count);
        }
    }
}

fn availability_state(unavailable: Option<UnavailableReason>) -> &'static str {
    match unavailable {
        None => "serving",
        Some(UnavailableReason::Draining) => "draining",
        Some(UnavailableReason::Ejected) => "ejected",
        Some(UnavailableReason::Leaving) => "leaving",
        Some(UnavailableReason::Unlisted) => "unlisted",
    }
}

fn ticket_outcome(class: TryClass) -> TicketOutcome {
    match class {
        TryClass::Succeeded | TryClass::Failed => TicketOutcome::Responded,
        TryClass::NotRun | TryClass::Misdirected => TicketOutcome::NotRun,
        TryClass::Cancelled | TryClass::ConnectFailed | TryClass::TimedOut => {
            TicketOutcome::NoResponse
        }
    }
}

fn response_outcome(class: TryClass) -> Option<ResponseOutcome> {
    match class {
        TryClass::Succeeded => Some(ResponseOutcome::Succeeded),
        TryClass::Failed => Some(ResponseOutcome::Failed),
        TryClass::TimedOut => Some(ResponseOutcome::TimedOut),
        TryClass::ConnectFailed => Some(ResponseOutcome::ConnectFailed),
        TryClass::NotRun | TryClass::Misdirected => Some(ResponseOutcome::NotRun),
        TryClass::Cancelled => None,
    }
}
