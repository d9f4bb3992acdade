//! The backend server answers as its script says.

use kws_standin::{
    backend::{
        BackendFault, BackendHandle, BackendScript, BackendServer, BodyFraming, RefusalCopies,
    },
    caller::{CallerAnswer, CallerConnection},
};
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const REQUEST: &str = "POST / HTTP/1.1\r\nhost: a\r\nx-request-id: 7\r\nconnection: close\r\n\
                       content-length: 3\r\n\r\nabc";

async fn ask(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(REQUEST.as_bytes()).await.expect("writes");
    stream.shutdown().await.expect("shuts");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("reads");
    answer
}

#[rstest]
#[case::whole(BackendFault::None, BodyFraming::Length, "7;7;7")]
#[case::chunked(BackendFault::None, BodyFraming::Chunked, "5\r\n7;7;7\r\n0\r\n\r\n")]
#[case::cut(BackendFault::CutBody(3), BodyFraming::Length, "7;7")]
#[case::cut_chunk(BackendFault::CutBody(3), BodyFraming::Chunked, "3\r\n7;7\r\n")]
#[case::wrong(BackendFault::Wrong, BodyFraming::Length, "wrong")]
#[tokio::test]
async fn scripted_body(
    #[case] fault: BackendFault,
    #[case] framing: BodyFraming,
    #[case] body: &str,
) {
    let script = BackendScript {
        body_bytes: 5,
        framing,
        fault,
        ..BackendScript::default()
    };
    let server = BackendServer::start(script).await.expect("starts");
    let answer = ask(server.address()).await;
    assert_eq!(answer.split_once("\r\n\r\n").expect("has a head").1, body);
    let seen = server.seen();
    assert_eq!(
        (seen[0].body.as_slice(), seen[0].whole),
        (&b"abc"[..], true)
    );
}

#[rstest]
#[case::known("fault: !CutBody 3\nstatus: 500", false)]
#[case::plain("status: 500\nfault: not_run", true)]
#[case::unknown_field("colour: red", false)]
fn script_text(#[case] text: &str, #[case] valid: bool) {
    assert_eq!(BackendScript::from_yaml(text).is_ok(), valid);
}

/// A request of which the server must be `instance`.
fn expecting(id: u32, instance: &str) -> String {
    format!(
        "POST / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-expected-server: {instance}\r\n\
         content-length: 0\r\n\r\n"
    )
}

fn copying(copies: RefusalCopies) -> BackendScript {
    BackendScript {
        instance: Some("new".to_owned()),
        refusal_headers: [("not-executed".to_owned(), "1".to_owned())].into(),
        ..BackendScript::with_fault(BackendFault::CopiedRefusals(copies))
    }
}

/// The status, the request's id and the promise of an answer.
fn summary(answer: &CallerAnswer) -> (u16, &str, bool) {
    let id = answer.header("x-request-id").unwrap_or_default();
    (answer.status(), id, answer.header("not-executed").is_some())
}

fn refusals(server: &BackendHandle) -> Vec<Option<u16>> {
    server.seen().iter().map(|seen| seen.refusal).collect()
}

#[tokio::test]
async fn other_instance() {
    let script = BackendScript {
        instance: Some("new".to_owned()),
        instance_header: "wanted".to_owned(),
        ..BackendScript::default()
    };
    let server = BackendServer::start(script).await.expect("starts");
    let mut caller = CallerConnection::connect(server.address())
        .await
        .expect("connects");
    let expected = [("old", 421), ("new", 200), ("old", 421)];
    for (instance, status) in expected {
        let request = expecting(7, instance).replace("x-expected-server", "wanted");
        let answer = caller.exchange(&request).await.expect("an answer");
        assert_eq!(answer.status(), status);
    }
    let without = caller.exchange(&expecting(7, "old")).await;
    assert_eq!(without.expect("an answer").status(), 200);
    assert_eq!(refusals(&server), [Some(421), None, Some(421), None]);
}

/// The copy of a refusal precedes the next answer on its connection, whatever request that is for.
#[rstest]
#[case::other_request(8)]
#[case::same_request(7)]
#[tokio::test]
async fn copied_before_answer(#[case] next: u32) {
    let server = BackendServer::start(copying(RefusalCopies::default())).await;
    let server = server.expect("starts");
    let mut caller = CallerConnection::connect(server.address())
        .await
        .expect("connects");
    let refused = caller.exchange(&expecting(7, "old")).await;
    assert_eq!(summary(&refused.expect("a refusal")), (421, "7", true));
    caller.send(&expecting(next, "new")).await.expect("sends");
    let mut stream = caller.into_idle();
    stream.shutdown().await.expect("shuts");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("reads");
    let (copy, answer) = text.split_once("\r\n\r\n").expect("two answers");
    let [copy, answer] = [copy, answer].map(|text| CallerAnswer {
        text: text.to_owned(),
    });
    assert_eq!(summary(&copy), (421, "7", true));
    assert_eq!(summary(&answer), (200, &*next.to_string(), false));
    assert_eq!(refusals(&server), [Some(421), None]);
}

#[tokio::test]
async fn copied_on_idle() {
    let copies = RefusalCopies {
        shed_every: 2,
        idle_ms: 10,
    };
    let server = BackendServer::start(copying(copies)).await.expect("starts");
    let mut caller = CallerConnection::connect(server.address())
        .await
        .expect("connects");
    let shed = caller.exchange(&expecting(7, "new")).await;
    assert_eq!(summary(&shed.expect("a refusal")), (503, "7", true));
    let copy = caller.receive().await.expect("a copy");
    assert_eq!(summary(&copy), (503, "7", true));
    let answer = caller.exchange(&expecting(8, "new")).await;
    assert_eq!(summary(&answer.expect("an answer")), (200, "8", false));
    let more = timeout(Duration::from_millis(50), caller.receive()).await;
    assert!(more.is_err(), "{more:?}");
    assert_eq!(refusals(&server), [Some(503), None]);
}

#[tokio::test]
async fn restarted_server() {
    let script = |instance: &str| BackendScript {
        instance: Some(instance.to_owned()),
        ..BackendScript::default()
    };
    let server = BackendServer::start(script("old")).await.expect("starts");
    let address = server.address();
    let mut old = CallerConnection::connect(address).await.expect("connects");
    old.exchange(&expecting(7, "old")).await.expect("an answer");
    server.restart(script("new")).await.expect("starts again");
    assert!(old.exchange(&expecting(8, "old")).await.is_err());
    let mut new = CallerConnection::connect(address).await.expect("connects");
    let answer = new.exchange(&expecting(9, "new")).await;
    assert_eq!(answer.expect("an answer").status(), 200);
    let connections: Vec<u64> = server.seen().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 1]);
}
