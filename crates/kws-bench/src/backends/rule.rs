//! The rules that are compared, behind one interface.

use super::naive::{NaiveEjection, NaiveHost};
use clap::ValueEnum;
use kws_dispatch::{DispatchAction, DispatchRequest, Dispatcher, TicketId, TicketOutcome};
use kws_fixture::{host_name, place_of};
use kws_health::{AvailabilitySource, HealthMonitor, ResponseOutcome, UnavailableReason};
use kws_protocol::{FleetSnapshot, HealthMessage, HostName, ServerName, ServiceName};
use std::time::Duration;
use tokio::time::Instant;

/// A rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum RuleKind {
    /// The product.
    Product,
    /// The product without peers' evidence.
    LocalOnly,
    /// Round robin, first in first out, no ejection.
    RoundRobin,
    /// Round robin, first in first out, ejection after five errors in a row.
    Consecutive,
}

impl RuleKind {
    /// Every rule.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::LocalOnly,
        Self::RoundRobin,
        Self::Consecutive,
    ];

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::LocalOnly => "local-only",
            Self::RoundRobin => "round-robin",
            Self::Consecutive => "consecutive",
        }
    }

    /// One host of the rule.
    pub fn host(self, at: usize, snapshot: &FleetSnapshot, now: Instant) -> Box<dyn HostRule> {
        match self {
            Self::Product | Self::LocalOnly => {
                let (region, center) = place_of(at);
                let mut host = ProductHost {
                    judge: HealthMonitor::new(host_name(at)),
                    dispatcher: Dispatcher::new(host_name(at), region, center),
                    alone: self == Self::LocalOnly,
                };
                host.judge.apply_settings(snapshot, now);
                host.dispatcher.apply_settings(snapshot, now);
                Box::new(host)
            }
            Self::RoundRobin => Box::new(NaiveHost::new(at, snapshot, NaiveEjection::Never)),
            Self::Consecutive => Box::new(NaiveHost::new(at, snapshot, NaiveEjection::Errors)),
        }
    }
}

/// The end of a try.
#[derive(Clone, Debug)]
pub struct TryEnd {
    /// The ticket.
    pub ticket: TicketId,
    /// The server.
    pub server: ServerName,
    /// How it ended.
    pub outcome: ResponseOutcome,
    /// How long it took.
    pub latency: Duration,
}

/// One host under any rule.
pub trait HostRule {
    /// Queues a request.
    fn enqueue(&mut self, request: DispatchRequest, now: Instant) -> Vec<DispatchAction>;
    /// Takes the end of a try; a shed one is queued again.
    fn finish(&mut self, end: &TryEnd, now: Instant) -> Vec<DispatchAction>;
    /// Does what is due.
    fn tick(&mut self, judge: bool, now: Instant) -> Vec<DispatchAction>;
    /// What goes to peers.
    fn digest(&mut self, now: Instant) -> HealthMessage;
    /// What came from a peer.
    fn receive(&mut self, from: &HostName, message: &HealthMessage, now: Instant);
    /// Whether the host keeps a server ejected.
    fn ejects(&self, server: &ServerName, now: Instant) -> bool;
}

/// The service of the table.
pub fn listing() -> ServiceName {
    ServiceName::new("listing")
}

struct ProductHost {
    judge: HealthMonitor,
    dispatcher: Dispatcher,
    alone: bool,
}

impl HostRule for ProductHost {
    fn enqueue(&mut self, request: DispatchRequest, now: Instant) -> Vec<DispatchAction> {
        self.dispatcher.enqueue(request, &self.judge, now)
    }

    fn finish(&mut self, end: &TryEnd, now: Instant) -> Vec<DispatchAction> {
        let service = listing();
        self.judge
            .record_outcome(&service, &end.server, end.outcome, end.latency, now);
        match end.outcome {
            ResponseOutcome::NotRun => {
                self.dispatcher
                    .retry(end.ticket, TicketOutcome::NotRun, &self.judge, now)
            }
            ResponseOutcome::TimedOut | ResponseOutcome::ConnectFailed => {
                self.dispatcher
                    .complete(end.ticket, TicketOutcome::NoResponse, &self.judge, now)
            }
            _ => self
                .dispatcher
                .complete(end.ticket, TicketOutcome::Responded, &self.judge, now),
        }
    }

    fn tick(&mut self, judge: bool, now: Instant) -> Vec<DispatchAction> {
        if judge {
            self.judge.tick(now);
        }
        self.dispatcher.tick(&self.judge, now)
    }

    fn digest(&mut self, now: Instant) -> HealthMessage {
        let mut digests = self.judge.take_reports(now);
        self.dispatcher.add_in_flight(&mut digests);
        HealthMessage::Reports(digests)
    }

    fn receive(&mut self, from: &HostName, message: &HealthMessage, now: Instant) {
        self.dispatcher.receive(from, message, now);
        if !self.alone {
            self.judge.receive(from, message, now);
        }
    }

    fn ejects(&self, server: &ServerName, now: Instant) -> bool {
        let standing = self.judge.availability(&listing(), server, now);
        standing.unavailable == Some(UnavailableReason::Ejected)
    }
}
