//! Errors of a caller while a request of the same connection is under way.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, read_to_end, route, settings, until};
use kws_protocol::ServerName;
use kws_standin::backend::{BackendFault, BackendScript, BackendServer};
use rstest::rstest;
use std::time::Duration;
use tokio::{io::AsyncWriteExt, time::sleep};

/// The shortest time limit for a request head that a listener applies.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// A fleet with one server and the route `/till`, whose requests must not be repeated.
async fn start(script: BackendScript) -> Fleet {
    let backend = BackendServer::start(script).await.expect("backend starts");
    let servers = vec![(ServerName::new("server-0"), backend.address())];
    let till = route("/till", |route| route.repeatable = Some(false));
    Fleet::with_servers(settings([till]), vec![backend], servers, |listener| {
        listener.head_timeout = HEAD_TIMEOUT;
    })
}

fn slow_server(delay: Duration) -> BackendScript {
    BackendScript {
        delay_ms: delay.as_millis() as u64,
        ..BackendScript::default()
    }
}

/// The head of a request on a connection that is kept.
fn head(path: &str, lines: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: farm.test\r\nx-api-key: {KEY}\r\n{lines}\r\n")
}

fn statuses(text: &str) -> Vec<&str> {
    let starts = text.split("HTTP/1.1 ").skip(1);
    starts.map(|rest| &rest[..3]).collect()
}

/// Guards against a refusal, meant for what follows, as the answer to a request that runs.
#[rstest]
#[case::bare_line("\n\n\0\r\n\r\n")]
#[case::no_host("GET / HTTP/1.1\r\nconnection: close\r\n\r\n")]
#[case::no_request("not a request\r\n\r\n")]
#[case::two_lengths("POST /till HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n")]
#[tokio::test]
async fn malformed_next(#[case] next: &str, #[values("", "slot")] body: &str) {
    let fleet = start(slow_server(Duration::from_millis(50))).await;
    let mut stream = fleet.connect().await;
    let lines = format!("content-length: {}\r\n", body.len());
    let text = format!("{}{body}{next}", head("/till", &lines));
    stream.write_all(text.as_bytes()).await.expect("writes");
    let answer = read_to_end(&mut stream).await;
    assert_eq!(statuses(&answer.text), ["200", "400"], "{answer:?}");
    assert_eq!(fleet.arrivals(), 1);
}

/// Guards against the time limit of a slow head that ends the request instead, once it runs.
#[rstest]
#[tokio::test]
async fn slow_head(#[values("", "slot")] body: &str) {
    let fleet = start(slow_server(HEAD_TIMEOUT * 2)).await;
    let mut stream = fleet.connect().await;
    let lines = format!("connection: close\r\ncontent-length: {}\r\n", body.len());
    let text = head("/till", &lines);
    let (first, rest) = text.split_at(20);
    for part in [first, rest, body] {
        stream.write_all(part.as_bytes()).await.expect("writes");
        sleep(Duration::from_millis(20)).await;
    }
    let answer = read_to_end(&mut stream).await;
    assert_eq!(statuses(&answer.text), ["200"], "{answer:?}");
}

/// Guards against a request that runs out of the body of one that was refused.
#[tokio::test]
async fn refused_expectation() {
    let fleet = start(BackendScript::default()).await;
    let inner = head("/till", "content-length: 0\r\n");
    let lines = format!(
        "expect: 100-continue\r\ncontent-length: {}\r\n",
        inner.len()
    );
    let mut stream = fleet.connect().await;
    let text = head("/nowhere", &lines) + &inner;
    stream.write_all(text.as_bytes()).await.expect("writes");
    let answer = read_to_end(&mut stream).await;
    assert_eq!(statuses(&answer.text), ["404"], "{answer:?}");
    assert_eq!(fleet.arrivals(), 0);
}

/// Guards against a second answer, or a refusal, after a server has answered before the body's end.
#[rstest]
#[case::malformed("x\r\n")]
#[case::long_size("00000000000000000001\r\nx\r\n0\r\n\r\n")]
#[tokio::test]
async fn answered_early(#[case] rest: &str) {
    let script = BackendScript::with_fault(BackendFault::Early);
    let fleet = start(script).await;
    let mut stream = fleet.connect().await;
    let lines = "connection: close\r\ntransfer-encoding: chunked\r\n";
    let text = head("/till", lines) + "4\r\nslot\r\n";
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    sleep(Duration::from_millis(20)).await;
    // The connection may have ended.
    let _ = stream.write_all(rest.as_bytes()).await;
    let answer = read_to_end(&mut stream).await;
    assert!(statuses(&answer.text).len() <= 1, "{answer:?}");
    assert_ne!(answer.run(), "not run", "{answer:?}");
}

/// Guards against "not run" for a request whose body breaks off or is malformed after its start.
#[rstest]
#[case::malformed("transfer-encoding: chunked\r\n", "4\r\nslot\r\n", "x\r\n")]
#[case::no_line_end("transfer-encoding: chunked\r\n", "4\r\nslot\r\n", "1\r\nab\r\n")]
#[case::size_too_long(
    "transfer-encoding: chunked\r\n",
    "4\r\nslot\r\n",
    "fffffffffffffffff\r\n"
)]
#[case::bad_trailer("transfer-encoding: chunked\r\n", "4\r\nslot\r\n", "0\r\n\0\r\n\r\n")]
#[case::breaks_off("content-length: 9\r\n", "slot", "")]
#[tokio::test]
async fn broken_body(#[case] lines: &str, #[case] first: &str, #[case] rest: &str) {
    let fleet = start(BackendScript::default()).await;
    let mut stream = fleet.connect().await;
    let text = head("/till", lines) + first;
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    stream.write_all(rest.as_bytes()).await.expect("writes");
    stream.shutdown().await.expect("ends");
    let answer = read_to_end(&mut stream).await;
    assert!(statuses(&answer.text).len() <= 1, "{answer:?}");
    let promises = [408, 421, 429, 503].contains(&answer.status());
    assert!(!promises && answer.run() != "not run", "{answer:?}");
}
