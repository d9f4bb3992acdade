//! A dispatcher with scripted availability of its servers.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use kws_dispatch::{DispatchAction, DispatchRequest, Dispatcher, TicketId, TicketOutcome};
use kws_fixture::{SampleFleet, host_name, place_of, server_name};
use kws_health::{AvailabilitySource, ServerAvailability, UnavailableReason};
use kws_protocol::{
    HealthMessage, HealthReport, RefusalReason, ServerName, ServiceName, TeamName, TryKind,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Availability by server; all others are available at full weight.
#[derive(Default)]
pub struct FixedAvailability(pub BTreeMap<ServerName, ServerAvailability>);

impl AvailabilitySource for FixedAvailability {
    fn availability(&self, _: &ServiceName, server: &ServerName, _: Instant) -> ServerAvailability {
        self.0
            .get(server)
            .copied()
            .unwrap_or(ServerAvailability::FULL)
    }
}

/// The dispatcher of `host-000` in region vidzemes. Servers with an even index are in its region.
pub struct TestHost {
    pub dispatcher: Dispatcher,
    pub availability: FixedAvailability,
    pub last_ticket: u64,
}

impl TestHost {
    pub fn new(fleet: &SampleFleet) -> Self {
        let (region, center) = place_of(0);
        let mut dispatcher = Dispatcher::new(host_name(0), region, center);
        dispatcher.apply_settings(&fleet.snapshot(), Instant::now());
        Self {
            dispatcher,
            availability: FixedAvailability::default(),
            last_ticket: 0,
        }
    }

    /// Ejects a server. With `probe_only`, it may still be probed.
    pub fn eject(&mut self, at: usize, probe_only: bool) {
        let availability = ServerAvailability {
            probe_only,
            ..ServerAvailability::unavailable(UnavailableReason::Ejected)
        };
        self.availability.0.insert(server(at), availability);
    }

    /// A repeatable request of `team` with a deadline in 10 s.
    pub fn request(&mut self, team: &str) -> DispatchRequest {
        self.last_ticket += 1;
        DispatchRequest {
            ticket: TicketId(self.last_ticket),
            service: listing(),
            team: TeamName::new(team),
            weight: 1.0,
            objective: None,
            deadline: Instant::now() + Duration::from_secs(10),
            priority: 0,
            repeatable: true,
            kind: TryKind::First,
            bytes: 1_000,

            unserved_share: 0.0,
            excluded: Vec::new(),
        }
    }

    pub fn enqueue(&mut self, request: DispatchRequest) -> Vec<DispatchAction> {
        self.dispatcher
            .enqueue(request, &self.availability, Instant::now())
    }

    pub fn send(&mut self, team: &str) -> Vec<DispatchAction> {
        let request = self.request(team);
        self.enqueue(request)
    }

    pub fn complete(&mut self, ticket: u64, outcome: TicketOutcome) -> Vec<DispatchAction> {
        self.dispatcher.complete(
            TicketId(ticket),
            outcome,
            &self.availability,
            Instant::now(),
        )
    }

    pub fn retry(&mut self, ticket: u64, outcome: TicketOutcome) -> Vec<DispatchAction> {
        self.dispatcher.retry(
            TicketId(ticket),
            outcome,
            &self.availability,
            Instant::now(),
        )
    }

    pub fn tick(&mut self) -> Vec<DispatchAction> {
        self.dispatcher.tick(&self.availability, Instant::now())
    }

    /// Receives a peer's requests in flight, by server.
    pub fn report_load(&mut self, peer: usize, in_flight: &[(usize, u32)]) {
        let reports = in_flight.iter().map(|(at, count)| load_report(*at, *count));
        let message = HealthMessage::Reports(reports.collect());
        self.dispatcher
            .receive(&host_name(peer), &message, Instant::now());
    }
}

fn load_report(at: usize, in_flight: u32) -> HealthReport {
    HealthReport {
        service: listing(),
        server: server(at),
        responses: 0,
        failures: 0,
        median_latency: Duration::ZERO,
        in_flight,
        draining: false,
        ejected: false,
    }
}

/// The granted servers, in order.
pub fn granted_servers(actions: &[DispatchAction]) -> Vec<ServerName> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Grant(grant) => Some(grant.server.clone()),
            DispatchAction::Refuse { .. } => None,
        })
        .collect()
}

/// The granted tickets, in order.
pub fn granted_tickets(actions: &[DispatchAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Grant(grant) => Some(grant.ticket.0),
            DispatchAction::Refuse { .. } => None,
        })
        .collect()
}

/// The refused tickets with the reasons, in order.
pub fn refused(actions: &[DispatchAction]) -> Vec<(u64, RefusalReason)> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Refuse { ticket, reason } => Some((ticket.0, *reason)),
            DispatchAction::Grant(_) => None,
        })
        .collect()
}

pub fn listing() -> ServiceName {
    ServiceName::new("listing")
}

pub fn server(at: usize) -> ServerName {
    server_name("listing", at)
}
