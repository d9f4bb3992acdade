//! A backend server in trouble sends a status line that HTTP doesn't know: no caller gets it as a response.

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/raw_server.rs"]
mod raw_server;

use fleet::{Fleet, request, route, settings};
use kws_protocol::ServerName;
use raw_server::{RawServer, RawStep, text};
use rstest::rstest;
use std::time::Duration;

/// Guards against a status that is no status, such as 000, or an interim one, that is passed on as the
/// response, and against a caller that waits for another one to follow.
#[rstest]
#[case::zeros("000 Nothing")]
#[case::below_the_range("099 Odd")]
#[case::interim("102 Processing")]
#[case::above_the_range("600 Odd")]
#[case::far_above_the_range("999 Odd")]
#[case::two_digits("20 Short")]
#[case::signed("+20 Signed")]
#[case::four_digits("2000 Long")]
#[case::letters("2x0 Odd")]
#[case::absent("")]
#[tokio::test]
async fn odd_status(
    #[case] status: &str,
    #[values(
        "content-length: 2\r\n\r\nhi",
        "transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "content-length: 0\r\n\r\n"
    )]
    rest: &str,
) {
    let answer = format!("HTTP/1.1 {status}\r\nx-request-id: {{id}}\r\n{rest}");
    let server = RawServer::start(vec![vec![
        text(&answer),
        RawStep::Wait(Duration::from_secs(30)),
    ]])
    .await;
    let servers = vec![(ServerName::new("server-0"), server.address)];
    let routes = [route("/till", |route| {
        route.repeatable = Some(false);
        route.deadline = Duration::from_secs(2);
    })];
    let fleet = Fleet::with_servers(settings(routes), Vec::new(), servers, |_| ());
    let response = fleet
        .send(&request("POST", "/till", "content-length: 0\r\n", ""))
        .await;
    assert_eq!(
        (response.status(), response.run()),
        (502, "unknown"),
        "{response:?}"
    );
    assert_eq!(server.ids().await.concat().len(), 1, "sent once");
}
