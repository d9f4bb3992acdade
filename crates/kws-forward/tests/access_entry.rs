//! Each request writes exactly one access log record with its outcome.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, until};
use kws_forward::AccessOutcome;
use kws_protocol::{RefusalReason, RetryReason, RunState};
use kws_standin::backend::{BackendFault, BackendScript};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

fn failing() -> BackendScript {
    BackendScript {
        fault: BackendFault::CutHead,
        ..BackendScript::default()
    }
}

#[tokio::test]
async fn caller_disconnects() {
    let slow = BackendScript {
        delay_ms: 5_000,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([slow]).await;
    let mut caller = fleet.connect().await;
    let request = get("/listing");
    caller.write_all(request.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    drop(caller);
    until(|| fleet.control.records.lock().unwrap().len() == 1).await;
    let record = fleet.control.records.lock().unwrap()[0].clone();
    assert_eq!(
        (record.outcome, record.status),
        (AccessOutcome::CallerDisconnected, 0)
    );
    assert!(record.server.is_some(), "{record:?}");
    assert!(record.latency < Duration::from_secs(5), "{record:?}");
}

#[tokio::test]
async fn second_try() {
    let fleet = Fleet::start([failing(), BackendScript::default()]).await;
    assert_eq!(fleet.get("/listing").await.status(), 200);
    let record = fleet.control.records.lock().unwrap()[0].clone();
    assert_eq!(record.outcome, AccessOutcome::Responded);
    assert_eq!(record.tries, 2);
    assert_eq!(record.retry_reasons, [RetryReason::ConnectionLost]);
    assert!(record.revision.is_some(), "{record:?}");
}

#[tokio::test]
async fn refused_request() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    *fleet.control.admission.lock().unwrap() = Err(RefusalReason::RateExceeded.into());
    assert_eq!(fleet.get("/listing").await.status(), 429);
    let record = fleet.control.records.lock().unwrap()[0].clone();
    assert_eq!(record.refusal, Some(RefusalReason::RateExceeded));
    assert_eq!(record.run, Some(RunState::NotRun));
    assert_eq!(record.tries, 0);
}
