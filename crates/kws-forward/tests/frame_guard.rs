//! Ambiguous and malformed requests are refused.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, request};
use kws_standin::backend::BackendScript;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

#[rstest]
#[case::line_feed("GET /listing HTTP/1.1\nhost: a\r\nx-api-key: KEY\r\n\r\n")]
#[case::line_feed_header("GET /listing HTTP/1.1\r\nhost: a\nx-api-key: KEY\r\n\r\n")]
#[case::line_feed_end("GET /listing HTTP/1.1\r\nhost: a\r\nx-api-key: KEY\n\n")]
#[case::lone_return("GET /listing HTTP/1.1\r\nhost: a\rb: c\r\nx-api-key: KEY\r\n\r\n")]
#[case::no_host("GET /listing HTTP/1.1\r\nx-api-key: KEY\r\n\r\n")]
#[case::two_hosts("GET /listing HTTP/1.1\r\nhost: a\r\nhost: a\r\nx-api-key: KEY\r\n\r\n")]
#[case::bad_host("GET /listing HTTP/1.1\r\nhost: a/b\r\nx-api-key: KEY\r\n\r\n")]
#[case::folded("GET /listing HTTP/1.1\r\nhost: a\r\nx-api-key: KEY\r\n b\r\n\r\n")]
#[case::space_name("GET /listing HTTP/1.1\r\nhost: a\r\nx-api-key: KEY\r\na : b\r\n\r\n")]
#[case::old_version("GET /listing HTTP/1.0\r\nhost: a\r\nx-api-key: KEY\r\n\r\n")]
#[case::absolute("GET http://a/listing HTTP/1.1\r\nhost: a\r\nx-api-key: KEY\r\n\r\n")]
#[case::connect("CONNECT a:80 HTTP/1.1\r\nhost: a\r\nx-api-key: KEY\r\n\r\n")]
#[tokio::test]
async fn malformed_head(#[case] text: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    // The second request is refused as well and closes the connection, in case the first left it
    // open.
    let response = fleet
        .send(&format!(
            "{}{}",
            text.replace("KEY", KEY),
            request("GET", "/no", "", "")
        ))
        .await;
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (400, "bad_request", "not run")
    );
    assert_eq!(fleet.arrivals(), 0);
}

#[rstest]
#[case::both_lengths(
    "POST",
    "/listing",
    "content-length: 5\r\ntransfer-encoding: chunked\r\n"
)]
#[case::both_reversed(
    "POST",
    "/listing",
    "transfer-encoding: chunked\r\ncontent-length: 5\r\n"
)]
#[case::two_lengths("POST", "/listing", "content-length: 5\r\ncontent-length: 5\r\n")]
#[case::signed_length("POST", "/listing", "content-length: +5\r\n")]
#[case::list_length("POST", "/listing", "content-length: 5, 5\r\n")]
#[case::odd_coding("POST", "/listing", "transfer-encoding: xchunked\r\n")]
#[case::identity("POST", "/listing", "transfer-encoding: identity\r\n")]
#[case::two_codings("POST", "/listing", "transfer-encoding: gzip, chunked\r\n")]
#[case::repeated_coding(
    "POST",
    "/listing",
    "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"
)]
#[case::trace("TRACE", "/listing", "")]
#[case::upgrade("GET", "/listing", "connection: upgrade\r\nupgrade: websocket\r\n")]
#[case::upgrade_alone("GET", "/listing", "upgrade: h2c\r\n")]
#[case::named_length(
    "POST",
    "/listing",
    "connection: content-length\r\ncontent-length: 5\r\n"
)]
#[case::named_key("GET", "/listing", "connection: x-api-key\r\n")]
#[case::named_team("GET", "/listing", "connection: x-knapweedseam-team\r\n")]
#[case::dot_segment("GET", "/open/../listing", "")]
#[case::escaped_dot("GET", "/open/%2e%2E/listing", "")]
#[case::half_escaped_dot("GET", "/open/.%2e/listing", "")]
#[case::escaped_slash("GET", "/open%2f..%2flisting", "")]
#[case::escaped_twice("GET", "/open/%252e%252e/listing", "")]
#[case::backslash("GET", "/open/..\\listing", "")]
#[case::dot_parameter("GET", "/open/..;a=b/listing", "")]
#[case::double_slash("GET", "//listing", "")]
#[case::inner_double_slash("GET", "/open//listing", "")]
#[case::escaped_nul("GET", "/listing/%00", "")]
#[case::broken_escape("GET", "/listing/%4", "")]
#[tokio::test]
async fn ambiguous_request(#[case] method: &str, #[case] path: &str, #[case] lines: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let response = fleet.send(&request(method, path, lines, "")).await;
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (400, "bad_request", "not run")
    );
    assert_eq!(fleet.arrivals(), 0);
}

#[rstest]
#[case::chunk_line_feed("5\nhello\r\n0\r\n\r\n")]
#[case::data_line_feed("5\r\nhello\n0\r\n\r\n")]
#[case::signed_size("+5\r\nhello\r\n0\r\n\r\n")]
#[case::spaced_size("5 5\r\nhello\r\n0\r\n\r\n")]
#[case::hex_prefix("0x5\r\nhello\r\n0\r\n\r\n")]
#[case::no_size("\r\nhello\r\n0\r\n\r\n")]
#[case::huge_size("fffffffffffffffff\r\nhello\r\n0\r\n\r\n")]
#[case::trailer_line_feed("5\r\nhello\r\n0\r\na: b\n\r\n")]
#[tokio::test]
async fn malformed_chunk(#[case] body: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let text = request("POST", "/till", "transfer-encoding: chunked\r\n", body);
    let response = fleet.send(&text).await;
    assert!(!response.text.contains("200"), "{response:?}");
    assert!(fleet.backends[0].seen().iter().all(|seen| !seen.whole));
}

#[rstest]
#[case::plain("5\r\nhello\r\n0\r\n\r\n", 5)]
#[case::extension("5;a=b\r\nhello\r\n0\r\n\r\n", 5)]
#[case::upper_case("A\r\nhellohello\r\n0\r\n\r\n", 10)]
#[case::trailers("5\r\nhello\r\n0\r\nx-api-key: orchard-key\r\nhost: b\r\n\r\n", 5)]
#[tokio::test]
async fn plain_chunks(#[case] body: &str, #[case] bytes: u64) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let text = request("POST", "/till", "transfer-encoding: chunked\r\n", body);
    assert_eq!(fleet.send(&text).await.status(), 200);
    let seen = fleet.backends[0].seen();
    assert_eq!(
        (seen.len(), seen[0].body_bytes, seen[0].whole),
        (1, bytes, true)
    );
    assert!(!String::from_utf8_lossy(&seen[0].body).contains("key"));
}

#[rstest]
#[case::listed("connection: x-shade, close\r\nx-shade: 1\r\n", "x-shade")]
#[case::keep_alive("keep-alive: 5\r\n", "keep-alive")]
#[case::te("te: trailers\r\n", "te")]
#[case::proxy("proxy-connection: keep-alive\r\n", "proxy-connection")]
#[tokio::test]
async fn hop_headers(#[case] lines: &str, #[case] name: &str) {
    let headers = [
        ("connection", "x-row"),
        ("x-row", "1"),
        ("keep-alive", "3"),
        ("x-kept", "1"),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let script = BackendScript {
        headers: headers.into(),
        ..BackendScript::default()
    };
    let fleet = Fleet::start([script]).await;
    let response = fleet.send(&request("GET", "/listing", lines, "")).await;
    assert_eq!(response.status(), 200);
    assert_eq!(fleet.backends[0].seen()[0].header(name), None);
    assert_eq!(
        (response.header("x-row"), response.header("keep-alive")),
        (None, None)
    );
    assert_eq!(response.header("x-kept"), Some("1"));
}

#[rstest]
#[case::route_limit(9 * 1024)]
#[case::listener_limit(80 * 1024)]
#[tokio::test]
async fn large_head(#[case] bytes: usize) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let lines = format!("x-long: {}\r\n", "a".repeat(bytes));
    let response = fleet.send(&request("GET", "/listing", &lines, "")).await;
    assert_eq!(
        (response.status(), response.reason()),
        (431, "head_too_large")
    );
    assert_eq!(fleet.arrivals(), 0);
}

#[tokio::test]
async fn many_headers() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let lines = "x-row: 1\r\n".repeat(200);
    let response = fleet.send(&request("GET", "/listing", &lines, "")).await;
    assert_eq!(
        (response.status(), response.reason()),
        (431, "head_too_large")
    );
}

#[tokio::test]
async fn single_bytes() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let text = request(
        "POST",
        "/till",
        "transfer-encoding: chunked\r\n",
        "3\r\nrow\r\n0\r\na: b\r\n\r\n",
    );
    let mut stream = fleet.connect().await;
    stream.set_nodelay(true).expect("sets");
    for byte in text.as_bytes() {
        stream.write_all(&[*byte]).await.expect("writes");
        tokio::task::yield_now().await;
    }
    assert_eq!(fleet::read_to_end(&mut stream).await.status(), 200);
    assert_eq!(fleet.backends[0].seen()[0].body, b"row");
}
