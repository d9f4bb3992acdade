//! Serves one request: routing, authentication, limits, tries on backend servers, response.

use crate::{
    access_entry::{AccessEntry, ExchangeLog},
    caller_connection::ConnectionHandle,
    head::{read_head, requests_close},
    refusal::{RequestRefusal, refusal_response, set_header},
    request_body::{BodyLimits, RequestBody},
    request_check::{RequestChecks, RouteTarget},
    request_id::truncate_id,
    tracked_body::TrackedBody,
    tries::TrySeries,
    worker::WorkerState,
};
use kws_protocol::{HeaderDialect, RefusalReason, TeamName};
use ntex::{
    http::{ConnectionType, Payload, Request, Response},
    io::IoRef,
};
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// Serves one request. It is cancelled when the caller disconnects.
pub(crate) async fn serve(worker: Rc<WorkerState>, request: Request) -> Response {
    let Some(caller) = request.io().cloned() else {
        return Response::InternalServerError().finish();
    };
    let connection = caller.query::<ConnectionHandle>();
    let exchange = connection.as_ref().map(ConnectionHandle::open_exchange);
    let disconnected = caller.on_disconnect();
    let response = tokio::select! {
        biased;
        () = disconnected => Response::BadRequest().force_close().finish(),
        response = serve_connected(&worker, request, caller, connection.as_ref()) => response,
    };
    response.map_body(|_, body| TrackedBody::wrap(body, exchange))
}

/// Checks the head of a request with `Expect: 100-continue` before the caller sends the body.
/// Returns the refusal, if any.
pub(crate) fn early_refusal(worker: &WorkerState, request: &Request) -> Option<RequestRefusal> {
    let parts = match read_head(request, &worker.dialect) {
        Ok(parts) => parts,
        Err(reason) => return Some(RequestRefusal::not_run(reason)),
    };
    let checks = RequestChecks {
        worker,
        parts: &parts,
    };
    checks.check_head().err()
}

async fn serve_connected(
    worker: &WorkerState,
    mut request: Request,
    caller: IoRef,
    connection: Option<&ConnectionHandle>,
) -> Response {
    let trace_id = worker.ids.next_id();
    let request_id =
        caller_request_id(&request, &worker.dialect).unwrap_or_else(|| trace_id.clone());
    let payload = request.take_payload();
    let mut entry = AccessEntry::new(worker, &request, truncate_id(&request_id));
    let is_closing = connection.is_some_and(ConnectionHandle::has_announced_close);
    let result = match read_head(&request, &worker.dialect) {
        Ok(_) if is_closing => Err(RequestRefusal::not_run(RefusalReason::Stopping)),
        Ok(parts) => {
            entry.log.path.clone_from(&parts.path);
            let mut exchange = Exchange {
                checks: RequestChecks {
                    worker,
                    parts: &parts,
                },
                request_id: &request_id,
                trace_id: &trace_id,
                caller: &caller,
                started: entry.started,
                log: &mut entry.log,
            };
            exchange.run(payload).await
        }
        Err(reason) => Err(RequestRefusal::not_run(reason)),
    };
    let refusal = result.as_ref().err().copied();
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            worker.control.count_refusal(refusal.reason);
            refusal_response(refusal, &request_id, &worker.dialect)
        }
    };
    set_header(
        response.headers_mut(),
        worker.dialect.request_id,
        &request_id,
    );
    if worker.is_draining() || requests_close(request.headers()) {
        if let Some(connection) = connection {
            connection.announce_close();
        }
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    entry.record_response(response.status().as_u16(), refusal);
    response
}

/// The request id given by the caller, if the dialect preserves it.
fn caller_request_id(request: &Request, dialect: &HeaderDialect) -> Option<String> {
    let value = request.headers().get(dialect.request_id)?;
    let text = value.to_str().ok()?;
    (dialect.preserve_request_id && !text.is_empty()).then(|| text.to_owned())
}

struct Exchange<'a> {
    checks: RequestChecks<'a>,
    request_id: &'a str,
    trace_id: &'a str,
    caller: &'a IoRef,
    started: Instant,
    log: &'a mut ExchangeLog,
}

impl Exchange<'_> {
    async fn run(&mut self, payload: Payload) -> Result<Response, RequestRefusal> {
        let view = self.checks.joined_view().await?;
        self.log.revision = Some(view.snapshot.revision);
        self.log.record_token_wait(self.started);
        let route = self.checks.route(&view)?;
        self.log.route = Some(route.name.clone());
        self.checks.check_size(route)?;
        let team = self.checks.authenticate(&view, route)?;
        self.log.team.clone_from(&team);
        let requested = self.checks.parts.caller_timeout.unwrap_or(route.deadline);
        let time_limit = requested.min(route.deadline);
        let deadline = self.started + time_limit;
        self.log.time_limit = Some(time_limit);
        if let Some(team) = &team {
            let admitted = self.admit(team, deadline).await;
            self.log.record_token_wait(self.started);
            admitted?;
            let target = RouteTarget {
                route: &route.name,
                service: None,
            };
            self.checks.recheck(target, Some(team))?;
        }
        let service = route.pick_service(rand::random());
        self.log.service = Some(service.clone());
        let limits = BodyLimits {
            max_bytes: route.max_body,
            idle: route.idle,
        };
        let settings = &view.snapshot.settings;
        let speaks_tls = settings.services.get(service).is_some_and(|one| one.tls);
        let body = RequestBody::new(payload, self.checks.parts.length, limits);
        let series = TrySeries {
            checks: self.checks,
            route,
            service,
            settings,
            team: team.as_ref(),
            request_id: self.request_id,
            trace_id: self.trace_id,
            caller: self.caller,
            deadline,
            objective: route.objective.map(|objective| self.started + objective),
            tls: speaks_tls,
            body: body.clone(),
        };
        tokio::select! {
            biased;
            result = series.run(&mut self.log.history) => result,
            () = broken_off(self.checks.worker, deadline, &body) => {
                Err(RequestRefusal::unknown(RefusalReason::Stopping))
            }
        }
    }

    async fn admit(&self, team: &TeamName, deadline: Instant) -> Result<(), RequestRefusal> {
        let worker = self.checks.worker;
        let token = worker.control.admit(truncate_id(self.request_id), team);
        worker.decided(token, deadline).await
    }
}

/// Waits until a stop that ends before `deadline` breaks off a request at a backend server.
async fn broken_off(worker: &WorkerState, deadline: Instant, body: &RequestBody) {
    let times = worker.stop_before(deadline).await;
    sleep_until(times.arrival).await;
    if body.is_received() {
        sleep_until(times.end).await;
    }
}
