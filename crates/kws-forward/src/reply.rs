//! Answers that the daemon gives by itself.

use crate::control::Refusal;
use kws_protocol::{HeaderDialect, RefusalReason, RunState};
use ntex::http::{
    Response, StatusCode,
    body::Body,
    header::{HeaderName, HeaderValue},
};
use serde::Serialize;
use std::time::Duration;

/// What is told a caller whose refusal has no better advice.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);

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

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            retry_after: refusal.retry_after,
            ..Self::not_run(refusal.reason)
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
pub(crate) fn refusal_response(
    refused: Refused,
    request_id: &str,
    dialect: &HeaderDialect,
) -> Response {
    let status =
        StatusCode::from_u16(refusal_status(refused)).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder
        .set_header("content-type", "application/json")
        .set_header("cache-control", "no-store")
        .set_header("knapweedseam-reason", refused.reason.as_str())
        .set_header("knapweedseam-run", refused.run.as_str())
        .set_header(dialect.request_id, request_id);
    if let Some(text) = retry_text(refused, dialect) {
        builder.set_header("retry-after", text.as_str());
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

/// The statuses 429 and 503 promise that the request did not run.
fn refusal_status(refused: Refused) -> u16 {
    match (refused.reason.status(), refused.run) {
        (429 | 503, RunState::Unknown) => 502,
        (status, _) => status,
    }
}

/// Seconds, rounded up: a caller that waits this long does not come too early.
fn retry_text(refused: Refused, dialect: &HeaderDialect) -> Option<String> {
    let transient = is_transient(refused.reason) && refused.run == RunState::NotRun;
    let wait = refused.retry_after.or(transient.then_some(DEFAULT_RETRY))?;
    if dialect.fractional_retry_after {
        let millis = wait.as_micros().div_ceil(1_000).max(1);
        return Some(format!("{}.{:03}", millis / 1_000, millis % 1_000));
    }
    Some(wait.as_millis().div_ceil(1_000).max(1).to_string())
}

fn is_transient(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::DeadlineEarly
            | RefusalReason::NoServer
            | RefusalReason::NotCurrent
            | RefusalReason::QueueFull
            | RefusalReason::RateExceeded
            | RefusalReason::RetryBudget
            | RefusalReason::RouteChanged
            | RefusalReason::Stopping
    )
}

/// Sets a header whose value is known to be valid text.
pub(crate) fn set_header(headers: &mut ntex::http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
