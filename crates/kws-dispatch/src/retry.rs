//! Decides whether a failed try is retried, and otherwise what the caller is told.

use kws_protocol::{RefusalReason, RetryReason, RouteSettings, RunState};
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of retries that a service can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Number of retries that a service may make before its first tries have added any.
const INITIAL_RETRIES: f64 = 3.0;

/// With less time than this left before the deadline, a retry is not worth its load.
const MIN_TRY_TIME: Duration = Duration::from_millis(2);

/// Tries of one request that are replaced because they reached no server. Each may take a connect
/// timeout.
const MAX_REPLACEMENTS: u32 = 3;

/// How a try failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryFailure {
    /// A response arrived, but it was incomplete or invalid.
    BadAnswer,
    /// The connection could not be established, so no byte of the request was sent.
    ConnectFailed,
    /// The connection was lost after the first byte of the request was sent.
    LostAfterWrite,
    /// The server reported, by the agreed header, that it did not execute the request.
    ServerNotRun,
    /// The server responded with an error.
    ServerError,
    /// No response arrived in time after the first byte of the request was sent.
    Timeout,
}

impl TryFailure {
    /// Whether the failure proves that the request was not executed.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::ServerNotRun)
    }

    fn retry_reason(self) -> RetryReason {
        match self {
            Self::BadAnswer => RetryReason::BadAnswer,
            Self::ConnectFailed => RetryReason::ConnectFailed,
            Self::LostAfterWrite | Self::Timeout => RetryReason::ConnectionLost,
            Self::ServerError => RetryReason::ServerError,
            Self::ServerNotRun => RetryReason::ServerNotRun,
        }
    }

    fn refusal_reason(self) -> RefusalReason {
        match self {
            Self::BadAnswer | Self::ServerError => RefusalReason::BadAnswer,
            Self::ConnectFailed | Self::ServerNotRun => RefusalReason::NoServer,
            Self::LostAfterWrite => RefusalReason::ConnectionLost,
            Self::Timeout => RefusalReason::DeadlinePassed,
        }
    }
}

/// A failed try and the state of its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedTry {
    /// How it failed.
    pub failure: TryFailure,
    /// Tries so far, including this one, without those in [`Self::unreached`].
    pub tries: u32,
    /// Tries so far that reached no server, including this one.
    pub unreached: u32,
    /// Whether an earlier try or a hedge may have been executed.
    pub may_have_run: bool,
    /// Whether the complete body can be sent again.
    pub body_resendable: bool,
    /// When the response must be complete.
    pub deadline: Instant,
}

impl FailedTry {
    /// What the caller is told if the try is not retried.
    pub fn refusal(&self, now: Instant) -> (RefusalReason, RunState) {
        let not_run = self.failure.proves_not_run() && !self.may_have_run;
        let expired = now + MIN_TRY_TIME > self.deadline;
        let reason = if expired && not_run {
            RefusalReason::DeadlineEarly
        } else {
            self.failure.refusal_reason()
        };
        let state = if not_run {
            RunState::NotRun
        } else {
            RunState::Unknown
        };
        (reason, state)
    }
}

/// Whether a failed try is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry, counted under this reason.
    Retry(RetryReason),
    /// Refuse the request with this reason and state.
    Stop(RefusalReason, RunState),
}

/// Token bucket of retries of one service on this host. Each first try adds a fraction of a token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a budget to which each first try adds `ratio` of a retry, between 0 and 1.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: if ratio > 0.0 { INITIAL_RETRIES } else { 0.0 },
            max_tokens: MAX_SAVED_RETRIES,
        }
    }

    /// Creates a budget that holds at most `burst` retries and starts full.
    pub fn with_burst(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            tokens: if ratio > 0.0 { burst } else { 0.0 },
            max_tokens: burst,
        }
    }

    /// Applies the ratio of newer settings. Saved retries are kept, unless the ratio is 0.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
        if ratio <= 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Records a first try.
    pub fn record_first_try(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }
}

/// A budget that retries are charged to.
pub trait RetrySource {
    /// Takes one retry from the budget. Returns `false` if none is left.
    fn spend(&mut self) -> bool;
}

impl RetrySource for RetryBudget {
    fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The retries and hedges that a route allows for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    repeatable: bool,
    tries: u32,
    hedge: Option<Duration>,
}

impl RetryPolicy {
    /// Creates the policy of `route` for a request with `method`.
    pub fn new(route: &RouteSettings, method: &str) -> Self {
        Self {
            repeatable: route.is_repeatable(method),
            tries: route.tries,
            hedge: route.hedge,
        }
    }

    /// Whether the request may be executed more than once.
    pub fn repeatable(&self) -> bool {
        self.repeatable
    }

    /// Delay after which a hedge may be sent; `None` if hedging is not allowed.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.hedge.filter(|_| self.repeatable && self.tries > 1)
    }

    /// Whether a hedge may be sent now. If so, it is charged to the budget.
    pub fn hedge(&self, tries: u32, source: &mut dyn RetrySource) -> bool {
        self.hedge_delay().is_some() && tries < self.tries && source.spend()
    }

    /// Decides whether a failed try is retried. A retry is charged to the budget.
    pub fn decide(
        &self,
        failed: &FailedTry,
        source: &mut dyn RetrySource,
        now: Instant,
    ) -> RetryDecision {
        if self.replaces(failed, now) || self.allows_retry(failed, now) && source.spend() {
            return RetryDecision::Retry(failed.failure.retry_reason());
        }
        let (reason, state) = failed.refusal(now);
        RetryDecision::Stop(reason, state)
    }

    /// Whether another server replaces the one that was not reached. No server got the request, so
    /// this counts neither as a try of the route nor against the retry budget.
    fn replaces(&self, failed: &FailedTry, now: Instant) -> bool {
        let safe = self.repeatable || !failed.may_have_run;
        failed.failure == TryFailure::ConnectFailed
            && safe
            && failed.unreached <= MAX_REPLACEMENTS
            && failed.tries < self.tries
            && failed.body_resendable
            && now + MIN_TRY_TIME <= failed.deadline
    }

    fn allows_retry(&self, failed: &FailedTry, now: Instant) -> bool {
        let unreached = failed.failure == TryFailure::ConnectFailed;
        let safe = self.repeatable || (failed.failure.proves_not_run() && !failed.may_have_run);
        !unreached
            && safe
            && failed.body_resendable
            && failed.tries < self.tries
            && now + MIN_TRY_TIME <= failed.deadline
    }
}
