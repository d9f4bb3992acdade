//! The naive rules: round robin over all servers, one first-in-first-out queue, and ejection after
//! errors in a row by one host's own count.

use super::rule::{HostRule, TryEnd, listing};
use kws_dispatch::{DispatchAction, DispatchRequest, ServerGrant, TicketId};
use kws_fixture::place_of;
use kws_health::ResponseOutcome;
use kws_protocol::{
    FleetSnapshot, HealthMessage, HostName, RefusalReason, ServerName, ServerSettings,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Errors in a row that eject a server.
const ERRORS: u32 = 5;

/// How long such an ejection lasts.
const EJECTION: Duration = Duration::from_secs(30);

/// Whether servers are ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NaiveEjection {
    /// After [`ERRORS`] errors in a row.
    Errors,
    /// Never.
    Never,
}

struct NaiveServer {
    settings: ServerSettings,
    in_flight: u32,
    errors: u32,
    out_until: Option<Instant>,
}

/// A host under a naive rule.
pub struct NaiveHost {
    ejection: NaiveEjection,
    servers: Vec<NaiveServer>,
    next: usize,
    queue: VecDeque<DispatchRequest>,
    limit: usize,
    running: BTreeMap<TicketId, DispatchRequest>,
}

impl NaiveHost {
    /// The host at a place of the list; it uses the servers of its own region.
    pub fn new(at: usize, snapshot: &FleetSnapshot, ejection: NaiveEjection) -> Self {
        let service = &snapshot.settings.services[&listing()];
        let (region, _) = place_of(at);
        let servers = service.servers.values().filter(|one| one.region == region);
        Self {
            ejection,
            servers: servers
                .map(|settings| NaiveServer {
                    settings: settings.clone(),
                    in_flight: 0,
                    errors: 0,
                    out_until: None,
                })
                .collect(),
            next: at,
            queue: VecDeque::new(),
            limit: service.queue as usize,
            running: BTreeMap::new(),
        }
    }

    fn serve(&mut self, now: Instant) -> Vec<DispatchAction> {
        let (expired, kept): (Vec<_>, Vec<_>) = self
            .queue
            .drain(..)
            .partition(|request| request.deadline <= now);
        self.queue = kept.into();
        let mut actions: Vec<DispatchAction> = expired
            .into_iter()
            .map(|request| refuse(&request, RefusalReason::DeadlineEarly))
            .collect();
        while let Some(request) = self.queue.front().cloned() {
            let Some(grant) = self.grant(&request, now) else {
                break;
            };
            self.queue.pop_front();
            self.running.insert(request.ticket, request);
            actions.push(DispatchAction::Grant(grant));
        }
        actions
    }

    fn grant(&mut self, request: &DispatchRequest, now: Instant) -> Option<ServerGrant> {
        for _ in 0..self.servers.len() {
            self.next = (self.next + 1) % self.servers.len();
            let server = &mut self.servers[self.next];
            let out = server.out_until.is_some_and(|until| now < until);
            if out || server.in_flight >= server.settings.slots {
                continue;
            }
            server.in_flight += 1;
            return Some(ServerGrant {
                ticket: request.ticket,
                server: server.settings.name.clone(),
                address: server.settings.address,
                probe: false,
                spill: false,
            });
        }
        None
    }
}

impl HostRule for NaiveHost {
    fn enqueue(&mut self, request: DispatchRequest, now: Instant) -> Vec<DispatchAction> {
        if self.queue.len() >= self.limit {
            return vec![refuse(&request, RefusalReason::QueueFull)];
        }
        self.queue.push_back(request);
        self.serve(now)
    }

    fn finish(&mut self, end: &TryEnd, now: Instant) -> Vec<DispatchAction> {
        let mut servers = self.servers.iter_mut();
        if let Some(server) = servers.find(|one| one.settings.name == end.server) {
            server.in_flight -= 1;
            server.errors = if end.outcome.is_failure() {
                server.errors + 1
            } else {
                0
            };
            if self.ejection == NaiveEjection::Errors && server.errors >= ERRORS {
                server.errors = 0;
                server.out_until = Some(now + EJECTION);
            }
        }
        let request = self.running.remove(&end.ticket);
        if end.outcome == ResponseOutcome::NotRun {
            self.queue.extend(request);
        }
        self.serve(now)
    }

    fn tick(&mut self, _judge: bool, now: Instant) -> Vec<DispatchAction> {
        self.serve(now)
    }

    fn digest(&mut self, _now: Instant) -> HealthMessage {
        HealthMessage::Reports(Vec::new())
    }

    fn receive(&mut self, _from: &HostName, _message: &HealthMessage, _now: Instant) {}

    fn ejects(&self, server: &ServerName, now: Instant) -> bool {
        let mut servers = self.servers.iter();
        let found = servers.find(|one| &one.settings.name == server);
        found.is_some_and(|one| one.out_until.is_some_and(|until| now < until))
    }
}

fn refuse(request: &DispatchRequest, reason: RefusalReason) -> DispatchAction {
    DispatchAction::Refuse {
        ticket: request.ticket,
        reason,
    }
}
