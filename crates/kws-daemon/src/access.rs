//! Access log: one JSON line per request.

use kws_forward::{AccessOutcome, AccessRecord};
use kws_protocol::{RefusalReason, RouteName, RunState, ServerName, ServiceName, TeamName};

/// Writes the line of a request; fields without a value are empty or 0.
pub(crate) fn write_access(record: &AccessRecord) {
    let caller = record
        .caller
        .map_or(String::new(), |caller| caller.to_string());
    let retried: Vec<&str> = record
        .retry_reasons
        .iter()
        .map(|one| one.as_str())
        .collect();
    let ended = match record.outcome {
        AccessOutcome::Responded => "answered",
        AccessOutcome::CallerDisconnected => "caller_gone",
    };
    let revision = record.revision.unwrap_or_default();
    log::info!(
        request_id = record.request_id.as_str(),
        caller = caller.as_str(),
        method = record.method.as_str(),
        path = record.path.as_str(),
        revision = revision.count(),
        era = revision.era(),
        route = record.route.as_ref().map_or("", RouteName::as_str),
        team = record.team.as_ref().map_or("", TeamName::as_str),
        service = record.service.as_ref().map_or("", ServiceName::as_str),
        limit_ms = record.time_limit.map_or(0, |limit| limit.as_millis() as u64),
        token_us = record.token_wait.as_micros() as u64,
        waited_us = record.waited.as_micros() as u64,
        server = record.server.as_ref().map_or("", ServerName::as_str),
        ended = ended,
        status = record.status,
        refusal = record.refusal.map_or("", RefusalReason::as_str),
        run = record.run.map_or("", RunState::as_str),
        tries = record.tries,
        retried = retried.join(",").as_str(),
        latency_us = record.latency.as_micros() as u64;
        "request"
    );
}
