//! Response bodies at the deadline of their requests.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, read_to_end, route};
use kws_standin::backend::{BackendScript, BodyFraming};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const DEADLINE: Duration = Duration::from_secs(1);

/// A process that pauses beyond the deadline still passes on a body that has arrived meanwhile.
#[rstest]
#[case::sized(BodyFraming::Length)]
#[case::chunked(BodyFraming::Chunked)]
#[tokio::test]
async fn paused_worker(#[case] framing: BodyFraming) {
    let script = BackendScript {
        framing,
        piece_bytes: 32,
        piece_delay_ms: 200,
        ..BackendScript::default()
    };
    let listing = route("/listing", |route| route.deadline = DEADLINE);
    let fleet = Fleet::with_routes([listing], [script]).await;
    *fleet.control.pause.lock().unwrap() = DEADLINE * 2;
    let response = fleet.get("/listing").await;
    assert_eq!(
        (response.status(), response.is_whole()),
        (200, true),
        "{response:?}"
    );
}

/// A process that pauses beyond the idle timeout of a body still passes on what has arrived meanwhile.
#[tokio::test]
async fn paused_wait() {
    let script = BackendScript {
        piece_bytes: 32,
        piece_delay_ms: 600,
        ..BackendScript::default()
    };
    let listing = route("/listing", |route| route.idle = DEADLINE);
    let fleet = Fleet::with_routes([listing], [script]).await;
    let mut waiting = fleet.connect().await;
    let text = get("/listing");
    waiting.write_all(text.as_bytes()).await.expect("writes");
    let mut start = [0; 12];
    waiting.read_exact(&mut start).await.expect("reads");
    *fleet.control.pause.lock().unwrap() = DEADLINE * 2;
    let (other, rest) = tokio::join!(fleet.get("/unknown"), read_to_end(&mut waiting));
    assert_eq!(other.status(), 404);
    assert!(rest.is_whole(), "{rest:?}");
}

/// A body that doesn't end by the deadline ends with its connection and doesn't look whole.
#[rstest]
#[case::sized(BodyFraming::Length)]
#[case::chunked(BodyFraming::Chunked)]
#[tokio::test]
async fn unended_body(#[case] framing: BodyFraming) {
    let script = BackendScript {
        framing,
        piece_bytes: 32,
        piece_delay_ms: 3_000,
        ..BackendScript::default()
    };
    let listing = route("/listing", |route| route.deadline = DEADLINE);
    let fleet = Fleet::with_routes([listing], [script]).await;
    let response = fleet.get("/listing").await;
    assert_eq!(
        (response.status(), response.is_whole()),
        (200, false),
        "{response:?}"
    );
}
