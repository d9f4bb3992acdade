//! Log lines of slots and tries, on the asker and on the host that places.

use kws_dispatch::RefusalContext;
use kws_forward::{ExtraResponse, Refusal, TryClass, TryOutcome};
use kws_protocol::{HostName, ServerName, ServiceName};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// A try of a request of this host that has not ended.
struct TryEntry {
    request_id: String,
    /// Number of the try, from 1.
    number: usize,
    service: ServiceName,
    requested: Instant,
    /// Whether this host placed the try because the owner of the service did not reply.
    uncoordinated: bool,
}

/// Tries of this host that have not ended, by ticket.
#[derive(Default)]
pub(crate) struct TryLog(HashMap<u64, TryEntry>);

/// A try that had a slot.
pub(crate) struct EndedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// Address that the try was sent to.
    pub(crate) address: SocketAddr,
    /// Host that granted the slot.
    pub(crate) placed_by: &'a HostName,
    /// Time at which the slot was granted.
    pub(crate) since: Instant,
    pub(crate) outcome: TryOutcome,
}

impl TryLog {
    pub(crate) fn add(
        &mut self,
        ticket: u64,
        request_id: String,
        (service, number): (&ServiceName, usize),
        now: Instant,
    ) {
        let entry = TryEntry {
            request_id,
            number,
            service: service.clone(),
            requested: now,
            uncoordinated: false,
        };
        self.0.insert(ticket, entry);
    }

    /// Records that this host places the try without the owner of the service.
    pub(crate) fn record_uncoordinated(&mut self, ticket: u64) {
        if let Some(entry) = self.0.get_mut(&ticket) {
            entry.uncoordinated = true;
        }
    }

    /// Logs that `refused_by` refused a slot.
    pub(crate) fn log_refused(&mut self, ticket: u64, refused_by: &HostName, refusal: Refusal) {
        let Some(entry) = self.0.remove(&ticket) else {
            return;
        };
        let retry_after = refusal.retry_after.unwrap_or_default();
        log::info!(
            request_id = entry.request_id.as_str(),
            ticket = ticket,
            number = entry.number,
            service = entry.service.as_str(),
            keeper = refused_by.as_str(),
            alone = entry.uncoordinated,
            waited_us = micros(entry.requested.elapsed()),
            refusal = refusal.reason.as_str(),
            retry_after_ms = retry_after.as_millis() as u64;
            "slot refused"
        );
    }

    /// Logs a try that ended before it got a slot: the caller disconnected or the deadline passed.
    pub(crate) fn log_given_up(&mut self, ticket: u64) {
        let Some(entry) = self.0.remove(&ticket) else {
            return;
        };
        log::info!(
            request_id = entry.request_id.as_str(),
            ticket = ticket,
            number = entry.number,
            service = entry.service.as_str(),
            alone = entry.uncoordinated,
            waited_us = micros(entry.requested.elapsed());
            "slot given up"
        );
    }

    /// Logs the end of a try that had a slot.
    pub(crate) fn log_ended(&mut self, ticket: u64, ended: &EndedTry<'_>) {
        let Some(entry) = self.0.remove(&ticket) else {
            return;
        };
        log::info!(
            request_id = entry.request_id.as_str(),
            ticket = ticket,
            number = entry.number,
            service = entry.service.as_str(),
            server = ended.server.as_str(),
            address:% = ended.address,
            keeper = ended.placed_by.as_str(),
            alone = entry.uncoordinated,
            waited_us = micros(ended.since.saturating_duration_since(entry.requested)),
            latency_us = micros(ended.outcome.latency),
            held_us = micros(ended.since.elapsed()),
            ended = class_name(ended.outcome.class),
            status = ended.outcome.status,
            draining = ended.outcome.draining;
            "try"
        );
    }
}

/// Logs a response that a server sent without a request for it.
pub(crate) fn log_extra_response(extra: &ExtraResponse) {
    log::warn!(
        request_id = extra.request_id.as_str(),
        kind = extra.kind.as_str(),
        address:% = extra.server,
        expected_id = extra.expected_id.as_deref().unwrap_or_default(),
        status = extra.status;
        "extra response"
    );
}

/// A slot that this host granted.
pub(crate) struct PlacedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// Health of the server at that time.
    pub(crate) health: &'a str,
    /// Number of requests queued on this host.
    pub(crate) queue_length: usize,
}

/// Logs that this host granted a slot.
pub(crate) fn log_placed(asker: &HostName, ticket: u64, placed: &PlacedTry<'_>) {
    log::info!(
        asker = asker.as_str(),
        ticket = ticket,
        server = placed.server.as_str(),
        standing = placed.health,
        waiting = placed.queue_length;
        "slot placed"
    );
}

/// Logs that this host refused a slot, with the inputs of the decision.
pub(crate) fn log_refused(
    asker: &HostName,
    ticket: u64,
    refusal: Refusal,
    context: &RefusalContext,
) {
    log::info!(
        asker = asker.as_str(),
        ticket = ticket,
        refusal = refusal.reason.as_str(),
        waiting = context.queued,
        free = context.free_slots,
        slots = context.slots,
        servers_in = context.available_servers,
        servers = context.servers,
        service_us = micros(context.service_time);
        "slot kept back"
    );
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn class_name(class: TryClass) -> &'static str {
    match class {
        TryClass::Succeeded => "good",
        TryClass::Failed => "bad",
        TryClass::TimedOut => "late",
        TryClass::ConnectFailed => "not_reached",
        TryClass::NotRun => "not_run",
        TryClass::Misdirected => "misdirected",
        TryClass::Cancelled => "cancelled",
    }
}
