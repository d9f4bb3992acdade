//! One try of a request on one backend server.

use crate::{
    answer::read_answer,
    answer_body::AnswerTimes,
    control::{ServerGrant, TryClass},
    head::RequestParts,
    reply::{Refused, set_header},
    request_body::RequestBody,
    request_id::trace_parent,
    try_guard::TryGuard,
    upstream::{SendError, UpstreamAddress},
    worker::WorkerState,
};
use kws_dispatch::TryFailure;
use kws_protocol::{RouteSettings, RunState, TeamName};
use ntex::{
    client::{Client, ClientRequest, ClientResponse},
    http::{Response, body::Body},
    io::IoRef,
};
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// What a try needs.
#[derive(Clone, Copy)]
pub(crate) struct TryContext<'a> {
    /// The worker.
    pub(crate) worker: &'a WorkerState,
    /// The request.
    pub(crate) parts: &'a RequestParts,
    /// Its route.
    pub(crate) route: &'a RouteSettings,
    /// Its team.
    pub(crate) team: Option<&'a TeamName>,
    /// The server.
    pub(crate) grant: &'a ServerGrant,
    /// Its identifier.
    pub(crate) request_id: &'a str,
    /// The daemon's own identifier of it, which names its trace.
    pub(crate) trace_id: &'a str,
    /// Whether the server speaks TLS.
    pub(crate) tls: bool,
    /// When it must have ended.
    pub(crate) deadline: Instant,
    /// The caller's connection.
    pub(crate) caller: &'a IoRef,
}

impl TryContext<'_> {
    /// Where the server is.
    pub(crate) fn upstream(&self) -> UpstreamAddress {
        UpstreamAddress {
            address: self.grant.address,
            tls: self.tls,
        }
    }
}

/// A try without an answer for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TryEnd {
    /// No other try can help.
    Final(Refused),
    /// Another try may follow.
    Failed {
        /// How the try failed.
        failure: TryFailure,
        /// Whether a try beside it may have run.
        may_have_run: bool,
    },
}

impl TryEnd {
    /// The end of a try that had no other beside it.
    pub(crate) fn failed(failure: TryFailure) -> Self {
        Self::Failed {
            failure,
            may_have_run: false,
        }
    }

    /// Whether a request that ended so may have run.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::Final(refused) => refused.run == RunState::Unknown,
            Self::Failed {
                failure,
                may_have_run,
            } => may_have_run || !failure.proves_not_run(),
        }
    }

    /// Two ends: the last one, which may have run when either may have.
    pub(crate) fn and(self, last: Self) -> Self {
        if !self.may_have_run() {
            return last;
        }
        match last {
            Self::Final(refused) => Self::Final(Refused {
                run: RunState::Unknown,
                ..refused
            }),
            Self::Failed { failure, .. } => Self::Failed {
                failure,
                may_have_run: true,
            },
        }
    }
}

/// Sends the request and reads the head of the answer.
pub(crate) async fn run_try(
    context: TryContext<'_>,
    body: RequestBody,
) -> Result<Response, TryEnd> {
    let mut guard = TryGuard::new(Arc::clone(&context.worker.control), context.grant.ticket);
    let sent = timeout_at(context.deadline, send(context, body.clone())).await;
    match sent {
        Ok(Ok(answer)) => {
            let times = AnswerTimes {
                deadline: context.deadline,
                idle: context.route.idle,
            };
            read_answer(context, &answer, times, guard)
        }
        Ok(Err(error)) => Err(send_failure(error, &body, &mut guard)),
        Err(_) => {
            context.worker.pool.doubt(context.upstream());
            guard.finish(TryClass::Late);
            Err(TryEnd::failed(TryFailure::Timeout))
        }
    }
}

fn send_failure(error: SendError, body: &RequestBody, guard: &mut TryGuard) -> TryEnd {
    if let Some(reason) = body.failure() {
        guard.finish(TryClass::Cancelled);
        return TryEnd::Final(Refused::unknown(reason));
    }
    let (class, failure) = match error {
        SendError::Connect => (TryClass::ConnectFailed, TryFailure::ConnectFailed),
        SendError::Lost => (TryClass::Bad, TryFailure::LostAfterWrite),
        SendError::Malformed => (TryClass::Bad, TryFailure::BadAnswer),
    };
    guard.finish(class);
    TryEnd::failed(failure)
}

async fn send(context: TryContext<'_>, body: RequestBody) -> Result<ClientResponse, SendError> {
    let address = context.grant.address;
    let repeatable = context.route.is_repeatable(context.parts.method.as_str());
    let client = context
        .worker
        .pool
        .client(context.upstream(), repeatable)
        .await;
    let mut request = build_request(context, &client.ok_or(SendError::Connect)?);
    if !repeatable && !context.worker.pool.names_requests(address) {
        // Nothing would tell a late answer on a reused connection from the answer to this request.
        request = request.force_close();
    }
    let body = if body.is_absent() {
        Body::None
    } else {
        Body::from_message(body)
    };
    let answer = request.send_body(body).await;
    answer.map_err(|error| SendError::classify(&error))
}

fn build_request(context: TryContext<'_>, client: &Client) -> ClientRequest {
    let parts = context.parts;
    let url = context.upstream().url(&parts.target());
    let mut request = client
        .request(parts.method.clone(), url.as_str())
        .no_decompress();
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        headers.append(name.clone(), value.clone());
    }
    set_header(headers, "host", &parts.authority);
    let dialect = context.worker.dialect;
    set_header(headers, dialect.request_id, context.request_id);
    let trace = trace_parent(parts.trace.as_deref(), context.trace_id);
    set_header(headers, "traceparent", &trace);
    if let Some(team) = context.team {
        set_header(headers, dialect.team, team.as_str());
    }
    if let Some(name) = dialect.expected_server {
        set_header(headers, name, context.grant.server.as_str());
    }
    if let Some(caller) = parts.caller {
        set_header(headers, "x-forwarded-for", &caller.ip().to_string());
    }
    let left = context.deadline.saturating_duration_since(Instant::now());
    set_header(headers, dialect.deadline_ms, &left.as_millis().to_string());
    request
}
