//! The tries of one request: the first, retries and a hedge.

use crate::{
    control::{RetryVerdict, ServerGrant, ServerRequest, TryReport},
    judge::RequestJudge,
    reply::Refused,
    request_body::RequestBody,
    single_try::{TryContext, TryFailure, run_try},
    try_guard::TryGuard,
};
use futures_util::future::{Either, select};
use kws_protocol::{RefusalReason, RetryReason, RouteSettings, RunState, ServerName, TeamName};
use ntex::{http::Response, io::IoRef};
use std::{collections::BTreeSet, future::Future, pin::pin, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// The tries made so far.
#[derive(Debug, Default)]
pub(crate) struct TryHistory {
    /// Their number.
    pub(crate) tries: u32,
    /// The server of the last one.
    pub(crate) last: Option<ServerName>,
    /// The servers of all.
    servers: BTreeSet<ServerName>,
    /// Whether one of those that failed may have run.
    may_have_run: bool,
}

impl TryHistory {
    fn start(&mut self, grant: &ServerGrant) {
        self.tries += 1;
        self.last = Some(grant.server.clone());
        self.servers.insert(grant.server.clone());
    }

    /// A refusal says "not run" only when no earlier try may have run.
    fn truth(&self, refused: Refused) -> Refused {
        if self.may_have_run {
            return Refused {
                run: RunState::Unknown,
                ..refused
            };
        }
        refused
    }
}

/// What all tries of a request share.
pub(crate) struct TrySeries<'a> {
    /// The judge of the request.
    pub(crate) judge: RequestJudge<'a>,
    /// Its route.
    pub(crate) route: &'a RouteSettings,
    /// Its team.
    pub(crate) team: Option<&'a TeamName>,
    /// Its identifier.
    pub(crate) request_id: &'a str,
    /// The caller's connection.
    pub(crate) caller: &'a IoRef,
    /// When it must have ended.
    pub(crate) deadline: Instant,
    /// Whether the service's servers speak TLS.
    pub(crate) tls: bool,
    /// Its body.
    pub(crate) body: RequestBody,
}

impl TrySeries<'_> {
    /// Tries until there is an answer or no other try is allowed.
    pub(crate) async fn run(&self, history: &mut TryHistory) -> Result<Response, Refused> {
        let mut grant = self.acquire(history).await?;
        loop {
            history.start(&grant);
            let failure = match self.try_hedged(&grant, history).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            history.may_have_run |= failure.refused.run == RunState::Unknown;
            let refused = history.truth(failure.refused);
            if !self.may_retry(failure, history) {
                return Err(refused);
            }
            // Without another server the failed try is what there is to tell.
            grant = self.acquire(history).await.map_err(|_| refused)?;
        }
    }

    /// Waits for a slot, and judges the request again after the wait.
    async fn acquire(&self, history: &TryHistory) -> Result<ServerGrant, Refused> {
        let control = &self.judge.worker.control;
        let request = ServerRequest {
            service: self.route.service.clone(),
            team: self.team.cloned(),
            deadline: self.deadline,
            repeatable: self.is_repeatable(),
            excluded: history.servers.clone(),
        };
        let granted = timeout_at(self.deadline, control.acquire(request)).await;
        let grant = granted
            .unwrap_or(Err(RefusalReason::DeadlineEarly))
            .map_err(Refused::not_run)?;
        if let Err(refused) = self.judge.recheck(self.route, self.team) {
            drop(TryGuard::new(Arc::clone(control), grant.ticket));
            return Err(refused);
        }
        Ok(grant)
    }

    fn is_repeatable(&self) -> bool {
        self.route.is_repeatable(self.judge.parts.method.as_str())
    }

    fn try_on<'t>(
        &'t self,
        grant: &'t ServerGrant,
    ) -> impl Future<Output = Result<Response, TryFailure>> + 't {
        let context = TryContext {
            worker: self.judge.worker,
            parts: self.judge.parts,
            route: self.route,
            team: self.team,
            grant,
            request_id: self.request_id,
            tls: self.tls,
            deadline: self.deadline,
            caller: self.caller,
        };
        run_try(context, self.body.clone())
    }

    /// One try, and a second one beside it when the first is late and the request may be repeated.
    async fn try_hedged(
        &self,
        grant: &ServerGrant,
        history: &mut TryHistory,
    ) -> Result<Response, TryFailure> {
        let mut first = pin!(self.try_on(grant));
        let Some(delay) = self.hedge_delay() else {
            return first.await;
        };
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = sleep(delay) => {}
        }
        if !self.allows(RetryReason::Hedge, RunState::Unknown, history) {
            return first.await;
        }
        let second = tokio::select! {
            biased;
            result = &mut first => return result,
            second = self.acquire(history) => second,
        };
        let Ok(second) = second else {
            return first.await;
        };
        history.start(&second);
        first_answer(first, pin!(self.try_on(&second))).await
    }

    /// The delay of a hedge; absent where a second try must not run beside the first.
    fn hedge_delay(&self) -> Option<Duration> {
        let hedged = self.is_repeatable() && self.body.is_empty();
        self.route.hedge.filter(|_| hedged)
    }

    /// At most once: a request that may have run is sent again only when it may be repeated.
    fn may_retry(&self, failure: TryFailure, history: &TryHistory) -> bool {
        let safe = self.is_repeatable() || failure.refused.run == RunState::NotRun;
        let whole = self.body.is_whole();
        failure
            .retry
            .filter(|_| safe && whole)
            .is_some_and(|reason| self.allows(reason, failure.refused.run, history))
    }

    /// Whether the route and the control allow another try; counts one that is allowed.
    fn allows(&self, reason: RetryReason, run: RunState, history: &TryHistory) -> bool {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if history.tries >= self.route.tries || remaining.is_zero() {
            return false;
        }
        let report = TryReport {
            route: self.route.name.clone(),
            service: self.route.service.clone(),
            reason,
            repeatable: self.is_repeatable(),
            run,
            tries: history.tries,
            remaining,
        };
        let control = &self.judge.worker.control;
        let allowed = control.retry(&report) == RetryVerdict::Retry;
        if allowed {
            control.count_retry(reason);
        }
        allowed
    }
}

/// The first answer of two tries; the other try is given up.
async fn first_answer<A, B>(first: A, second: B) -> Result<Response, TryFailure>
where
    A: Future<Output = Result<Response, TryFailure>> + Unpin,
    B: Future<Output = Result<Response, TryFailure>> + Unpin,
{
    match select(first, second).await {
        Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
        Either::Left((Err(failure), other)) => other.await.map_err(|last| failure.and(last)),
        Either::Right((Err(failure), other)) => other.await.map_err(|last| failure.and(last)),
    }
}
