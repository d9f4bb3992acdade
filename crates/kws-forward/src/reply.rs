//! Answers that the daemon gives by itself.

use kws_protocol::{RefusalReason, RunState};
use ntex::http::{
    Response, StatusCode,
    body::Body,
    header::{HeaderName, HeaderValue},
};
use serde::Serialize;
use std::time::Duration;

/// A request that ends without a backend server's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refused {
    /// Why.
    pub(crate) reason: RefusalReason,
    /// Whether the request may have run.
    pub(crate) run: RunState,
    /// When another attempt may succeed.
    pub(crate) retry_after: Option<Duration>,
}

impl Refused {
    /// A refusal of a request that certainly did not run.
    pub(crate) fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    pub(crate) fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            run: RunState::Unknown,
            retry_after: None,
        }
    }
}

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct WireRefusal<'a> {
    reason: &'static str,
    run: &'static str,
    request_id: &'a str,
}

/// The answer for a refusal.
pub(crate) fn refusal_response(refused: Refused, request_id: &str) -> Response {
    let status =
        StatusCode::from_u16(refused.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder
        .set_header("content-type", "application/json")
        .set_header("cache-control", "no-store")
        .set_header("knapweedseam-reason", refused.reason.as_str())
        .set_header("knapweedseam-run", refused.run.as_str())
        .set_header("x-request-id", request_id);
    if let Some(seconds) = retry_seconds(refused) {
        builder.set_header("retry-after", seconds.to_string().as_str());
    }
    builder.body(Body::from(refusal_body(refused, request_id)))
}

fn refusal_body(refused: Refused, request_id: &str) -> String {
    let refusal = WireRefusal {
        reason: refused.reason.as_str(),
        run: refused.run.as_str(),
        request_id,
    };
    serde_json::to_string(&refusal).unwrap_or_default()
}

/// Whole seconds, rounded up: a caller that waits this long does not come too early.
fn retry_seconds(refused: Refused) -> Option<u64> {
    match (refused.retry_after, refused.reason) {
        (Some(wait), _) => Some((wait.as_millis().div_ceil(1000) as u64).max(1)),
        (None, reason) if is_transient(reason) && refused.run == RunState::NotRun => Some(1),
        (None, _) => None,
    }
}

fn is_transient(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::DeadlineEarly
            | RefusalReason::NoServer
            | RefusalReason::NotCurrent
            | RefusalReason::QueueFull
            | RefusalReason::RateExceeded
            | RefusalReason::Stopping
    )
}

/// Sets a header whose value is known to be valid text.
pub(crate) fn set_header(headers: &mut ntex::http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
