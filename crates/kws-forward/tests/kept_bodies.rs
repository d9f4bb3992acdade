//! The copies of request bodies for another try take no more memory than the bodies. A process of its
//! own, as it measures memory.

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/raw_server.rs"]
mod raw_server;

use fleet::{Fleet, TEST_TIMEOUT, request, route, settings};
use futures_util::future::join_all;
use kws_protocol::{RouteAccess, ServerName};
use raw_server::{RawServer, RawStep};
use rstest::rstest;
use std::{fs, time::Duration};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Requests at once.
const CALLERS: usize = 100;
/// A piece of a body.
const PIECE: [u8; 40] = [b'a'; 40];
/// Pieces of each body, which is within the size of which a copy is kept.
const PIECES: usize = 400;
/// The pause between two pieces, so that each is read by itself.
const PAUSE: Duration = Duration::from_millis(2);
/// Growth of the peak memory, in KiB. A host of 160 MB has it to spare.
const MAX_GROWTH_KIB: u64 = 64 << 10;

fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("reads");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.expect("has a value").parse().expect("is a number")
}

async fn upload(fleet: &Fleet) -> TcpStream {
    let mut stream = fleet.connect().await;
    let lines = format!("content-length: {}\r\n", PIECES * PIECE.len() + 1);
    let head = request("POST", "/open", &lines, "");
    stream.write_all(head.as_bytes()).await.expect("writes");
    for _ in 0..PIECES {
        stream.write_all(&PIECE).await.expect("writes");
        sleep(PAUSE).await;
    }
    stream
}

/// With and without a server that is free.
#[rstest]
#[tokio::test]
async fn small_pieces(#[values(true, false)] granted: bool) {
    let server = RawServer::start(vec![vec![RawStep::Wait(TEST_TIMEOUT)]]).await;
    let servers = vec![(ServerName::new("server-0"), server.address)];
    let routes = [route("/open", |route| route.access = RouteAccess::Open)];
    let fleet = Fleet::with_servers(settings(routes), Vec::new(), servers, |_| ());
    fleet.control.grants_open.send_replace(granted);
    let before = peak_kib();
    let open = join_all((0..CALLERS).map(|_| upload(&fleet))).await;
    let growth = peak_kib() - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB more");
    drop(open);
}
