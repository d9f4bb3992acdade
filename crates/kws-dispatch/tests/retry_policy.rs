//! When a failed try is retried, and what the caller is told otherwise.

use kws_dispatch::{FailedTry, RetryBudget, RetryDecision, RetryPolicy, TryFailure};
use kws_protocol::{
    RefusalReason, ResponseChecks, RetryReason, RouteAccess, RouteName, RouteSettings, RunState,
    ServiceName,
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

fn route(repeatable: Option<bool>) -> RouteSettings {
    RouteSettings {
        name: RouteName::new("slots"),
        host: None,
        path: "/slots".to_owned(),
        methods: BTreeSet::new(),
        service: ServiceName::new("till"),
        split: Vec::new(),
        priority: 2,
        access: RouteAccess::AnyTeam,
        repeatable,
        deadline: Duration::from_secs(5),
        objective: None,
        idle: Duration::from_secs(1),
        tries: 3,
        hedge: Some(Duration::from_millis(100)),
        max_head: 16_384,
        max_body: 1_048_576,
        checks: ResponseChecks::default(),
    }
}

fn failed(failure: TryFailure) -> FailedTry {
    FailedTry {
        failure,
        tries: 1,
        unreached: 0,
        may_have_run: false,
        body_resendable: true,
        deadline: Instant::now() + Duration::from_secs(5),
    }
}

fn decide(method: &str, failed: &FailedTry) -> RetryDecision {
    let policy = RetryPolicy::new(&route(None), method);
    policy.decide(failed, &mut RetryBudget::new(0.2), Instant::now())
}

fn stop(reason: RefusalReason, state: RunState) -> RetryDecision {
    RetryDecision::Stop(reason, state)
}

#[rstest]
#[case::get(None, "GET", true)]
#[case::head(None, "HEAD", true)]
#[case::options(None, "OPTIONS", true)]
#[case::post(None, "POST", false)]
#[case::put(None, "PUT", false)]
#[case::delete(None, "DELETE", false)]
#[case::lower_case(None, "get", false)]
#[case::route_allows(Some(true), "POST", true)]
#[case::route_forbids(Some(false), "GET", false)]
fn repeatable_methods(#[case] setting: Option<bool>, #[case] method: &str, #[case] expected: bool) {
    let policy = RetryPolicy::new(&route(setting), method);
    assert_eq!(policy.repeatable(), expected);
    assert_eq!(policy.hedge_delay().is_some(), expected);
    assert_eq!(policy.hedge(1, &mut RetryBudget::new(0.2)), expected);
}

#[rstest]
#[case::bad_answer(TryFailure::BadAnswer, RetryReason::BadAnswer)]
#[case::connect(TryFailure::ConnectFailed, RetryReason::ConnectFailed)]
#[case::lost(TryFailure::LostAfterWrite, RetryReason::ConnectionLost)]
#[case::not_run(TryFailure::ServerNotRun, RetryReason::ServerNotRun)]
#[case::timeout(TryFailure::Timeout, RetryReason::ConnectionLost)]
#[tokio::test(start_paused = true)]
async fn repeatable_retried(#[case] failure: TryFailure, #[case] reason: RetryReason) {
    let decision = decide("GET", &failed(failure));
    assert_eq!(decision, RetryDecision::Retry(reason));
}

/// A request that is not repeatable is retried only if it was provably not executed.
#[rstest]
#[case::bad_answer(
    TryFailure::BadAnswer,
    stop(RefusalReason::BadAnswer, RunState::Unknown)
)]
#[case::connect(
    TryFailure::ConnectFailed,
    RetryDecision::Retry(RetryReason::ConnectFailed)
)]
#[case::lost(
    TryFailure::LostAfterWrite,
    stop(RefusalReason::ConnectionLost, RunState::Unknown)
)]
#[case::not_run(
    TryFailure::ServerNotRun,
    RetryDecision::Retry(RetryReason::ServerNotRun)
)]
#[case::timeout(
    TryFailure::Timeout,
    stop(RefusalReason::DeadlinePassed, RunState::Unknown)
)]
#[tokio::test(start_paused = true)]
async fn unrepeatable_request(#[case] failure: TryFailure, #[case] expected: RetryDecision) {
    assert_eq!(decide("POST", &failed(failure)), expected);
}

/// Limits that prevent a retry although it would be safe.
#[rstest]
#[case::tries(FailedTry { tries: 3, ..failed(TryFailure::ConnectFailed) }, RefusalReason::NoServer)]
#[case::body(
    FailedTry { body_resendable: false, ..failed(TryFailure::ServerNotRun) },
    RefusalReason::NoServer
)]
#[case::deadline(
    FailedTry { deadline: Instant::now(), ..failed(TryFailure::ConnectFailed) },
    RefusalReason::DeadlineEarly
)]
#[tokio::test(start_paused = true)]
async fn retry_limits(#[case] failed: FailedTry, #[case] reason: RefusalReason) {
    for method in ["GET", "POST"] {
        assert_eq!(decide(method, &failed), stop(reason, RunState::NotRun));
    }
}

/// Once a try may have been executed, a later try that was not executed does not change the state
/// back to "not run".
#[rstest]
#[case::connect(TryFailure::ConnectFailed)]
#[case::not_run(TryFailure::ServerNotRun)]
#[tokio::test(start_paused = true)]
async fn earlier_try_ran(#[case] failure: TryFailure) {
    let last = FailedTry {
        tries: 3,
        may_have_run: true,
        ..failed(failure)
    };
    assert_eq!(
        decide("GET", &last),
        stop(RefusalReason::NoServer, RunState::Unknown)
    );
    let first = FailedTry { tries: 1, ..last };
    assert_eq!(
        decide("POST", &first),
        stop(RefusalReason::NoServer, RunState::Unknown)
    );
}

/// A try that reached no server is replaced without charge, a few times at most.
#[tokio::test(start_paused = true)]
async fn unreached_servers() {
    let policy = RetryPolicy::new(&route(None), "POST");
    let mut empty = RetryBudget::new(0.0);
    let mut replaced = |unreached, tries| {
        let failed = FailedTry {
            tries,
            unreached,
            ..failed(TryFailure::ConnectFailed)
        };
        policy.decide(&failed, &mut empty, Instant::now())
            == RetryDecision::Retry(RetryReason::ConnectFailed)
    };
    assert!(replaced(1, 0) && replaced(3, 0) && replaced(3, 2));
    assert!(!replaced(4, 0), "each may take a connect timeout");
    assert!(!replaced(1, 3), "the route allows three tries");
}

/// Of 1000 requests that all fail, the budget's share is retried, plus its initial tokens.
#[rstest]
#[case::none(0.0, 0)]
#[case::tenth(0.1, 103)]
#[case::half(0.5, 503)]
#[tokio::test(start_paused = true)]
async fn budget_ratio(#[case] ratio: f64, #[case] expected: usize) {
    let policy = RetryPolicy::new(&route(None), "GET");
    let mut budget = RetryBudget::new(ratio);
    let retries = (0..1_000).filter(|_| {
        budget.record_first_try();
        let failed = failed(TryFailure::ServerNotRun);
        policy.decide(&failed, &mut budget, Instant::now())
            == RetryDecision::Retry(RetryReason::ServerNotRun)
    });
    let retries = retries.count();
    assert!(retries.abs_diff(expected) <= 1, "{retries}");
}
