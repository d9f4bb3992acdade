//! Servers and callers that send bytes without end over TLS: memory stays within that of a small
//! host, and other callers are answered meanwhile. A process of its own, as it measures memory.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get, request, route, settings};
use futures_util::future::join_all;
use kws_forward::{BackendTrust, CertificateFiles, CertificateStore};
use kws_protocol::{FleetSettings, RouteAccess, ServerName};
use rustls::{
    ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection, Stream,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::spawn_blocking,
    time::timeout,
};

/// Connections at once.
const CONNECTIONS: usize = 100;
/// The route's timeout.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
/// No step takes longer on a machine that works at all.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Growth of the peak memory, in KiB, with the buffers of the test's own servers. A host of 160 MB has it
/// to spare.
const MAX_GROWTH_KIB: u64 = 64 << 10;
/// A head after which chunks follow.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// A whole answer.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nright";

/// What a server sends.
#[derive(Clone, Copy, Debug)]
enum EndlessBytes {
    /// The first text, and then the second one without end.
    Inside(&'static str, &'static str),
    /// The text, the end of the TLS session, and then bytes without end.
    AfterEnd(&'static str),
    /// No TLS session, but bytes without end.
    Outside,
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/certificates")
        .join(name)
}

fn server_config() -> Arc<ServerConfig> {
    let key = PrivateKeyDer::from_pem_file(file("first.key")).expect("reads");
    let certificate = CertificateDer::from_pem_file(file("first.pem")).expect("reads");
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("has versions")
        .with_no_client_auth()
        .with_single_cert(vec![certificate], key);
    Arc::new(config.expect("fits"))
}

fn start_server(bytes: EndlessBytes) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds");
    let address = listener.local_addr().expect("has an address");
    let config = server_config();
    thread::spawn(move || {
        while let Ok((tcp, _)) = listener.accept() {
            let config = Arc::clone(&config);
            thread::spawn(move || serve(tcp, config, bytes));
        }
    });
    address
}

fn serve(mut tcp: TcpStream, config: Arc<ServerConfig>, bytes: EndlessBytes) -> Option<()> {
    let (start, forever) = match bytes {
        EndlessBytes::Inside(start, forever) => (start, forever),
        EndlessBytes::AfterEnd(start) => (start, "more"),
        EndlessBytes::Outside => return send_forever(&mut tcp, "more"),
    };
    let mut tls = ServerConnection::new(config).ok()?;
    let mut stream = Stream::new(&mut tls, &mut tcp);
    let mut request = [0; 4096];
    let count = stream.read(&mut request).ok()?;
    let request = String::from_utf8_lossy(&request[..count]).into_owned();
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let start = start.replace("{id}", id.unwrap_or_default());
    stream.write_all(start.as_bytes()).ok()?;
    if matches!(bytes, EndlessBytes::Inside(..)) {
        return send_forever(&mut stream, forever);
    }
    tls.send_close_notify();
    tls.complete_io(&mut tcp).ok()?;
    send_forever(&mut tcp, forever)
}

fn send_forever(stream: &mut impl Write, text: &str) -> Option<()> {
    let block = text.repeat(16 * 1024 / text.len());
    loop {
        stream.write_all(block.as_bytes()).ok()?;
    }
}

fn tls_settings() -> FleetSettings {
    let mut settings = settings([route("/open", |route| {
        route.access = RouteAccess::Open;
        route.deadline = ROUTE_TIMEOUT;
        route.tries = 1;
    })]);
    for service in settings.services.values_mut() {
        service.tls = true;
    }
    settings
}

fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("reads");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.expect("has a value").parse().expect("is a number")
}

/// Reads a response to its end without keeping it.
async fn call(fleet: &Fleet) {
    let mut stream = fleet.connect().await;
    stream
        .write_all(get("/open").as_bytes())
        .await
        .expect("writes");
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

/// Sends a body without end, and reads nothing.
async fn upload(fleet: &Fleet) {
    let mut stream = fleet.connect().await;
    let head = request("POST", "/open", "content-length: 9000000000\r\n", "");
    stream.write_all(head.as_bytes()).await.expect("writes");
    let block = vec![b'a'; 64 * 1024];
    while stream.write_all(&block).await.is_ok() {}
}

async fn play(bytes: EndlessBytes, uploads: bool) {
    let servers = vec![(ServerName::new("server"), start_server(bytes))];
    let fleet = Fleet::with_servers(tls_settings(), Vec::new(), servers, |settings| {
        let trust = BackendTrust::load(&file("root.pem"));
        settings.backend_trust = Some(trust.expect("loads"));
    });
    let before = peak_kib();
    let calls = join_all((0..CONNECTIONS).map(async |_| {
        if uploads {
            upload(&fleet).await;
        } else {
            call(&fleet).await;
        }
    }));
    let others = async {
        for _ in 0..5 {
            assert_eq!(fleet.get("/nowhere").await.status(), 404);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let ended = timeout(MAX_WAIT, async { tokio::join!(calls, others) }).await;
    assert!(ended.is_ok(), "{bytes:?}");
    let growth = peak_kib() - before;
    println!("{bytes:?}, {uploads}: {growth} KiB");
    assert!(growth < MAX_GROWTH_KIB, "{bytes:?}: {growth} KiB more");
}

/// Sends a request and the end of the TLS session, and then bytes without end.
fn flood(address: SocketAddr) -> Option<()> {
    let mut roots = RootCertStore::empty();
    let root = CertificateDer::from_pem_file(file("root.pem")).expect("reads");
    roots.add(root).expect("is a root");
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("has versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = "127.0.0.1".try_into().expect("is a name");
    let mut tls = ClientConnection::new(Arc::new(config), name).expect("starts");
    let mut tcp = TcpStream::connect(address).expect("connects");
    let mut stream = Stream::new(&mut tls, &mut tcp);
    stream.write_all(get("/nowhere").as_bytes()).ok()?;
    tls.send_close_notify();
    tls.complete_io(&mut tcp).ok()?;
    send_forever(&mut tcp, "more")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ended_callers() {
    let files = CertificateFiles {
        chain: file("first.pem"),
        key: file("first.key"),
    };
    let store = Arc::new(CertificateStore::load(files).expect("loads"));
    let fleet = Fleet::with_servers(tls_settings(), Vec::new(), Vec::new(), |settings| {
        settings.certificate = Some(store);
    });
    let address = fleet.listener.address();
    let before = peak_kib();
    let callers = (0..CONNECTIONS).map(|_| spawn_blocking(move || flood(address)));
    let ended = timeout(MAX_WAIT, join_all(callers)).await;
    assert!(ended.is_ok(), "a connection stays open");
    let growth = peak_kib() - before;
    println!("callers: {growth} KiB");
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB more");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_servers() {
    for bytes in [
        EndlessBytes::Inside("", "HTTP/1.1 200 OK"),
        EndlessBytes::Inside("HTTP/1.1 200 OK\r\nx-a: ", "b"),
        EndlessBytes::Inside("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        EndlessBytes::Inside(CHUNKED, "5;a="),
        EndlessBytes::Inside(CHUNKED, "5\r\nright\r\n"),
        EndlessBytes::Inside("HTTP/1.1 200 OK\r\ncontent-length: 9000000000\r\n\r\n", "b"),
        EndlessBytes::Inside("HTTP/1.1 200 OK\r\n\r\n", "b"),
        EndlessBytes::Inside(WHOLE, "more"),
        EndlessBytes::Outside,
        EndlessBytes::AfterEnd(WHOLE),
        EndlessBytes::AfterEnd(CHUNKED),
        EndlessBytes::AfterEnd(""),
    ] {
        play(bytes, false).await;
    }
    play(EndlessBytes::AfterEnd(WHOLE), true).await;
    play(EndlessBytes::Inside(WHOLE, "more"), true).await;
}
