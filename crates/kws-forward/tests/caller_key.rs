//! A request is executed only for the team whose key it carries, and no backend server receives the
//! key.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, get, route, settings, until};
use kws_protocol::{RouteAccess, TeamName};
use kws_standin::backend::BackendScript;
use rstest::rstest;
use std::{collections::BTreeSet, sync::atomic::Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn get_with_headers(path: &str, lines: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: farm.test\r\nconnection: close\r\n{lines}\r\n")
}

#[rstest]
#[case::bearer("/listing", "authorization: Bearer orchard-key\r\n")]
#[case::bearer_case("/listing", "Authorization: bEARER  orchard-key\r\n")]
#[case::header("/listing", "x-api-key: orchard-key\r\n")]
#[case::query("/listing?row=4&api_key=orchard-key&day=2", "")]
#[case::escaped_query("/listing?api%5Fkey=orchard%2Dkey", "")]
#[case::cookie("/listing", "cookie: a=1; api_key=orchard-key; b=2\r\n")]
#[case::open_route("/open?api_key=orchard-key", "")]
#[tokio::test]
async fn key_locations(#[case] path: &str, #[case] lines: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let response = fleet.send(&get_with_headers(path, lines)).await;
    assert_eq!(response.status(), 200, "{response:?}");
    let head = fleet.backends[0].seen()[0].head.to_lowercase();
    for secret in [
        KEY,
        "orchard%2d",
        "api_key",
        "api%5f",
        "authorization",
        "x-api-key",
    ] {
        assert!(!head.contains(secret), "{head}");
    }
    let records = format!("{:?}", fleet.control.records.lock().unwrap());
    assert!(
        !records.contains(KEY) && !records.contains("row"),
        "{records}"
    );
}

#[rstest]
#[case::own_referer(
    "/listing",
    "referer: https://farm.test/rows?api_key=orchard-key&a=b\r\n",
    200
)]
#[case::escaped_referer("/listing", "referer: https://a/rows?api%5fkey=orchard%2dkey\r\n", 200)]
#[case::other_header("/listing", "x-note: for orchard-key only\r\n", 200)]
#[case::other_cookie("/listing", "cookie: a=1; session=orchard-key\r\n", 200)]
#[case::other_parameter("/listing?note=orchard-key", "", 400)]
#[case::path("/listing/orchard%2Dkey", "", 400)]
#[tokio::test]
async fn copied_key(#[case] path: &str, #[case] lines: &str, #[case] status: u16) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let lines = format!("x-api-key: {KEY}\r\n{lines}");
    assert_eq!(
        fleet.send(&get_with_headers(path, &lines)).await.status(),
        status
    );
    let records = fleet.control.records.lock().unwrap();
    let seen = format!("{:?}{records:?}", fleet.backends[0].seen()).to_lowercase();
    assert!(
        !seen.contains(KEY) && !seen.contains("orchard%2d"),
        "{seen}"
    );
}

#[rstest]
#[case::none("/listing", "", 401, "key_missing")]
#[case::unknown("/listing", "x-api-key: other\r\n", 401, "key_unknown")]
#[case::empty("/listing", "x-api-key: \r\n", 401, "key_unknown")]
#[case::basic(
    "/listing",
    "authorization: Basic b3JjaGFyZC1rZXk=\r\n",
    401,
    "key_missing"
)]
#[case::same_header(
    "/listing",
    "x-api-key: orchard-key\r\nx-api-key: orchard-key\r\n",
    400,
    "key_twice"
)]
#[case::two_places(
    "/listing?api_key=orchard-key",
    "x-api-key: orchard-key\r\n",
    400,
    "key_twice"
)]
#[case::twice_open("/open?api_key=a", "cookie: api_key=b\r\n", 400, "key_twice")]
#[case::semicolon("/open?a=1;api_key=orchard-key", "", 400, "bad_request")]
#[case::other_team("/press", "x-api-key: orchard-key\r\n", 403, "team_forbidden")]
#[tokio::test]
async fn refused_key(
    #[case] path: &str,
    #[case] lines: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let press = route("/press", |route| {
        route.access = RouteAccess::Teams(BTreeSet::from([TeamName::new("press")]));
    });
    let open = route("/open", |route| route.access = RouteAccess::Open);
    let routes = [press, open, route("/listing", |_| ())];
    let fleet = Fleet::with_routes(routes, [BackendScript::default()]).await;
    let response = fleet.send(&get_with_headers(path, lines)).await;
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (status, reason, "not run")
    );
    assert_eq!(fleet.arrivals(), 0);
    assert_eq!(fleet.control.refusals.lock().unwrap()[0].as_str(), reason);
}

#[tokio::test]
async fn open_without_key() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    assert_eq!(
        fleet.send(&get_with_headers("/open", "")).await.status(),
        200
    );
}

#[rstest]
#[case::team("x-knapweedseam-team: press", "x-knapweedseam-team", Some("orchard"))]
#[case::forwarded("forwarded: for=1.2.3.4", "forwarded", None)]
#[case::forwarded_for("x-forwarded-for: 1.2.3.4", "x-forwarded-for", Some("127.0.0.1"))]
#[case::forwarded_host("x-forwarded-host: a", "x-forwarded-host", None)]
#[case::underscore("x_forwarded_for: 1.2.3.4", "x_forwarded_for", None)]
#[case::run("knapweedseam-run: not run", "knapweedseam-run", None)]
#[tokio::test]
async fn identity_headers(#[case] line: &str, #[case] name: &str, #[case] seen: Option<&str>) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let response = fleet
        .send(&get_with_headers(
            "/listing",
            &format!("x-api-key: {KEY}\r\n{line}\r\n"),
        ))
        .await;
    assert_eq!(response.status(), 200);
    let request = &fleet.backends[0].seen()[0];
    assert_eq!(request.header(name), seen);
    let lines = request.head.matches(&format!("\n{name}:")).count();
    assert_eq!(lines, usize::from(seen.is_some()));
}

#[rstest]
#[case::valid("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true)]
#[case::zero_trace("00-00000000000000000000000000000000-b7ad6b7169203331-01", false)]
#[case::words("orchard-key", false)]
#[tokio::test]
async fn trace_parent(#[case] sent: &str, #[case] kept: bool) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let lines = format!("x-api-key: {KEY}\r\ntraceparent: {sent}\r\n");
    fleet.send(&get_with_headers("/listing", &lines)).await;
    let seen = fleet.backends[0].seen()[0].clone();
    let trace = seen.header("traceparent").expect("has a trace");
    assert_eq!((trace.len(), trace != sent), (55, true));
    assert_eq!(trace.get(3..35) == sent.get(3..35), kept);
}

#[rstest]
#[case::revoked_key(|fleet: &Fleet| {
    let mut changed = settings([route("/listing", |_| ())]);
    changed.teams.clear();
    fleet.set_settings(changed);
}, 401, "key_unknown")]
#[case::lost_lease(|fleet: &Fleet| {
    fleet.control.current.store(false, Ordering::SeqCst);
}, 503, "not_current")]
#[case::closed_route(|fleet: &Fleet| {
    let teams = RouteAccess::Teams(BTreeSet::from([TeamName::new("press")]));
    fleet.set_settings(settings([route("/listing", |route| route.access = teams)]));
}, 403, "team_forbidden")]
#[tokio::test]
async fn change_while_queued(#[case] apply: fn(&Fleet), #[case] status: u16, #[case] reason: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    fleet.control.grants_open.send_replace(false);
    let change = async {
        until(|| fleet.control.waiting_acquires.load(Ordering::SeqCst) == 1).await;
        apply(&fleet);
        fleet.control.grants_open.send_replace(true);
    };
    let (response, ()) = tokio::join!(fleet.get("/listing"), change);
    assert_eq!(
        (response.status(), response.reason(), response.run()),
        (status, reason, "not run")
    );
    assert_eq!(fleet.arrivals(), 0);
    // The slot is released.
    fleet.classes(1).await;
}

#[tokio::test]
async fn open_connection() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    let text = get("/listing").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.expect("reads");
    assert_eq!(&first, b"HTTP/1.1 200");
    let mut changed = settings([route("/listing", |_| ())]);
    changed.teams.clear();
    fleet.set_settings(changed);
    stream
        .write_all(get("/listing").as_bytes())
        .await
        .expect("writes");
    let rest = fleet::read_to_end(&mut stream).await.text;
    assert!(rest.contains("HTTP/1.1 401"), "{rest}");
    assert_eq!(fleet.arrivals(), 1);
}
