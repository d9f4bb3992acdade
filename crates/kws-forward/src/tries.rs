//! The tries of one request: the first, retries and a hedge.

use crate::{
    control::{ForwardControl, RetryVerdict, ServerGrant, ServerRequest},
    judge::{RequestJudge, RoutePlace},
    reply::Refused,
    request_body::RequestBody,
    request_id::logged_name,
    single_try::{TryContext, TryEnd, run_try},
    try_guard::TryGuard,
};
use futures_util::future::{Either, select};
use kws_dispatch::{FailedTry, RetryDecision, RetryPolicy, RetrySource, TryFailure};
use kws_protocol::{
    FleetSettings, RefusalReason, RetryReason, RouteSettings, RunState, ServerName, ServiceName,
    TeamName,
};
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
    /// The time spent waiting for a token and for slots.
    pub(crate) waited: Duration,
    /// Why there were tries after the first.
    pub(crate) retried: Vec<RetryReason>,
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
    /// The service that runs it.
    pub(crate) service: &'a ServiceName,
    /// The settings in force when it came.
    pub(crate) settings: &'a FleetSettings,
    /// Its team.
    pub(crate) team: Option<&'a TeamName>,
    /// Its identifier.
    pub(crate) request_id: &'a str,
    /// The daemon's own identifier of it, which names its trace.
    pub(crate) trace_id: &'a str,
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
            let end = match self.try_hedged(&grant, history).await {
                Ok(response) if self.is_repeated(&response, history) => {
                    // Without another server the server's own error is what there is to tell.
                    history.may_have_run = true;
                    match self.acquire(history).await {
                        Ok(next) => grant = next,
                        Err(_) => return Ok(response),
                    }
                    continue;
                }
                Ok(response) => return Ok(response),
                Err(end) => end,
            };
            let refused = self.judge_end(end, history)?;
            history.may_have_run |= end.may_have_run();
            // Without another server the failed try is what there is to tell.
            grant = self.acquire(history).await.map_err(|_| refused)?;
        }
    }

    /// Whether an answer is a server's own error that another server may do better.
    fn is_repeated(&self, response: &Response, history: &mut TryHistory) -> bool {
        if !self.is_repeatable() || !response.status().is_server_error() {
            return false;
        }
        let failed = FailedTry {
            failure: TryFailure::ServerError,
            tries: history.tries,
            may_have_run: true,
            body_intact: self.body.is_whole(),
            deadline: self.deadline,
        };
        let decision = self
            .policy()
            .decide(&failed, &mut self.budget(), Instant::now());
        if let RetryDecision::Retry(reason) = decision {
            self.note_retry(reason, history);
            return true;
        }
        false
    }

    fn note_retry(&self, reason: RetryReason, history: &mut TryHistory) {
        self.judge.worker.control.count_retry(reason);
        history.retried.push(reason);
    }

    /// The refusal that stands in when the retry that is allowed can't be made.
    ///
    /// # Errors
    /// The refusal, when no other try is allowed.
    fn judge_end(&self, end: TryEnd, history: &mut TryHistory) -> Result<Refused, Refused> {
        let (failure, beside) = match end {
            TryEnd::Final(refused) => return Err(history.truth(refused)),
            TryEnd::Failed {
                failure,
                may_have_run,
            } => (failure, may_have_run),
        };
        let failed = FailedTry {
            failure,
            tries: history.tries,
            may_have_run: history.may_have_run || beside,
            body_intact: self.body.is_whole(),
            deadline: self.deadline,
        };
        let now = Instant::now();
        match self.policy().decide(&failed, &mut self.budget(), now) {
            RetryDecision::Retry(reason) => {
                self.note_retry(reason, history);
                let (reason, run) = failed.refusal(now);
                Ok(refused(reason, run))
            }
            RetryDecision::Stop(reason, run) => Err(refused(reason, run)),
        }
    }

    /// Waits for a slot, and judges the request again after the wait.
    async fn acquire(&self, history: &mut TryHistory) -> Result<ServerGrant, Refused> {
        let asked = Instant::now();
        let granted = self.wait_for_slot(history).await;
        history.waited += asked.elapsed();
        granted
    }

    async fn wait_for_slot(&self, history: &TryHistory) -> Result<ServerGrant, Refused> {
        let control = &self.judge.worker.control;
        let team = self.team.and_then(|team| self.settings.teams.get(team));
        let priority = team.and_then(|team| team.priority);
        let request = ServerRequest {
            request_id: logged_name(self.request_id).to_owned(),
            service: self.service.clone(),
            team: self.team.cloned(),
            deadline: self.deadline,
            priority: priority.unwrap_or(self.route.priority),
            repeatable: self.is_repeatable(),
            repeat: history.tries > 0,
            excluded: history.servers.clone(),
        };
        let granted = timeout_at(self.deadline, control.acquire(request)).await;
        let grant = granted
            .unwrap_or(Err(RefusalReason::DeadlineEarly.into()))
            .map_err(Refused::from)?;
        let place = RoutePlace {
            route: &self.route.name,
            service: Some(self.service),
        };
        if let Err(refused) = self.judge.recheck(place, self.team) {
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
    ) -> impl Future<Output = Result<Response, TryEnd>> + 't {
        let context = TryContext {
            worker: self.judge.worker,
            parts: self.judge.parts,
            route: self.route,
            team: self.team,
            grant,
            request_id: self.request_id,
            trace_id: self.trace_id,
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
    ) -> Result<Response, TryEnd> {
        let mut first = pin!(self.try_on(grant));
        let Some(delay) = self.hedge_delay() else {
            return first.await;
        };
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = sleep(delay) => {}
        }
        if !self.policy().hedge(history.tries, &mut self.budget()) {
            return first.await;
        }
        self.note_retry(RetryReason::Hedge, history);
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
        self.policy().hedge_after().filter(|_| self.body.is_empty())
    }

    fn policy(&self) -> RetryPolicy {
        RetryPolicy::new(self.route, self.judge.parts.method.as_str())
    }

    fn budget(&self) -> ServiceBudget<'_> {
        ServiceBudget {
            control: &*self.judge.worker.control,
            service: self.service,
        }
    }
}

/// The retry budget of a service, kept by the control.
struct ServiceBudget<'a> {
    control: &'a dyn ForwardControl,
    service: &'a ServiceName,
}

impl RetrySource for ServiceBudget<'_> {
    fn spend(&mut self) -> bool {
        self.control.retry(self.service) == RetryVerdict::Retry
    }
}

fn refused(reason: RefusalReason, run: RunState) -> Refused {
    match run {
        RunState::NotRun => Refused::not_run(reason),
        RunState::Unknown => Refused::unknown(reason),
    }
}

/// The first answer of two tries; the other try is given up.
async fn first_answer<A, B>(first: A, second: B) -> Result<Response, TryEnd>
where
    A: Future<Output = Result<Response, TryEnd>> + Unpin,
    B: Future<Output = Result<Response, TryEnd>> + Unpin,
{
    match select(first, second).await {
        Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
        Either::Left((Err(end), other)) => other.await.map_err(|last| end.and(last)),
        Either::Right((Err(end), other)) => other.await.map_err(|last| end.and(last)),
    }
}
