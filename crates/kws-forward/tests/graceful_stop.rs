//! A stop aborts no request in flight.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, TEST_TIMEOUT, get, read_to_end, request, route, until};
use kws_forward::{ListenerHandle, StopTimes};
use kws_standin::{
    backend::{BackendFault, BackendScript},
    caller::CallerAnswer,
};
use rstest::rstest;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

fn slow() -> BackendScript {
    BackendScript {
        body_bytes: 1000,
        piece_bytes: 100,
        piece_delay_ms: 100,
        ..BackendScript::default()
    }
}

async fn send_slowly(mut stream: TcpStream) -> CallerAnswer {
    for _ in 0..5 {
        sleep(Duration::from_millis(100)).await;
        stream.write_all(b"a").await.expect("writes");
    }
    read_to_end(&mut stream).await
}

#[tokio::test]
async fn requests_in_flight() {
    let fleet = Fleet::start([slow()]).await;
    let mut download = fleet.connect().await;
    download
        .write_all(get("/listing").as_bytes())
        .await
        .expect("writes");
    let mut upload = fleet.connect().await;
    let head = request("POST", "/till", "content-length: 5\r\n", "");
    upload.write_all(head.as_bytes()).await.expect("writes");
    let idle = fleet.connect().await;
    until(|| fleet.arrivals() == 2).await;
    let address = fleet.listener.address();
    let control = Arc::clone(&fleet.control);
    let stop = async {
        timeout(TEST_TIMEOUT, fleet.listener.stop())
            .await
            .expect("stops");
        control.outcomes.lock().unwrap().len()
    };
    let (ended, download, upload) =
        tokio::join!(stop, read_to_end(&mut download), send_slowly(upload));
    assert_eq!(ended, 2);
    for response in [download, upload] {
        assert_eq!(
            (response.status(), response.is_whole()),
            (200, true),
            "{response:?}"
        );
    }
    assert!(TcpStream::connect(address).await.is_err());
    drop(idle);
}

/// A worker that had no open connection for a moment must still wait for later connections.
#[tokio::test]
async fn after_idle() {
    let fleet = Fleet::start([slow()]).await;
    assert!(fleet.get("/listing").await.is_whole());
    let mut download = fleet.connect().await;
    download
        .write_all(get("/listing").as_bytes())
        .await
        .expect("writes");
    until(|| fleet.arrivals() == 2).await;
    let (response, ()) = tokio::join!(read_to_end(&mut download), fleet.listener.stop());
    assert_eq!((response.status(), response.is_whole()), (200, true));
}

/// Callers that reconnect immediately, so that a request is always in flight, must not delay a
/// stop.
#[tokio::test]
async fn reconnecting_callers() {
    let late = BackendScript {
        delay_ms: 800,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([late]).await;
    let address = fleet.listener.address();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            tokio::spawn(async move {
                // Staggered starts, so that some request is in flight at any time.
                sleep(Duration::from_millis(number * 120)).await;
                while send_get(address).await.is_ok() {}
            })
        })
        .collect();
    until(|| fleet.arrivals() > 8).await;
    let stopped = timeout(Duration::from_secs(8), fleet.listener.stop()).await;
    assert!(stopped.is_ok(), "still serving");
    callers.iter().for_each(JoinHandle::abort);
}

/// A caller that connects while a host stops, also while the host waits for requests in flight, is
/// served or refused: its connection is never accepted and then reset.
#[tokio::test]
async fn connecting_callers() {
    let late = BackendScript {
        delay_ms: 1_500,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([late, BackendScript::default()]).await;
    let address = fleet.listener.address();
    let slow = tokio::spawn(send_get(address));
    until(|| fleet.arrivals() == 1).await;
    let callers: Vec<_> = (0..100)
        .map(|number| {
            tokio::spawn(async move {
                sleep(Duration::from_millis(number * 15)).await;
                send_get(address).await
            })
        })
        .collect();
    timeout(TEST_TIMEOUT, fleet.listener.stop())
        .await
        .expect("stops");
    slow.await.expect("no panic").expect("a response");
    let mut reset = 0;
    for caller in callers {
        let outcome = caller.await.expect("no panic");
        let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        reset += usize::from(outcome.is_err_and(|error| !refused(&error)));
    }
    assert_eq!(reset, 0);
}

/// A stop lets the handshakes that are in progress end before it closes the socket, as long as a
/// round trip to a distant caller may take: callers that connect meanwhile are neither accepted nor
/// reset.
#[tokio::test]
async fn open_handshakes() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let address = fleet.listener.address();
    let started = Instant::now();
    let connect = async {
        sleep(Duration::from_millis(50)).await;
        timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    };
    let (stopped, connected) = tokio::join!(timeout(TEST_TIMEOUT, fleet.listener.stop()), connect);
    stopped.expect("stops");
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert!(connected.is_err(), "{connected:?}");
}

async fn send_get(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(get("/listing").as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let whole = bytes.starts_with(b"HTTP/1.1 200");
    whole
        .then_some(())
        .ok_or_else(|| io::Error::other("no response"))
}

#[tokio::test]
async fn drained_connection() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    let text = get("/listing").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.expect("reads");
    fleet.listener.drain();
    stream.write_all(text.as_bytes()).await.expect("writes");
    let rest = read_to_end(&mut stream).await.text;
    assert!(rest.contains("connection: close"), "{rest}");
    assert_eq!(fleet.get("/listing").await.status(), 200);
}

#[rstest]
#[case::first_request("")]
#[case::next_request("GET /listing HTTP/1.1\r\nhost: a\r\nx-api-key: orchard-key\r\n\r\n")]
#[tokio::test]
async fn half_sent_head(#[case] before: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    stream.write_all(before.as_bytes()).await.expect("writes");
    let expected = usize::from(!before.is_empty());
    until(|| fleet.arrivals() == expected).await;
    sleep(Duration::from_millis(200)).await;
    let text = get("/listing");
    let (start, rest) = text.split_at(20);
    stream.write_all(start.as_bytes()).await.expect("writes");
    sleep(Duration::from_millis(200)).await;
    let stop = timeout(TEST_TIMEOUT, fleet.listener.stop());
    let finish = async {
        sleep(Duration::from_millis(300)).await;
        let _ = stream.write_all(rest.as_bytes()).await;
        read_to_end(&mut stream).await
    };
    let (stopped, response) = tokio::join!(stop, finish);
    stopped.expect("stops");
    let whole = response.text.matches("HTTP/1.1 200").count();
    assert_eq!(whole, expected + 1, "{response:?}");
}

/// Guards against a stop that serves requests on idle kept connections until the process is killed
/// (review, case 1): once the listener is closed, such a connection is closed too, while another
/// one still has a request.
#[tokio::test]
async fn idle_kept_connection() {
    let slow = BackendScript {
        delay_ms: 3_000,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([slow]).await;
    let address = fleet.listener.address();
    let mut kept = fleet.connect().await;
    let unknown = get("/unknown").replace("connection: close\r\n", "");
    kept.write_all(unknown.as_bytes()).await.expect("writes");
    let mut head = [0; 12];
    kept.read_exact(&mut head).await.expect("reads");
    assert_eq!(&head, b"HTTP/1.1 404");
    let pending = tokio::spawn(send_get(address));
    until(|| fleet.arrivals() == 1).await;

    let (backends, listener) = (fleet.backends, fleet.listener);
    let stopped = tokio::spawn(listener.stop());
    sleep(Duration::from_millis(500)).await;
    let text = get("/till").replace("GET", "POST");
    let _ = kept.write_all(text.as_bytes()).await;
    let mut rest = Vec::new();
    let _ = timeout(TEST_TIMEOUT, kept.read_to_end(&mut rest))
        .await
        .expect("closed");
    let arrivals: usize = backends.iter().map(|backend| backend.seen().len()).sum();
    assert_eq!(arrivals, 1, "{}", String::from_utf8_lossy(&rest));
    assert!(!stopped.is_finished());
    pending.await.expect("no panic").expect("a response");
    timeout(TEST_TIMEOUT, stopped)
        .await
        .expect("stops")
        .expect("no panic");
}

/// Guards against responses cut by the kill at the end of the grace period (review, case 1): a
/// request that may take longer than what is left of it is refused as not run, another is served.
#[rstest]
#[case::may_last_too_long("30000", 503)]
#[case::ends_in_time("2000", 200)]
#[tokio::test]
async fn request_late_in_stop(#[case] deadline_ms: &str, #[case] status: u16) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    sleep(Duration::from_millis(100)).await;
    let (backends, listener) = (fleet.backends, fleet.listener);
    let (_, stopped) = stop_within(listener, Duration::from_secs(5));
    sleep(Duration::from_millis(50)).await;
    let deadline = format!("x-knapweedseam-deadline-ms: {deadline_ms}\r\n");
    let text = request("POST", "/till", &deadline, "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let response = read_to_end(&mut stream).await;
    assert_eq!(response.status(), status, "{response:?}");
    let refused = status == 503;
    assert_eq!(
        response.text.contains("knapweedseam-run: not run"),
        refused,
        "{response:?}"
    );
    assert_eq!(
        response.text.contains("retry-after:"),
        refused,
        "{response:?}"
    );
    let arrivals: usize = backends.iter().map(|backend| backend.seen().len()).sum();
    assert_eq!(arrivals, usize::from(!refused));
    ended(stopped).await;
}

/// Starts a stop that allows half of `length` for arrivals, and returns its end.
fn stop_within(listener: ListenerHandle, length: Duration) -> (Instant, JoinHandle<()>) {
    let times = StopTimes {
        arrival: Instant::now() + length / 2,
        end: Instant::now() + length,
    };
    (times.end, tokio::spawn(listener.stop_before(times)))
}

async fn ended(stopped: JoinHandle<()>) {
    let ended = timeout(TEST_TIMEOUT, stopped).await;
    ended.expect("stops").expect("no panic");
}

/// A request at a server gets an answer that promises nothing at the end of the stop, not before.
#[rstest]
#[case::one_worker(1)]
#[case::two_workers(2)]
#[tokio::test]
async fn unended_request(#[case] workers: usize) {
    let late = BackendScript {
        delay_ms: 10_000,
        ..BackendScript::default()
    };
    let fleet = Fleet::with_workers(workers, late).await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = fleet.connect().await;
        let text = request("POST", "/till", "content-length: 2\r\n", "ab");
        stream.write_all(text.as_bytes()).await.expect("writes");
        streams.push(stream);
    }
    until(|| fleet.backends[0].seen().len() == 4).await;
    let (end, stopped) = stop_within(fleet.listener, Duration::from_secs(2));
    for mut stream in streams {
        let response = read_to_end(&mut stream).await;
        assert_eq!(
            (response.status(), response.is_whole()),
            (502, true),
            "{response:?}"
        );
        assert_eq!(response.run(), "unknown");
        assert!(Instant::now() >= end);
    }
    ended(stopped).await;
}

/// No server gets the rest of a body that arrives late in a stop which the request may outlast.
#[rstest]
#[case::sized("content-length: 4\r\n", "ab", "cd")]
#[case::chunked(
    "transfer-encoding: chunked\r\n",
    "2\r\nab\r\n",
    "2\r\ncd\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn body_late_in_stop(#[case] framing: &str, #[case] first: &str, #[case] rest: &str) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    let text = request("POST", "/till", framing, first);
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    let (end, stopped) = stop_within(fleet.listener, Duration::from_secs(2));
    sleep(Duration::from_millis(1_500)).await;
    let _ = stream.write_all(rest.as_bytes()).await;
    let response = read_to_end(&mut stream).await;
    assert!(Instant::now() < end);
    assert_eq!(
        (response.status(), response.is_whole()),
        (502, true),
        "{response:?}"
    );
    assert_eq!(response.run(), "unknown");
    ended(stopped).await;
    let arrived: Vec<bool> = fleet.backends[0]
        .seen()
        .iter()
        .map(|one| one.whole)
        .collect();
    assert_eq!(arrived, [false]);
}

/// A body that ends early in a stop, or late with a time limit that ends in time, is passed on.
#[rstest]
#[case::early("20000", 5_000)]
#[case::late("1900", 2_000)]
#[tokio::test]
async fn body_in_time(#[case] limit_ms: &str, #[case] stop_ms: u64) {
    let fleet = Fleet::start([BackendScript::default()]).await;
    let mut stream = fleet.connect().await;
    let lines = format!("x-knapweedseam-deadline-ms: {limit_ms}\r\ncontent-length: 4\r\n");
    let text = request("POST", "/till", &lines, "ab");
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    let (_, stopped) = stop_within(fleet.listener, Duration::from_millis(stop_ms));
    sleep(Duration::from_millis(1_200)).await;
    stream.write_all(b"cd").await.expect("writes");
    let response = read_to_end(&mut stream).await;
    assert_eq!((response.status(), response.is_whole()), (200, true));
    ended(stopped).await;
}

/// A request that waits for a slot is refused while its caller can still go elsewhere.
#[tokio::test]
async fn waiting_request() {
    let fleet = Fleet::start([BackendScript::default()]).await;
    fleet.control.grants_open.send_replace(false);
    let mut stream = fleet.connect().await;
    let text = request("POST", "/till", "content-length: 2\r\n", "ab");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let waiting = Arc::clone(&fleet.control.waiting_acquires);
    until(|| waiting.load(Ordering::SeqCst) == 1).await;
    let (end, stopped) = stop_within(fleet.listener, Duration::from_secs(4));
    let response = read_to_end(&mut stream).await;
    assert!(Instant::now() < end);
    assert_eq!((response.status(), response.run()), (503, "not run"));
    assert_eq!((response.reason(), response.is_whole()), ("stopping", true));
    assert_eq!(waiting.load(Ordering::SeqCst), 0);
    fleet.control.grants_open.send_replace(true);
    ended(stopped).await;
    assert_eq!(fleet.backends[0].seen().len(), 0);
}

/// A try that fails during a stop is followed by none that might outlast the stop.
#[tokio::test]
async fn second_try() {
    let sheds = BackendScript {
        delay_ms: 1_500,
        ..BackendScript::with_fault(BackendFault::NotRun)
    };
    let late = BackendScript {
        delay_ms: 10_000,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([sheds, late]).await;
    let mut stream = fleet.connect().await;
    let text = request("POST", "/till", "content-length: 2\r\n", "ab");
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    let (end, stopped) = stop_within(fleet.listener, Duration::from_secs(4));
    let response = read_to_end(&mut stream).await;
    assert!(Instant::now() < end);
    assert_eq!((response.status(), response.run()), (503, "not run"));
    ended(stopped).await;
    assert_eq!(fleet.backends[1].seen().len(), 0);
}

/// No hedge is sent while the host stops if it might outlast the stop.
#[tokio::test]
async fn late_hedge() {
    let late = BackendScript {
        delay_ms: 1_500,
        ..BackendScript::default()
    };
    let hedged = route("/listing", |route| {
        route.repeatable = Some(true);
        route.hedge = Some(Duration::from_secs(1));
    });
    let fleet = Fleet::with_routes([hedged], [late.clone(), late]).await;
    let mut stream = fleet.connect().await;
    let text = get("/listing");
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    let (_, stopped) = stop_within(fleet.listener, Duration::from_secs(4));
    let response = read_to_end(&mut stream).await;
    assert_eq!((response.status(), response.is_whole()), (200, true));
    ended(stopped).await;
    assert_eq!(fleet.backends[1].seen().len(), 0);
}

/// A pipelined request isn't run once a response before it has announced the end of its connection.
#[tokio::test]
async fn pipelined_request() {
    let slow = BackendScript {
        delay_ms: 1_000,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([slow]).await;
    let mut stream = fleet.connect().await;
    let text = request("POST", "/till", "content-length: 2\r\n", "ab");
    let text = text.replace("connection: close\r\n", "").repeat(2);
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    fleet.listener.drain();
    let responses = read_to_end(&mut stream).await;
    assert_eq!(responses.header("connection"), Some("close"));
    let statuses = ["HTTP/1.1 200", "HTTP/1.1 503", "knapweedseam-run: not run"];
    let counts = statuses.map(|text| responses.text.matches(text).count());
    assert_eq!(counts, [1, 1, 1], "{responses:?}");
    assert_eq!(fleet.arrivals(), 1);
}

/// A connection counts as idle only when its whole response has left: a caller that reads slowly
/// while the host stops gets all of it.
#[rstest]
#[case::in_buffers(256 * 1024)]
#[case::beyond_buffers(16 * 1024 * 1024)]
#[tokio::test]
async fn unread_response(#[case] body_bytes: u64) {
    let large = BackendScript {
        body_bytes,
        ..BackendScript::default()
    };
    let fleet = Fleet::start([large]).await;
    let mut stream = fleet.connect().await;
    let text = get("/listing").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    until(|| fleet.arrivals() == 1).await;
    sleep(Duration::from_millis(100)).await;
    let stopped = tokio::spawn(fleet.listener.stop());
    sleep(Duration::from_millis(1_500)).await;
    let response = read_to_end(&mut stream).await;
    assert_eq!((response.status(), response.is_whole()), (200, true));
    timeout(TEST_TIMEOUT, stopped)
        .await
        .expect("stops")
        .expect("no panic");
}
