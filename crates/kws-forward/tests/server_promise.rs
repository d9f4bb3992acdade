//! What a caller may conclude from a status that promises that its request did not run.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, read_to_end, request, until};
use kws_standin::backend::BackendScript;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

/// A server that runs each request and answers with `status`, without the header that says that it
/// did not run it.
fn server(status: u16) -> BackendScript {
    BackendScript {
        status,
        ..BackendScript::default()
    }
}

/// Guards against "not run" for a request that ran (REFUSED): a status that callers take for this
/// promise is not passed on, for a request that must not be repeated, unless the server has given it.
#[rstest]
#[tokio::test]
async fn unproven_refusal(#[values(408, 421, 429, 503)] status: u16) {
    let fleet = Fleet::start([server(status), server(200)]).await;
    let payment = request("POST", "/till", "content-length: 0\r\n", "");
    let answer = fleet.send(&payment).await;
    assert_eq!(
        (answer.status(), answer.run()),
        (502, "unknown"),
        "{answer:?}"
    );
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(fleet.arrivals(), 1, "sent to one server only");
}

/// Other statuses, and all of a request that may be repeated, are passed on as the server gave them.
#[rstest]
#[case::failure("/till", 500)]
#[case::gateway("/till", 504)]
#[case::conflict("/till", 409)]
#[case::too_many("/listing", 429)]
#[case::unavailable("/listing", 503)]
#[tokio::test]
async fn passed_on(#[case] path: &str, #[case] status: u16) {
    let fleet = Fleet::start([server(status)]).await;
    let text = match path {
        "/till" => request("POST", path, "content-length: 0\r\n", ""),
        _ => get(path),
    };
    let answer = fleet.send(&text).await;
    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(answer.reason(), "", "{answer:?}");
}

/// Guards against "not run" for a request that a server has begun to get: the size of a later chunk has
/// more digits than the HTTP server reads.
#[tokio::test]
async fn long_chunk_size() {
    let fleet = Fleet::start([server(200)]).await;
    let mut stream = fleet.connect().await;
    let head = request(
        "POST",
        "/till",
        "transfer-encoding: chunked\r\n",
        "4\r\nslot\r\n",
    );
    stream.write_all(head.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    let rest = "00000000000000000001\r\ns\r\n0\r\n\r\n";
    stream.write_all(rest.as_bytes()).await.expect("writes");
    let answer = read_to_end(&mut stream).await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(fleet.backends[0].seen()[0].body, b"slots");
}
