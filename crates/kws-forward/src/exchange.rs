//! The way of one request: route, key, limits, backend server, answer.

use crate::{
    control::{AccessRecord, RetryVerdict, ServerGrant, ServerRequest, TryReport},
    head::{asks_close, read_head},
    judge::RequestJudge,
    reply::{Refused, refusal_response, set_header},
    request_body::{BodyLimits, RequestBody},
    route::is_repeatable,
    single_try::{TryContext, TryFailure, run_try},
    try_guard::TryGuard,
    worker::WorkerState,
};
use kws_protocol::{RouteSettings, RunState, ServerName, TeamName};
use ntex::{
    http::{ConnectionType, Payload, Request, Response},
    io::IoRef,
};
use std::{collections::BTreeSet, rc::Rc, sync::Arc};
use tokio::time::Instant;

/// What is known of a request for its record.
#[derive(Debug, Default)]
struct ExchangeLog {
    route: Option<kws_protocol::RouteName>,
    team: Option<TeamName>,
    server: Option<ServerName>,
    tries: u32,
}

/// Serves one request; a caller that goes away ends it.
pub(crate) async fn serve(worker: Rc<WorkerState>, request: Request) -> Response {
    let Some(caller) = request.io().cloned() else {
        return Response::InternalServerError().finish();
    };
    let gone = caller.on_disconnect();
    tokio::select! {
        biased;
        () = gone => Response::BadRequest().force_close().finish(),
        response = serve_connected(&worker, request, caller) => response,
    }
}

/// The refusal of a request whose caller waits before it sends the body, as far as the head tells.
pub(crate) fn refused_early(worker: &WorkerState, request: &Request) -> Option<Refused> {
    let parts = match read_head(request) {
        Ok(parts) => parts,
        Err(reason) => return Some(Refused::not_run(reason)),
    };
    let judge = RequestJudge {
        worker,
        parts: &parts,
    };
    judge.judge().err()
}

async fn serve_connected(worker: &WorkerState, mut request: Request, caller: IoRef) -> Response {
    let started = Instant::now();
    let request_id = worker.ids.next_id();
    let payload = request.take_payload();
    let mut log = ExchangeLog::default();
    let result = match read_head(&request) {
        Ok(parts) => {
            let mut exchange = Exchange {
                judge: RequestJudge {
                    worker,
                    parts: &parts,
                },
                request_id: &request_id,
                caller,
                started,
                may_have_run: false,
                log: &mut log,
            };
            let result = exchange.run(payload).await;
            result.map_err(|refused| exchange.with_history(refused))
        }
        Err(reason) => Err(Refused::not_run(reason)),
    };
    let refusal = result.as_ref().err().map(|refused| refused.reason);
    let mut response = match result {
        Ok(response) => response,
        Err(refused) => {
            worker.control.count_refusal(refused.reason);
            refusal_response(refused, &request_id)
        }
    };
    set_header(response.headers_mut(), "x-request-id", &request_id);
    if worker.is_draining() || asks_close(request.headers()) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    worker.control.access_log(AccessRecord {
        request_id,
        caller: request.peer_addr(),
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        route: log.route,
        team: log.team,
        server: log.server,
        status: response.status().as_u16(),
        refusal,
        tries: log.tries,
        latency: started.elapsed(),
    });
    response
}

struct Exchange<'a> {
    judge: RequestJudge<'a>,
    request_id: &'a str,
    caller: IoRef,
    started: Instant,
    may_have_run: bool,
    log: &'a mut ExchangeLog,
}

impl Exchange<'_> {
    async fn run(&mut self, payload: Payload) -> Result<Response, Refused> {
        let snapshot = self.judge.current_snapshot()?;
        let route = self.judge.route(&snapshot)?;
        self.log.route = Some(route.name.clone());
        self.judge.check_size(route)?;
        let team = self.judge.authenticate(&snapshot, route)?;
        self.log.team.clone_from(&team);
        if let Some(team) = &team {
            self.admit(team).await?;
            self.judge.recheck(route, Some(team))?;
        }
        self.forward(route, team, payload).await
    }

    async fn admit(&self, team: &TeamName) -> Result<(), Refused> {
        let admitted = self.judge.worker.control.admit(team).await;
        admitted.map_err(|refusal| Refused {
            retry_after: refusal.retry_after,
            ..Refused::not_run(refusal.reason)
        })
    }

    /// As [`RequestJudge::recheck`]; the grant of a refused request is handed back.
    fn recheck_granted(
        &self,
        route: &RouteSettings,
        team: Option<&TeamName>,
        grant: &ServerGrant,
    ) -> Result<(), Refused> {
        let checked = self.judge.recheck(route, team);
        if checked.is_err() {
            drop(TryGuard::new(
                Arc::clone(&self.judge.worker.control),
                grant.ticket,
            ));
        }
        checked
    }

    /// A refusal says "not run" only when no earlier try may have run.
    fn with_history(&self, refused: Refused) -> Refused {
        if self.may_have_run {
            return Refused {
                run: RunState::Unknown,
                ..refused
            };
        }
        refused
    }

    async fn forward(
        &mut self,
        route: &RouteSettings,
        team: Option<TeamName>,
        payload: Payload,
    ) -> Result<Response, Refused> {
        let limits = BodyLimits {
            max_bytes: route.max_body,
            idle: route.idle,
        };
        let body = RequestBody::new(payload, self.judge.parts.length, limits);
        let mut excluded = BTreeSet::new();
        loop {
            let grant = self.acquire(route, team.as_ref(), &excluded).await?;
            self.recheck_granted(route, team.as_ref(), &grant)?;
            self.log.server = Some(grant.server.clone());
            self.log.tries += 1;
            excluded.insert(grant.server.clone());
            let context = self.try_context(route, team.as_ref(), &grant);
            let failure = match run_try(context, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.may_have_run |= failure.refused.run == RunState::Unknown;
            if !self.may_retry(route, &body, failure) {
                return Err(failure.refused);
            }
        }
    }

    async fn acquire(
        &self,
        route: &RouteSettings,
        team: Option<&TeamName>,
        excluded: &BTreeSet<ServerName>,
    ) -> Result<ServerGrant, Refused> {
        let request = ServerRequest {
            service: route.service.clone(),
            team: team.cloned(),
            deadline: self.started + route.deadline,
            repeatable: is_repeatable(route, self.judge.parts.method.as_str()),
            excluded: excluded.clone(),
        };
        let granted = self.judge.worker.control.acquire(request).await;
        granted.map_err(Refused::not_run)
    }

    fn try_context<'t>(
        &'t self,
        route: &'t RouteSettings,
        team: Option<&'t TeamName>,
        grant: &'t ServerGrant,
    ) -> TryContext<'t> {
        TryContext {
            worker: self.judge.worker,
            parts: self.judge.parts,
            route,
            team,
            grant,
            request_id: self.request_id,
            deadline: self.started + route.deadline,
            caller: &self.caller,
        }
    }

    /// At most once: a request that may have run is sent again only when it may be repeated.
    fn may_retry(&self, route: &RouteSettings, body: &RequestBody, failure: TryFailure) -> bool {
        let Some(reason) = failure.retry else {
            return false;
        };
        let repeatable = is_repeatable(route, self.judge.parts.method.as_str());
        let safe = repeatable || failure.refused.run == RunState::NotRun;
        let deadline = self.started + route.deadline;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !safe || !body.is_whole() || self.log.tries >= route.tries || remaining.is_zero() {
            return false;
        }
        let report = TryReport {
            route: route.name.clone(),
            service: route.service.clone(),
            reason,
            repeatable,
            run: failure.refused.run,
            tries: self.log.tries,
            remaining,
        };
        let retried = self.judge.worker.control.retry(&report) == RetryVerdict::Retry;
        if retried {
            self.judge.worker.control.count_retry(reason);
        }
        retried
    }
}
