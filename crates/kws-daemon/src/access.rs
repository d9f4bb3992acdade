//! The access log: one JSON line a request.

use kws_forward::AccessRecord;
use kws_protocol::{RefusalReason, RouteName, ServerName, ServiceName, TeamName};

/// The log target of access lines.
pub(crate) const ACCESS_TARGET: &str = "access";

/// Writes one line; a field that has no value is empty.
pub(crate) fn write_access(record: &AccessRecord) {
    let caller = record
        .caller
        .map_or(String::new(), |caller| caller.to_string());
    log::info!(
        target: ACCESS_TARGET,
        request_id = record.request_id.as_str(),
        caller = caller.as_str(),
        method = record.method.as_str(),
        path = record.path.as_str(),
        route = record.route.as_ref().map_or("", RouteName::as_str),
        team = record.team.as_ref().map_or("", TeamName::as_str),
        service = record.service.as_ref().map_or("", ServiceName::as_str),
        limit_ms = record.time_limit.map_or(0, |limit| limit.as_millis() as u64),
        waited_us = record.waited.as_micros() as u64,
        server = record.server.as_ref().map_or("", ServerName::as_str),
        status = record.status,
        refusal = record.refusal.map_or("", RefusalReason::as_str),
        tries = record.tries,
        latency_us = record.latency.as_micros() as u64;
        "request"
    );
}
