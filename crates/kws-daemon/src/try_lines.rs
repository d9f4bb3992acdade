//! The log lines of slots and tries, on the host that asks and on the one that places.

use kws_dispatch::RefusalContext;
use kws_forward::{Refusal, TryClass, TryOutcome};
use kws_protocol::{HostName, ServerName, ServiceName};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// A try of this host's requests, until it ends.
struct NamedTry {
    request_id: String,
    /// 1 for the first.
    number: usize,
    service: ServiceName,
    asked: Instant,
    /// Placed by this host since the one that should have done it was silent.
    alone: bool,
}

/// The names of this host's tries, by ticket.
#[derive(Default)]
pub(crate) struct TryNames(HashMap<u64, NamedTry>);

/// A try that had a slot.
pub(crate) struct EndedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// The host that placed it.
    pub(crate) keeper: &'a HostName,
    /// When it got its slot.
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

    /// This host places the try alone.
    pub(crate) fn note_alone(&mut self, ticket: u64) {
        if let Some(named) = self.0.get_mut(&ticket) {
            named.alone = true;
        }
    }

    /// The try gets no slot, by the word of `keeper`.
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

    /// The try is given up before it has a slot: its caller is gone, or its time is over.
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

    /// The try ends.
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

/// A try that just got its slot.
pub(crate) struct PlacedTry<'a> {
    pub(crate) server: &'a ServerName,
    /// What was believed of the server.
    pub(crate) standing: &'a str,
    /// Requests that wait on this host.
    pub(crate) waiting: usize,
}

/// Tells on the host that places that it granted a slot.
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

/// Tells on the host that places that it refused a slot, and what that rests on.
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
