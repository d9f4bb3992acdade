//! TLS connections with callers and backend servers.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, TEST_TIMEOUT, get, request, route, settings, until};
use kws_forward::{BackendTrust, CertificateFiles, CertificateStore, StopTimes};
use kws_protocol::{FleetSettings, ServerName};
use kws_standin::backend::{BackendScript, BackendServer};
use rstest::rstest;
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
use tokio::time::{Instant, timeout};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/certificates")
        .join(name)
}

fn certificate(name: &str) -> CertificateDer<'static> {
    CertificateDer::from_pem_file(file(name)).expect("reads")
}

/// Sends a request over TLS; returns the certificate that the listener presents and its response.
fn send_request(address: SocketAddr, text: &str) -> (CertificateDer<'static>, String) {
    let mut roots = RootCertStore::empty();
    roots.add(certificate("root.pem")).expect("is a root");
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("has versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = "127.0.0.1".try_into().expect("is a name");
    let mut tls = ClientConnection::new(Arc::new(config), name).expect("starts");
    let mut tcp = TcpStream::connect(address).expect("connects");
    let mut response = Vec::new();
    let mut stream = Stream::new(&mut tls, &mut tcp);
    stream.write_all(text.as_bytes()).expect("writes");
    let _ = stream.read_to_end(&mut response);
    let presented = tls.peer_certificates().expect("presents a certificate")[0]
        .clone()
        .into_owned();
    (presented, String::from_utf8_lossy(&response).into_owned())
}

/// Starts a backend server that responds to one request over TLS.
fn tls_server() -> SocketAddr {
    let key = PrivateKeyDer::from_pem_file(file("first.key")).expect("reads");
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("has versions")
        .with_no_client_auth()
        .with_single_cert(vec![certificate("first.pem")], key)
        .expect("fits");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds");
    let address = listener.local_addr().expect("has an address");
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().expect("accepts");
        let mut tls = ServerConnection::new(Arc::new(config)).expect("starts");
        let mut stream = Stream::new(&mut tls, &mut tcp);
        let mut request = [0; 4096];
        if stream.read(&mut request).is_ok_and(|count| count > 0) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    address
}

fn tls_settings() -> FleetSettings {
    let mut settings = settings([route("/open", |_| ())]);
    for service in settings.services.values_mut() {
        service.tls = true;
    }
    settings
}

#[tokio::test]
async fn renewed_certificate() {
    let directory = std::env::temp_dir().join(format!("kws-tls-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("makes");
    let files = CertificateFiles {
        chain: directory.join("chain.pem"),
        key: directory.join("key.pem"),
    };
    let publish = |name: &str| {
        fs::copy(file(&format!("{name}.pem")), &files.chain).expect("copies");
        fs::copy(file(&format!("{name}.key")), &files.key).expect("copies");
    };
    publish("first");
    let store = Arc::new(CertificateStore::load(files.clone()).expect("loads"));
    let presented = Arc::clone(&store);
    let settings = settings([route("/other", |_| ())]);
    let fleet = Fleet::with_servers(settings, Vec::new(), Vec::new(), |listener_settings| {
        listener_settings.certificate = Some(presented);
    });
    let address = fleet.listener.address();
    let request = || tokio::task::spawn_blocking(move || send_request(address, &get("/open")));
    let (first, response) = request().await.expect("asks");
    assert_eq!(
        (first, response.contains("404")),
        (certificate("first.pem"), true)
    );
    publish("second");
    store.reload().expect("reloads");
    assert_eq!(request().await.expect("asks").0, certificate("second.pem"));
    // A chain that does not match the key leaves the previous certificate in use.
    fs::copy(file("first.pem"), &files.chain).expect("copies");
    assert!(store.reload().is_err());
    assert_eq!(request().await.expect("asks").0, certificate("second.pem"));
    fs::remove_dir_all(&directory).expect("removes");
}

/// A stop ends requests of TLS callers like others, and no open handshake holds it.
#[rstest]
#[case::ends_in_time(500, "HTTP/1.1 200", "")]
#[case::unended(10_000, "HTTP/1.1 502", "knapweedseam-run: unknown")]
#[tokio::test]
async fn tls_stop(#[case] delay_ms: u64, #[case] status: &str, #[case] run: &str) {
    let files = CertificateFiles {
        chain: file("first.pem"),
        key: file("first.key"),
    };
    let store = Arc::new(CertificateStore::load(files).expect("loads"));
    let script = BackendScript {
        delay_ms,
        ..BackendScript::default()
    };
    let backend = BackendServer::start(script).await.expect("starts");
    let servers = vec![(ServerName::new("server"), backend.address())];
    let settings = settings([route("/till", |route| route.repeatable = Some(false))]);
    let fleet = Fleet::with_servers(settings, vec![backend], servers, |listener_settings| {
        listener_settings.certificate = Some(store);
    });
    let handshake = fleet.connect().await;
    let address = fleet.listener.address();
    let text = request("POST", "/till", "content-length: 2\r\n", "ab");
    let caller = tokio::task::spawn_blocking(move || send_request(address, &text).1);
    until(|| fleet.arrivals() == 1).await;
    let now = Instant::now();
    let times = StopTimes {
        arrival: now + Duration::from_secs(1),
        end: now + Duration::from_secs(2),
    };
    let stopped = timeout(TEST_TIMEOUT, fleet.listener.stop_before(times)).await;
    stopped.expect("stops");
    let response = caller.await.expect("asks");
    assert!(response.starts_with(status), "{response}");
    assert!(response.contains(run), "{response}");
    drop(handshake);
}

#[rstest]
#[case::trusted(Some("root.pem"), 200, "")]
#[case::other_authority(Some("other-root.pem"), 503, "not run")]
#[case::no_authority(None, 503, "not run")]
#[tokio::test]
async fn backend_trust(#[case] root: Option<&str>, #[case] status: u16, #[case] run: &str) {
    let servers = vec![(ServerName::new("server"), tls_server())];
    let fleet = Fleet::with_servers(tls_settings(), Vec::new(), servers, |listener_settings| {
        listener_settings.backend_trust =
            root.map(|root| BackendTrust::load(&file(root)).expect("loads"));
    });
    let response = fleet.get("/open").await;
    assert_eq!((response.status(), response.run()), (status, run));
}
