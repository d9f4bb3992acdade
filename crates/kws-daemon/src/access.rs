//! The access log: one JSON line a request.

use kws_forward::AccessRecord;

/// The log target of access lines.
pub(crate) const ACCESS_TARGET: &str = "access";

/// Writes one line.
pub(crate) fn write_access(record: &AccessRecord) {
    log::info!(
        target: ACCESS_TARGET,
        request_id = record.request_id.as_str(),
        caller = record.caller.map(|caller| caller.to_string()),
        method = record.method.as_str(),
        path = record.path.as_str(),
        route = record.route.as_ref().map(ToString::to_string),
        team = record.team.as_ref().map(ToString::to_string),
        server = record.server.as_ref().map(ToString::to_string),
        status = record.status,
        refusal = record.refusal.map(kws_protocol::RefusalReason::as_str),
        tries = record.tries,
        latency_us = record.latency.as_micros() as u64;
        "request"
    );
}
