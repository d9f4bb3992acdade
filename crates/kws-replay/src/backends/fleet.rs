//! Hosts that judge and dispatch, and servers that answer as the trace says, in virtual time.

use super::{
    condition::{PlacedName, server_condition},
    outcome::{HostView, OutcomeBook, ServerView},
    settings::{REGION, SERVICE, trace_snapshot},
    trace::{BackendsTrace, TraceStep, placed_members},
};
use crate::ReplayFinding;
use kws_dispatch::{
    DispatchAction, DispatchRequest, Dispatcher, ServerGrant, TicketId, TicketOutcome,
};
use kws_health::{AvailabilitySource, HealthMonitor, ResponseOutcome, UnavailableReason};
use kws_protocol::{
    CenterName, FleetSnapshot, HealthMessage, HostName, RegionName, ServerName, ServiceName,
    TeamName, TryKind,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// One step of virtual time.
const STEP: Duration = Duration::from_millis(10);
/// How often servers are judged, and outcomes looked at.
const JUDGE_PERIOD: Duration = Duration::from_millis(250);
/// How often digests go to peers.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);
/// The time of a healthy answer.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The time within which a request wants its answer.
const DEADLINE: Duration = Duration::from_secs(1);

struct TraceHost {
    center: String,
    name: String,
    judge: HealthMonitor,
    dispatcher: Dispatcher,
    /// Requests due, of which the whole ones are sent.
    due: f64,
    /// Errors due of each server, of which the whole ones happen; no chance is involved.
    errors: BTreeMap<ServerName, f64>,
}

/// An answer that comes later.
struct PendingAnswer {
    host: usize,
    ticket: TicketId,
    server: ServerName,
    outcome: ResponseOutcome,
    latency: Duration,
    draining: bool,
}

/// The fleet of one trace.
pub(super) struct BackendsFleet<'a> {
    trace: &'a BackendsTrace,
    start: Instant,
    at: Duration,
    service: ServiceName,
    snapshot: FleetSnapshot,
    floor: f64,
    leaving: BTreeSet<ServerName>,
    hosts: Vec<TraceHost>,
    pending: BTreeMap<(Duration, u64), PendingAnswer>,
    tickets: u64,
    book: OutcomeBook<'a>,
}

impl<'a> BackendsFleet<'a> {
    pub(super) fn new(trace: &'a BackendsTrace) -> Self {
        let start = Instant::now();
        let leaving = BTreeSet::new();
        let snapshot = trace_snapshot(trace, 1, trace.floor, &leaving);
        let mut fleet = Self {
            trace,
            start,
            at: Duration::ZERO,
            service: ServiceName::new(SERVICE),
            floor: trace.floor,
            snapshot,
            leaving,
            hosts: trace_hosts(trace),
            pending: BTreeMap::new(),
            tickets: 0,
            book: OutcomeBook::new(trace),
        };
        fleet.adopt();
        fleet
    }

    /// Runs to the end, and gives the outcomes that did not hold.
    pub(super) fn run(mut self) -> Vec<ReplayFinding> {
        let end = Duration::from_secs_f64(self.trace.length);
        while self.at <= end {
            self.publish_changes();
            self.finish_answers();
            for host in 0..self.hosts.len() {
                self.send_requests(host);
            }
            if is_due(self.at, DIGEST_PERIOD) {
                self.exchange_digests();
            }
            if is_due(self.at, JUDGE_PERIOD) {
                self.judge();
            }
            self.at += STEP;
        }
        self.book.close()
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn adopt(&mut self) {
        let now = self.now();
        for host in &mut self.hosts {
            host.judge.apply_settings(&self.snapshot, now);
            host.dispatcher.apply_settings(&self.snapshot, now);
        }
    }

    fn publish_changes(&mut self) {
        let step = STEP.as_secs_f64();
        let now = self.at.as_secs_f64();
        let mut changed = false;
        for event in &self.trace.events {
            let event = &event.value;
            if event.at > now || event.at <= now - step {
                continue;
            }
            match &event.step {
                TraceStep::Floor(floor) => self.floor = *floor,
                TraceStep::Leaving(names) => self.leaving.extend(named_servers(self.trace, names)),
                TraceStep::Sick(_) | TraceStep::Drain(_) => continue,
            }
            changed = true;
        }
        if changed {
            let revision = self.snapshot.revision.count() + 1;
            self.snapshot = trace_snapshot(self.trace, revision, self.floor, &self.leaving);
            self.adopt();
        }
    }

    fn send_requests(&mut self, host: usize) {
        let now = self.now();
        self.hosts[host].due += self.trace.rate * STEP.as_secs_f64();
        while self.hosts[host].due >= 1.0 {
            self.hosts[host].due -= 1.0;
            self.tickets += 1;
            let request = DispatchRequest {
                ticket: TicketId(self.tickets),
                service: self.service.clone(),
                team: TeamName::new("orchard"),
                weight: 1.0,
                objective: None,
                deadline: now + DEADLINE,
                priority: 0,
                repeatable: true,
                kind: TryKind::First,
                bytes: 0,

                unserved_share: 0.0,
                excluded: Vec::new(),
            };
            let TraceHost {
                judge, dispatcher, ..
            } = &mut self.hosts[host];
            let actions = dispatcher.enqueue(request, judge, now);
            self.carry_out(host, actions);
        }
        let TraceHost {
            judge, dispatcher, ..
        } = &mut self.hosts[host];
        let actions = dispatcher.tick(judge, now);
        self.carry_out(host, actions);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            if let DispatchAction::Grant(grant) = action {
                self.run_request(host, grant);
            }
        }
    }

    fn run_request(&mut self, host: usize, grant: ServerGrant) {
        let center = server_center(self.trace, &grant.server);
        let server = PlacedName {
            center,
            name: grant.server.as_str(),
        };
        let sender = &mut self.hosts[host];
        let place = PlacedName {
            center: &sender.center,
            name: &sender.name,
        };
        let condition = server_condition(self.trace, place, server, self.at);
        let due = sender.errors.entry(grant.server.clone()).or_default();
        *due += condition.errors;
        let failed = *due >= 1.0;
        if failed {
            *due -= 1.0;
        }
        let latency = SERVICE_TIME.mul_f64(condition.slower).min(DEADLINE);
        let outcome = match (failed, latency < DEADLINE) {
            (true, _) => ResponseOutcome::Failed,
            (false, true) => ResponseOutcome::Succeeded,
            (false, false) => ResponseOutcome::TimedOut,
        };
        let answer = PendingAnswer {
            host,
            ticket: grant.ticket,
            server: grant.server,
            outcome,
            latency,
            draining: condition.draining,
        };
        self.pending
            .insert((self.at + latency, answer.ticket.0), answer);
    }

    fn finish_answers(&mut self) {
        let now = self.now();
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > self.at {
                return;
            }
            let answer = entry.remove();
            let host = &mut self.hosts[answer.host];
            let bad = answer.outcome.is_failure();
            self.book.answer(&host.center, &host.name, bad, self.at);
            host.judge.record_outcome(
                &self.service,
                &answer.server,
                answer.outcome,
                answer.latency,
                now,
            );
            if answer.draining {
                host.judge.record_drain(&self.service, &answer.server, now);
            }
            let end = TicketOutcome::Responded;
            let actions = host
                .dispatcher
                .complete(answer.ticket, end, &host.judge, now);
            self.carry_out(answer.host, actions);
        }
    }

    fn exchange_digests(&mut self) {
        let now = self.now();
        for from in 0..self.hosts.len() {
            let sender = &mut self.hosts[from];
            let mut digests = sender.judge.take_reports(now);
            sender.dispatcher.add_in_flight(&mut digests);
            let name = HostName::new(&sender.name);
            let message = HealthMessage::Reports(digests);
            for (to, host) in self.hosts.iter_mut().enumerate() {
                if to != from {
                    host.judge.receive(&name, &message, now);
                    host.dispatcher.receive(&name, &message, now);
                }
            }
        }
    }

    fn judge(&mut self) {
        let now = self.now();
        for host in &mut self.hosts {
            host.judge.tick(now);
        }
        for host in 0..self.hosts.len() {
            let view = self.view(host, now);
            self.book.look(&view, self.at);
        }
    }

    fn view(&self, host: usize, now: Instant) -> HostView {
        let host = &self.hosts[host];
        let settings = &self.snapshot.settings.services[&self.service];
        let mut capacity = 0.0;
        let mut slots = 0.0;
        let mut ejected = false;
        let mut servers = Vec::new();
        for (name, server) in &settings.servers {
            let standing = host.judge.availability(&self.service, name, now);
            slots += f64::from(server.slots);
            if standing.unavailable.is_none() {
                capacity += f64::from(server.slots) * standing.weight;
            }
            ejected |= standing.unavailable == Some(UnavailableReason::Ejected);
            servers.push(ServerView {
                center: server.center.to_string(),
                name: name.to_string(),
                out: standing.unavailable.is_some(),
            });
        }
        HostView {
            center: host.center.clone(),
            name: host.name.clone(),
            servers,
            floor_held: !ejected || capacity + 1e-9 >= settings.floor * slots,
        }
    }
}

fn trace_hosts(trace: &BackendsTrace) -> Vec<TraceHost> {
    placed_members(&trace.hosts)
        .map(|PlacedName { center, name }| TraceHost {
            center: center.to_owned(),
            name: name.to_owned(),
            judge: HealthMonitor::new(HostName::new(name)),
            dispatcher: Dispatcher::new(
                HostName::new(name),
                RegionName::new(REGION),
                CenterName::new(center),
            ),
            due: 0.0,
            errors: BTreeMap::new(),
        })
        .collect()
}

fn named_servers(trace: &BackendsTrace, names: &[String]) -> Vec<ServerName> {
    placed_members(&trace.servers)
        .filter(|server| server.is_in(names))
        .map(|server| ServerName::new(server.name))
        .collect()
}

fn server_center<'t>(trace: &'t BackendsTrace, server: &ServerName) -> &'t str {
    placed_members(&trace.servers)
        .find(|placed| placed.name == server.as_str())
        .map_or("", |placed| placed.center)
}

fn is_due(at: Duration, period: Duration) -> bool {
    at.as_millis().is_multiple_of(period.as_millis())
}
