//! Access log entry of a request: written exactly once, also when the caller disconnects.

use crate::{
    control::{AccessOutcome, AccessRecord},
    refusal::RequestRefusal,
    tries::TryHistory,
    worker::WorkerState,
};
use kws_protocol::{RouteName, ServiceName, TeamName, TreeRevision};
use ntex::http::Request;
use std::{mem, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Status of a request of a team that is over its rate.
const TOO_MANY_REQUESTS: u16 = 429;
/// Lowest status of a request that was not served although it was proper.
const FIRST_SERVER_ERROR: u16 = 500;

/// Data collected for the access record while a request is handled.
#[derive(Debug, Default)]
pub(crate) struct ExchangeLog {
    /// Empty for a head that failed validation, because it may contain a key.
    pub(crate) path: String,
    pub(crate) route: Option<RouteName>,
    pub(crate) team: Option<TeamName>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) revision: Option<TreeRevision>,
    pub(crate) time_limit: Option<Duration>,
    pub(crate) history: TryHistory,
    token_wait: Duration,
}

impl ExchangeLog {
    /// Records the time since `started` as the wait for settings and a token, before any slot.
    pub(crate) fn record_token_wait(&mut self, started: Instant) {
        self.token_wait = started.elapsed();
        self.history.waited = self.token_wait;
    }
}

/// Access log entry; dropping it before a response is recorded logs a disconnect of the caller.
pub(crate) struct AccessEntry<'a> {
    pub(crate) log: ExchangeLog,
    pub(crate) started: Instant,
    worker: &'a WorkerState,
    request_id: String,
    caller: Option<SocketAddr>,
    method: String,
    written: bool,
}

impl<'a> AccessEntry<'a> {
    /// Creates the entry and starts measuring the request's latency.
    pub(crate) fn new(worker: &'a WorkerState, request: &Request, request_id: &str) -> Self {
        Self {
            log: ExchangeLog::default(),
            started: Instant::now(),
            worker,
            request_id: request_id.to_owned(),
            caller: request.peer_addr(),
            method: request.method().to_string(),
            written: false,
        }
    }

    /// Writes the record when the response head is ready to be sent to the caller.
    pub(crate) fn record_response(mut self, status: u16, refused: Option<RequestRefusal>) {
        self.write(AccessOutcome::Responded, status, refused);
    }

    fn write(&mut self, outcome: AccessOutcome, status: u16, refused: Option<RequestRefusal>) {
        self.written = true;
        let log = mem::take(&mut self.log);
        if let Some(route) = &log.route {
            let served = status < FIRST_SERVER_ERROR;
            // A failed probe says nothing about the servers in use.
            let is_counted = outcome == AccessOutcome::Responded
                && status != TOO_MANY_REQUESTS
                && (served || !log.history.probed);
            if is_counted {
                self.worker.routes.record_outcome(route, served);
            }
        }
        self.worker.control.record_access(AccessRecord {
            request_id: mem::take(&mut self.request_id),
            caller: self.caller,
            method: mem::take(&mut self.method),
            path: log.path,
            route: log.route,
            team: log.team,
            service: log.service,
            time_limit: log.time_limit,
            revision: log.revision,
            token_wait: log.token_wait,
            waited: log.history.waited,
            server: log.history.last_server,
            outcome,
            status,
            refusal: refused.map(|refused| refused.reason),
            run: refused.map(|refused| refused.run),
            tries: log.history.tries,
            retry_reasons: log.history.retried,
            latency: self.started.elapsed(),
        });
    }
}

impl Drop for AccessEntry<'_> {
    fn drop(&mut self) {
        if !self.written {
            self.write(AccessOutcome::CallerDisconnected, 0, None);
        }
    }
}
