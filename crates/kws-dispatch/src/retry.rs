//! Whether a failed try is followed by another, and what the caller is told when not.

use kws_protocol::{RefusalReason, RetryReason, RouteSettings, RunState};
use std::time::Duration;
use tokio::time::Instant;

/// Retries that a service may save up, in requests.
const BUDGET_CAP: f64 = 10.0;

/// Retries that a service may make before its first requests have earned any, in requests.
const BUDGET_START: f64 = 3.0;

/// With less than this left before the deadline, another try is not worth its load.
const SHORTEST_TRY: Duration = Duration::from_millis(2);

/// How one try failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryFailure {
    /// An answer came, but it broke off or broke a rule.
    BadAnswer,
    /// No connection could be made: not a byte of the request left.
    ConnectFailed,
    /// The connection was lost after the first byte of the request was written.
    LostAfterWrite,
    /// The server said in the agreed form that it did not run the request.
    ServerNotRun,
    /// The server answered with an error of its own.
    ServerError,
    /// No answer came in time after the first byte was written.
    Timeout,
}

impl TryFailure {
    /// Whether the failure proves that the request did not run.
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

/// A failed try and what is known of its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedTry {
    /// How it failed.
    pub failure: TryFailure,
    /// Tries made so far, this one included.
    pub tries: u32,
    /// Whether an earlier try, or a hedge, may have run.
    pub may_have_run: bool,
    /// Whether the whole body can still be sent again.
    pub body_intact: bool,
    /// When the answer must be whole.
    pub deadline: Instant,
}

impl FailedTry {
    /// What the caller is told when no further try is made.
    pub fn refusal(&self, now: Instant) -> (RefusalReason, RunState) {
        let not_run = self.failure.proves_not_run() && !self.may_have_run;
        let expired = now + SHORTEST_TRY > self.deadline;
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

/// What follows a failed try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again, counted under this reason.
    Retry(RetryReason),
    /// Tell the caller this.
    Stop(RefusalReason, RunState),
}

/// Retries that one service may still make on this host; each first try earns a share of one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    cap: f64,
}

impl RetryBudget {
    /// A budget that earns `share` of a retry, between 0 and 1, for each first try.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: if share > 0.0 { BUDGET_START } else { 0.0 },
            cap: BUDGET_CAP,
        }
    }

    /// A budget that starts with, and saves up at most, `burst` retries.
    pub fn with_burst(share: f64, burst: f64) -> Self {
        Self {
            share,
            tokens: if share > 0.0 { burst } else { 0.0 },
            cap: burst,
        }
    }

    /// Takes the share of a newer tree; what was saved up stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        if share <= 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }
}

/// Where retries are taken from.
pub trait RetrySource {
    /// Takes one retry; false when none is left.
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

/// What a route allows of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    repeatable: bool,
    tries: u32,
    hedge: Option<Duration>,
}

impl RetryPolicy {
    /// The policy of `route` for a request of `method`.
    pub fn new(route: &RouteSettings, method: &str) -> Self {
        Self {
            repeatable: route.is_repeatable(method),
            tries: route.tries,
            hedge: route.hedge,
        }
    }

    /// Whether the request may run more than once.
    pub fn repeatable(&self) -> bool {
        self.repeatable
    }

    /// How long to wait before a second copy is sent; `None` when none may be.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.hedge.filter(|_| self.repeatable && self.tries > 1)
    }

    /// Whether a hedge may be sent now; it spends from the budget when it may.
    pub fn hedge(&self, tries: u32, source: &mut dyn RetrySource) -> bool {
        self.hedge_after().is_some() && tries < self.tries && source.spend()
    }

    /// What follows a failed try; a retry spends from the budget.
    pub fn decide(
        &self,
        failed: &FailedTry,
        source: &mut dyn RetrySource,
        now: Instant,
    ) -> RetryDecision {
        if self.may_retry(failed, now) && source.spend() {
            return RetryDecision::Retry(failed.failure.retry_reason());
        }
        let (reason, state) = failed.refusal(now);
        RetryDecision::Stop(reason, state)
    }

    fn may_retry(&self, failed: &FailedTry, now: Instant) -> bool {
        let safe = self.repeatable || (failed.failure.proves_not_run() && !failed.may_have_run);
        safe && failed.body_intact
            && failed.tries < self.tries
            && now + SHORTEST_TRY <= failed.deadline
    }
}
