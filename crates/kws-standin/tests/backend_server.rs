//! The backend server answers as its script says.

use kws_standin::backend::{BackendFault, BackendScript, BackendServer, BodyFraming};
use rstest::rstest;
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
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
