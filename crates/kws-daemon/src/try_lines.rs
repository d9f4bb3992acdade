//! Log lines of slots and tries, on the asker and on the host that places.

use kws_dispatch::RefusalContext;
use kws_forward::{Refusal, TryClass, TryOutcome};
use kws_protocol::{HostName, ServerName, ServiceName};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// A try of a request of this host that has not ended.
struct NamedTry {
    request_id: String,
    /// Number of the try, from 1.
    number: usize,
    service: ServiceName,
    asked: Instant,
    /// Whether this host placed the try because the owner of the service did not reply.
    alone: bool,
}

/// Tries of this host that have not ended, by ticket.
#[derive(Default)]
pub(crate) struct TryNames(HashMap<u64, NamedTry>);

/// A try that had a slot.
pub(crate) struct EndedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// Host that granted the slot.
    pub(crate) keeper: &'a HostName,
    /// Time at which the slot was granted.
    pub(crate) since: Instant,
    pub(crate) outcome: TryOutcome,
}

impl TryNames {
    pub(crate) fn add(
        &mut self,
        ticket: u64,
        request_id: String,
        (service, number): (&ServiceName, usize),
        now: Instant,
    ) {
        let named = NamedTry {
            request_id,
            number,
            service: service.clone(),
            asked: now,
            alone: false,
        };
        self.0.insert(ticket, named);
    }

    /// Records that this host places the try without the owner of the service.
    pub(crate) fn note_alone(&mut self, ticket: u64) {
        if let Some(named) = self.0.get_mut(&ticket) {
            named.alone = true;
        }
    }

    /// Logs that `keeper` refused a slot.
    pub(crate) fn refused(&mut self, ticket: u64, keeper: &HostName, refusal: Refusal) {
        let Some(named) = self.0.remove(&ticket) else {
            return;
        };
        let retry_after = refusal.retry_after.unwrap_or_default();
        log::info!(
            request_id = named.request_id.as_str(),
            ticket = ticket,
            number = named.number,
            service = named.service.as_str(),
            keeper = keeper.as_str(),
            alone = named.alone,
            waited_us = micros(named.asked.elapsed()),
            refusal = refusal.reason.as_str(),
            retry_after_ms = retry_after.as_millis() as u64;
            "slot refused"
        );
    }

    /// Logs a try that ended before it got a slot: the caller disconnected or the deadline passed.
    pub(crate) fn given_up(&mut self, ticket: u64) {
        let Some(named) = self.0.remove(&ticket) else {
            return;
        };
        log::info!(
            request_id = named.request_id.as_str(),
            ticket = ticket,
            number = named.number,
            service = named.service.as_str(),
            alone = named.alone,
            waited_us = micros(named.asked.elapsed());
            "slot given up"
        );
    }

    /// Logs the end of a try that had a slot.
    pub(crate) fn ended(&mut self, ticket: u64, ended: &EndedTry<'_>) {
        let Some(named) = self.0.remove(&ticket) else {
            return;
        };
        log::info!(
            request_id = named.request_id.as_str(),
            ticket = ticket,
            number = named.number,
            service = named.service.as_str(),
            server = ended.server.as_str(),
            keeper = ended.keeper.as_str(),
            alone = named.alone,
            waited_us = micros(ended.since.saturating_duration_since(named.asked)),
            latency_us = micros(ended.outcome.latency),
            held_us = micros(ended.since.elapsed()),
            ended = class_name(ended.outcome.class),
            draining = ended.outcome.draining;
            "try"
        );
    }
}

/// A slot that this host granted.
pub(crate) struct PlacedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// Health of the server at that time.
    pub(crate) standing: &'a str,
    /// Number of requests queued on this host.
    pub(crate) waiting: usize,
}

/// Logs that this host granted a slot.
pub(crate) fn write_placed(asker: &HostName, ticket: u64, placed: &PlacedTry<'_>) {
    log::info!(
        asker = asker.as_str(),
        ticket = ticket,
        server = placed.server.as_str(),
        standing = placed.standing,
        waiting = placed.waiting;
        "slot placed"
    );
}

/// Logs that this host refused a slot, with the inputs of the decision.
pub(crate) fn write_refused(
    asker: &HostName,
    ticket: u64,
    refusal: Refusal,
    inputs: &RefusalContext,
) {
    log::info!(
        asker = asker.as_str(),
        ticket = ticket,
        refusal = refusal.reason.as_str(),
        waiting = inputs.queued,
        free = inputs.free_slots,
        slots = inputs.slots,
        servers_in = inputs.available_servers,
        servers = inputs.servers,
        service_us = micros(inputs.service_time);
        "slot kept back"
    );
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn class_name(class: TryClass) -> &'static str {
    match class {
        TryClass::Good => "good",
        TryClass::Bad => "bad",
        TryClass::Late => "late",
        TryClass::ConnectFailed => "not_reached",
        TryClass::NotRun => "not_run",
        TryClass::Misdirected => "misdirected",
        TryClass::Cancelled => "cancelled",
    }
}
