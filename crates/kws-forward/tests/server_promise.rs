//! What a caller may conclude from a status that promises that its request did not run.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, request};
use kws_standin::backend::BackendScript;
use rstest::rstest;

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
