//! A request that must not be repeated runs at most once, and "not run" is reported only if it did
//! not run.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, request, route};
use kws_forward::{RetryPermission, TryClass};
use kws_protocol::RetryReason;
use kws_standin::backend::{BackendFault, BackendScript, SeenRequest};
use rstest::rstest;
use std::time::Duration;

fn faulty_backend(fault: BackendFault) -> BackendScript {
    BackendScript::with_fault(fault)
}

fn booking_request(body: &str) -> String {
    request(
        "POST",
        "/till",
        &format!("content-length: {}\r\n", body.len()),
        body,
    )
}

#[rstest]
#[case::shed(faulty_backend(BackendFault::NotRun), "", 200, "")]
#[case::shed_with_body(faulty_backend(BackendFault::NotRun), "slot=4", 200, "")]
#[case::shed_with_upload(faulty_backend(BackendFault::NotRun), &"x".repeat(20_000), 503, "not run")]
#[case::lost(faulty_backend(BackendFault::CutHead), "", 502, "unknown")]
#[case::server_error(BackendScript { status: 500, ..BackendScript::default() }, "", 500, "")]
#[case::plain_unavailable(BackendScript { status: 503, ..BackendScript::default() }, "", 502, "unknown")]
#[tokio::test]
async fn failed_first(
    #[case] first: BackendScript,
    #[case] body: &str,
    #[case] status: u16,
    #[case] run: &str,
) {
    let fleet = Fleet::start([first, BackendScript::default()]).await;
    let response = fleet.send(&booking_request(body)).await;
    assert_eq!((response.status(), response.run()), (status, run));
    let second_arrivals = usize::from(status == 200);
    let seen = fleet.backends[1].seen();
    assert_eq!(seen.len(), second_arrivals);
    let is_same = |seen: &SeenRequest| seen.whole && seen.body == body.as_bytes();
    assert!(seen.iter().all(is_same));
}

#[tokio::test]
async fn chunked_body() {
    let first = faulty_backend(BackendFault::NotRun);
    let fleet = Fleet::start([first, BackendScript::default()]).await;
    let body = "4\r\nslot\r\n2\r\n=4\r\n0\r\n\r\n";
    let text = request("POST", "/till", "transfer-encoding: chunked\r\n", body);
    assert_eq!(fleet.send(&text).await.status(), 200);
    let seen = fleet.backends[1].seen();
    assert!(seen[0].whole);
    assert_eq!(seen[0].body, b"slot=4");
}

#[rstest]
#[case::repeatable(get("/listing"))]
#[case::once(booking_request(""))]
#[case::once_with_body(booking_request("slot=4"))]
#[tokio::test]
async fn refused_connection(#[case] text: String) {
    let fleet = Fleet::start([BackendScript::default(), BackendScript::default()]).await;
    fleet.backends[0].stop().await;
    let response = fleet.send(&text).await;
    assert_eq!(response.status(), 200);
    let classes = fleet.classes(2).await;
    let stopped = fleet.backends[0].seen();
    assert_eq!(
        classes,
        [TryClass::ConnectFailed, TryClass::Succeeded],
        "{stopped:?}"
    );
    assert_eq!(
        *fleet.control.retries.lock().unwrap(),
        [RetryReason::ConnectFailed]
    );
    assert!(fleet.backends[1].seen()[0].whole);
}

#[tokio::test]
async fn no_server_left() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    fleet.backends[0].stop().await;
    let response = fleet.send(&booking_request("slot=4")).await;
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (503, "no_server", "not run")
    );
    assert_eq!(response.header("retry-after"), Some("1"));
    let id = response.header("x-request-id").expect("has an id");
    let body = format!(r#"{{"reason":"no_server","run":"not run","request_id":"{id}"}}"#);
    assert_eq!(response.body(), body);
}

#[rstest]
#[case::second_unreachable(true, "no_server")]
#[case::none_left(false, "connection_lost")]
#[tokio::test]
async fn unknown_run_state(#[case] second: bool, #[case] reason: &str) {
    let scripts = [
        faulty_backend(BackendFault::CutHead),
        BackendScript::default(),
    ];
    let fleet = Fleet::start(scripts.into_iter().take(1 + usize::from(second))).await;
    if second {
        fleet.backends[1].stop().await;
    }
    let response = fleet.get("/listing").await;
    assert_eq!((response.reason(), response.run()), (reason, "unknown"));
}

#[tokio::test]
async fn denied_retry() {
    let fleet = Fleet::start([
        faulty_backend(BackendFault::CutHead),
        BackendScript::default(),
    ])
    .await;
    *fleet.control.retry_permission.lock().unwrap() = RetryPermission::Denied;
    assert_eq!(fleet.get("/listing").await.status(), 502);
    assert_eq!(fleet.arrivals(), 1);
    assert!(fleet.control.retries.lock().unwrap().is_empty());
}

#[rstest]
#[case::at_once(Duration::ZERO, true, [0, 0])]
#[case::long_idle(Duration::from_millis(2500), true, [0, 1])]
#[case::unnamed(Duration::ZERO, false, [0, 1])]
#[tokio::test]
async fn fresh_connection(
    #[case] idle: Duration,
    #[case] echo_id: bool,
    #[case] connections: [u64; 2],
) {
    let script = BackendScript {
        echo_id,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([script]).await;
    // The first response shows whether the server echoes the request id.
    let first = fleet.send(&booking_request("")).await;
    assert_eq!(first.status(), 200);
    let second = fleet.send(&booking_request("")).await;
    assert_eq!(second.status(), 200);
    tokio::time::sleep(idle).await;
    assert_eq!(fleet.send(&booking_request("")).await.status(), 200);
    let seen: Vec<_> = fleet.backends[0]
        .seen()
        .iter()
        .map(|seen| seen.connection)
        .collect();
    let base = seen[1];
    assert_eq!([seen[1] - base, seen[2] - base], connections);
}

#[rstest]
#[case::drains(true)]
#[case::stays(false)]
#[tokio::test]
async fn drain_signal(#[case] draining: bool) {
    let fleet = Fleet::start([BackendScript {
        draining,
        ..BackendScript::default()
    }])
    .await;
    let response = fleet.get("/listing").await;
    assert_eq!(
        (response.status(), response.header("knapweedseam-drain")),
        (200, None)
    );
    fleet.classes(1).await;
    assert_eq!(fleet.control.outcomes.lock().unwrap()[0].draining, draining);
}

#[rstest]
#[case::repeatable("GET", "/hedged", RetryPermission::Granted, 200, 2)]
#[case::denied("GET", "/hedged", RetryPermission::Denied, 504, 1)]
#[case::once("POST", "/hedged", RetryPermission::Granted, 504, 1)]
#[tokio::test]
async fn late_response(
    #[case] method: &str,
    #[case] path: &str,
    #[case] verdict: RetryPermission,
    #[case] status: u16,
    #[case] arrivals: usize,
) {
    let hedged = route(path, |route| {
        route.hedge = Some(Duration::from_millis(50));
        route.deadline = Duration::from_millis(1500);
    });
    let scripts = [
        faulty_backend(BackendFault::SilentHead),
        BackendScript::default(),
    ];
    let fleet = Fleet::with_routes([hedged], scripts).await;
    *fleet.control.retry_permission.lock().unwrap() = verdict;
    let response = fleet.send(&request(method, path, "", "")).await;
    assert_eq!((response.status(), fleet.arrivals()), (status, arrivals));
    let ends = fleet.classes(arrivals).await;
    assert_eq!(ends.contains(&TryClass::Cancelled), arrivals == 2);
    let retries = fleet.control.retries.lock().unwrap().clone();
    assert_eq!(retries.contains(&RetryReason::Hedge), arrivals == 2);
}

#[tokio::test]
async fn queued_past_deadline() {
    let short = route("/short", |route| {
        route.deadline = Duration::from_millis(100);
    });
    let fleet = Fleet::with_routes([short], [BackendScript::default()]).await;
    fleet.control.grants_open.send_replace(false);
    let response = fleet.get("/short").await;
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (503, "deadline_early", "not run")
    );
    assert_eq!(fleet.arrivals(), 0);
}

#[tokio::test]
async fn lost_pooled_connection() {
    let fleet = Fleet::start([BackendScript::default(), BackendScript::default()]).await;
    for _ in 0..2 {
        assert_eq!(fleet.send(&booking_request("")).await.status(), 200);
    }
    fleet.backends[0].set_script(faulty_backend(BackendFault::CutHead));
    let response = fleet.send(&booking_request("")).await;
    assert_eq!(
        (response.reason(), response.run()),
        ("connection_lost", "unknown")
    );
    let seen = fleet.backends[0].seen();
    assert_eq!(
        (fleet.arrivals(), seen[1].connection),
        (3, seen[2].connection)
    );
}
