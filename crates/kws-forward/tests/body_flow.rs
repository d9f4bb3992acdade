//! Request and response bodies are forwarded within the limits of the route.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, read_to_end, request, route, settings, until};
use kws_forward::TryClass;
use kws_standin::backend::{BackendFault, BackendScript};
use rstest::rstest;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
};

async fn limited_fleet(script: BackendScript) -> Fleet {
    let upload = route("/upload", |route| {
        route.max_body = 10;
        route.idle = Duration::from_millis(100);
    });
    Fleet::with_routes([upload, route("/long", |_| ())], [script]).await
}

#[rstest]
#[case::sized("content-length: 10\r\n", "helloworld", 200, "")]
#[case::sized_over("content-length: 11\r\n", "helloworld!", 413, "not run")]
#[case::chunked(
    "transfer-encoding: chunked\r\n",
    "a\r\nhelloworld\r\n0\r\n\r\n",
    200,
    ""
)]
#[case::chunked_over(
    "transfer-encoding: chunked\r\n",
    "a\r\nhelloworld\r\n1\r\n!\r\n0\r\n\r\n",
    413,
    "unknown"
)]
#[tokio::test]
async fn body_limit(
    #[case] lines: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] run: &str,
) {
    let fleet = limited_fleet(BackendScript::default()).await;
    let response = fleet.send(&request("POST", "/upload", lines, body)).await;
    assert_eq!((response.status(), response.run()), (status, run));
    let whole = fleet.backends[0]
        .seen()
        .iter()
        .filter(|seen| seen.whole)
        .count();
    assert_eq!(whole, usize::from(status == 200));
}

#[rstest]
#[case::sized("content-length: 10\r\n", "hello")]
#[case::chunked("transfer-encoding: chunked\r\n", "5\r\nhello\r\n")]
#[tokio::test]
async fn silent_upload(#[case] lines: &str, #[case] body: &str) {
    let fleet = limited_fleet(BackendScript::default()).await;
    let response = fleet.send(&request("POST", "/upload", lines, body)).await;
    assert_eq!((response.status(), response.run()), (504, "unknown"));
    assert_eq!(fleet.classes(1).await, [TryClass::Cancelled]);
    assert!(!fleet.backends[0].seen()[0].whole);
}

#[rstest]
#[case::sized("content-length: 10\r\n", "hello")]
#[case::chunked("transfer-encoding: chunked\r\n", "5\r\nhello\r\n")]
#[tokio::test]
async fn cut_upload(#[case] lines: &str, #[case] body: &str) {
    let fleet = limited_fleet(BackendScript::default()).await;
    let mut stream = fleet.connect().await;
    let text = request("POST", "/long", lines, body);
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    drop(stream);
    assert_eq!(fleet.classes(1).await, [TryClass::Cancelled]);
    assert!(!fleet.backends[0].seen()[0].whole);
}

#[rstest]
#[case::bodiless("", "")]
#[case::whole_body("content-length: 5\r\n", "hello")]
#[case::half_body("content-length: 5\r\n", "he")]
#[tokio::test]
async fn queued_disconnect(#[case] lines: &str, #[case] body: &str) {
    let fleet = limited_fleet(BackendScript::default()).await;
    fleet.control.grants_open.send_replace(false);
    let mut stream = fleet.connect().await;
    let text = request("POST", "/long", lines, body);
    stream.write_all(text.as_bytes()).await.expect("writes");
    let waiting = || fleet.control.waiting_acquires.load(Ordering::SeqCst);
    until(|| waiting() == 1).await;
    drop(stream);
    until(|| waiting() == 0).await;
    assert_eq!(fleet.arrivals(), 0);
}

#[rstest]
#[case::before_head(BackendScript { delay_ms: 60_000, ..BackendScript::default() })]
#[case::within_body(BackendScript {
    body_bytes: 1 << 20,
    piece_bytes: 10,
    piece_delay_ms: 10,
    ..BackendScript::default()
})]
#[tokio::test]
async fn caller_disconnect(#[case] script: BackendScript) {
    let fleet = limited_fleet(script).await;
    let mut stream = fleet.connect().await;
    stream
        .write_all(fleet::get("/long").as_bytes())
        .await
        .expect("writes");
    until(|| fleet.arrivals() == 1).await;
    drop(stream);
    assert_eq!(fleet.classes(1).await, [TryClass::Cancelled]);
}

#[tokio::test]
async fn stalled_caller() {
    let short = route("/short", |route| {
        route.deadline = Duration::from_millis(1500);
    });
    let endless = BackendScript {
        body_bytes: 1 << 40,
        ..BackendScript::default()
    };
    let fleet = Fleet::with_routes([short], [endless]).await;
    let socket = TcpSocket::new_v4().expect("opens");
    socket.set_recv_buffer_size(4096).expect("shrinks");
    let mut stream = socket
        .connect(fleet.listener.address())
        .await
        .expect("connects");
    stream
        .write_all(fleet::get("/short").as_bytes())
        .await
        .expect("writes");
    // The slot is released although the caller reads nothing.
    assert_eq!(fleet.classes(1).await.len(), 1);
}

#[rstest]
#[case::accepted("/upload", 10, "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::too_large("/upload", 11, "HTTP/1.1 413")]
#[case::unknown_route("/none", 10, "HTTP/1.1 404")]
#[tokio::test]
async fn expect_continue(#[case] path: &str, #[case] length: u64, #[case] first: &str) {
    let fleet = limited_fleet(BackendScript::default()).await;
    let mut stream = fleet.connect().await;
    let lines = format!("expect: 100-continue\r\ncontent-length: {length}\r\n");
    let text = request("POST", path, &lines, "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut start = vec![0; first.len()];
    stream.read_exact(&mut start).await.expect("reads");
    assert_eq!(String::from_utf8_lossy(&start), first);
    if first.contains("100") {
        stream.write_all(b"helloworld").await.expect("writes");
        assert_eq!(read_to_end(&mut stream).await.status(), 200);
        assert_eq!(fleet.backends[0].seen()[0].header("expect"), None);
    }
}

#[tokio::test]
async fn passed_deadline() {
    let fleet = limited_fleet(BackendScript::default()).await;
    let lines = "x-knapweedseam-deadline-ms: 99999999\r\n";
    fleet.send(&request("GET", "/long", lines, "")).await;
    let seen = fleet.backends[0].seen()[0].clone();
    let remaining = seen
        .header("x-knapweedseam-deadline-ms")
        .expect("has a deadline");
    let remaining = Duration::from_millis(remaining.parse().expect("is a number"));
    assert!(remaining <= fleet::TEST_TIMEOUT && !remaining.is_zero());
}

#[tokio::test]
async fn early_response() {
    let fleet = limited_fleet(BackendScript::with_fault(BackendFault::Early)).await;
    let body = "a".repeat(1 << 22);
    let lines = format!("content-length: {}\r\n", body.len());
    let text = request("POST", "/long", &lines, &body);
    let mut stream = fleet.connect().await;
    let (mut reader, mut writer) = stream.split();
    // Both the server's response and "unknown" are correct; "not run" is not.
    let (_, response) = tokio::join!(writer.write_all(text.as_bytes()), read_to_end(&mut reader));
    assert_ne!(response.run(), "not run");
}

#[tokio::test]
async fn stalled_head() {
    let fleet = Fleet::with_servers(settings([]), Vec::new(), Vec::new(), |listening| {
        listening.head_timeout = Duration::from_secs(1);
    });
    let mut stream = fleet.connect().await;
    stream.write_all(b"GET /listing HT").await.expect("writes");
    let response = read_to_end(&mut stream).await;
    assert_eq!((response.status(), response.reason()), (400, "bad_request"));
}
