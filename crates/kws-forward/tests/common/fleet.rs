//! A listener before backend servers, steered by an in-memory control.
#![allow(dead_code)]

use futures_util::future::{BoxFuture, FutureExt, ready};
use kws_forward::{
    AccessRecord, ForwardControl, GrantTicket, ListenerHandle, ListenerSettings, Refusal,
    RetryVerdict, ServerGrant, ServerRequest, TryClass, TryOutcome, TryReport, run_listener,
};
use kws_protocol::{
    AnswerChecks, FleetSettings, FleetSnapshot, FreshnessSettings, HostList, KeyDigest,
    RefusalReason, RetryReason, RouteAccess, RouteName, RouteSettings, ServerName, ServiceName,
    TeamName, TeamSettings, TreeRevision,
};
use kws_standin::backend::{BackendHandle, BackendScript, BackendServer};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

/// A bound for what must happen at all; nothing is expected to come near it.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// The key of team `orchard`.
pub const KEY: &str = "orchard-key";

/// The in-memory control.
#[derive(Debug)]
pub struct FakeControl {
    pub snapshot: Mutex<Arc<FleetSnapshot>>,
    pub servers: Vec<(ServerName, SocketAddr)>,
    pub current: AtomicBool,
    pub admits: Mutex<Result<(), Refusal>>,
    /// Grants are held back while this is false.
    pub open: watch::Sender<bool>,
    /// Calls for a server that are neither answered nor dropped.
    pub waiting: Arc<AtomicU64>,
    pub verdict: Mutex<RetryVerdict>,
    pub next: AtomicU64,
    pub ends: Mutex<Vec<TryOutcome>>,
    pub refusals: Mutex<Vec<RefusalReason>>,
    pub retries: Mutex<Vec<RetryReason>>,
    pub records: Mutex<Vec<AccessRecord>>,
}

impl ForwardControl for FakeControl {
    fn snapshot(&self) -> Option<Arc<FleetSnapshot>> {
        Some(Arc::clone(&self.snapshot.lock().unwrap()))
    }

    fn is_current(&self) -> bool {
        self.current.load(Ordering::SeqCst)
    }

    fn admit(&self, _: &TeamName) -> BoxFuture<'static, Result<(), Refusal>> {
        ready(*self.admits.lock().unwrap()).boxed()
    }

    fn acquire(
        &self,
        request: ServerRequest,
    ) -> BoxFuture<'static, Result<ServerGrant, RefusalReason>> {
        let ticket = GrantTicket(self.next.fetch_add(1, Ordering::SeqCst));
        let free = |(name, _): &&(ServerName, SocketAddr)| !request.excluded.contains(name);
        let grant = self
            .servers
            .iter()
            .find(free)
            .map(|(server, address)| ServerGrant {
                server: server.clone(),
                address: *address,
                ticket,
            });
        let mut open = self.open.subscribe();
        let gauge = WaitGauge::new(&self.waiting);
        async move {
            let _gauge = gauge;
            let _ = open.wait_for(|open| *open).await;
            grant.ok_or(RefusalReason::NoServer)
        }
        .boxed()
    }

    fn retry(&self, _: &TryReport) -> RetryVerdict {
        *self.verdict.lock().unwrap()
    }

    fn finish(&self, _: GrantTicket, outcome: TryOutcome) {
        self.ends.lock().unwrap().push(outcome);
    }

    fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.lock().unwrap().push(reason);
    }

    fn count_retry(&self, reason: RetryReason) {
        self.retries.lock().unwrap().push(reason);
    }

    fn access_log(&self, record: AccessRecord) {
        self.records.lock().unwrap().push(record);
    }
}

/// Counts one waiting call as long as it lives.
struct WaitGauge(Arc<AtomicU64>);

impl WaitGauge {
    fn new(waiting: &Arc<AtomicU64>) -> Self {
        waiting.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(waiting))
    }
}

impl Drop for WaitGauge {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A route with the path and the changes that a test needs.
pub fn route(path: &str, change: impl FnOnce(&mut RouteSettings)) -> RouteSettings {
    let mut route = RouteSettings {
        name: RouteName::new(path),
        host: None,
        path: path.to_owned(),
        methods: BTreeSet::new(),
        service: ServiceName::new("service"),
        access: RouteAccess::AnyTeam,
        repeatable: None,
        deadline: PATIENCE,
        idle: PATIENCE,
        tries: 2,
        hedge: None,
        max_head: 8 * 1024,
        max_body: 1 << 40,
        checks: AnswerChecks::default(),
    };
    change(&mut route);
    route
}

/// The settings with these routes, and the team `orchard`.
pub fn settings(routes: impl IntoIterator<Item = RouteSettings>) -> FleetSettings {
    let orchard = TeamSettings {
        name: TeamName::new("orchard"),
        rate: 100.0,
        burst: 100.0,
        weight: 1.0,
        keys: BTreeSet::from([KeyDigest(Sha256::digest(KEY).into())]),
    };
    FleetSettings {
        freshness: FreshnessSettings {
            lease: Duration::from_secs(3),
            list_lag: Duration::from_secs(3),
            stale_region: Duration::from_secs(3),
            clock_drift_ppm: 100,
        },
        regions: BTreeMap::new(),
        services: BTreeMap::new(),
        routes: routes
            .into_iter()
            .map(|route| (route.name.clone(), route))
            .collect(),
        teams: BTreeMap::from([(orchard.name.clone(), orchard)]),
    }
}

fn snapshot(settings: FleetSettings) -> Arc<FleetSnapshot> {
    Arc::new(FleetSnapshot {
        revision: TreeRevision(1),
        settings,
        hosts: HostList::default(),
    })
}

/// The listener and what stands around it.
pub struct Fleet {
    pub backends: Vec<BackendHandle>,
    pub control: Arc<FakeControl>,
    pub listener: ListenerHandle,
}

impl Fleet {
    /// A fleet with the given routes, before one backend server for each script.
    pub async fn with_routes(
        routes: impl IntoIterator<Item = RouteSettings>,
        scripts: impl IntoIterator<Item = BackendScript>,
    ) -> Self {
        let mut backends = Vec::new();
        for script in scripts {
            backends.push(BackendServer::start(script).await.expect("backend starts"));
        }
        let servers = backends
            .iter()
            .enumerate()
            .map(|(at, backend)| (ServerName::new(&format!("server-{at}")), backend.address()));
        let control = Arc::new(FakeControl {
            snapshot: Mutex::new(snapshot(settings(routes))),
            servers: servers.collect(),
            current: AtomicBool::new(true),
            admits: Mutex::new(Ok(())),
            open: watch::Sender::new(true),
            waiting: Arc::default(),
            verdict: Mutex::new(RetryVerdict::Retry),
            next: AtomicU64::new(0),
            ends: Mutex::default(),
            refusals: Mutex::default(),
            retries: Mutex::default(),
            records: Mutex::default(),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let listener = run_listener(ListenerSettings::new(address, 1), control.clone());
        Self {
            backends,
            control,
            listener: listener.expect("listener starts"),
        }
    }

    /// The usual routes: `/open` for all, `/listing` repeatable, `/till` not.
    pub async fn start(scripts: impl IntoIterator<Item = BackendScript>) -> Self {
        let routes = [
            route("/open", |route| route.access = RouteAccess::Open),
            route("/listing", |_| ()),
            route("/till", |route| route.repeatable = Some(false)),
        ];
        Self::with_routes(routes, scripts).await
    }

    /// Sends the bytes on a new connection and reads until it ends.
    pub async fn send(&self, request: &str) -> Answer {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.expect("writes");
        read_to_end(&mut stream).await
    }

    /// Asks for a path with the key of `orchard`.
    pub async fn get(&self, path: &str) -> Answer {
        self.send(&get(path)).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.address())
            .await
            .expect("connects")
    }

    /// The classes of the ended tries, once there are `count`.
    pub async fn classes(&self, count: usize) -> Vec<TryClass> {
        until(|| self.control.ends.lock().unwrap().len() >= count).await;
        self.control
            .ends
            .lock()
            .unwrap()
            .iter()
            .map(|end| end.class)
            .collect()
    }

    pub fn set_settings(&self, settings: FleetSettings) {
        *self.control.snapshot.lock().unwrap() = snapshot(settings);
    }

    /// Requests that arrived at all backend servers.
    pub fn arrivals(&self) -> usize {
        self.backends
            .iter()
            .map(|backend| backend.seen().len())
            .sum()
    }
}

/// Waits until `condition` holds.
pub async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, wait).await.expect("happens at all");
}

/// A request for `path` with the key, on a connection that ends with the answer.
pub fn get(path: &str) -> String {
    request("GET", path, "", "")
}

/// A request with the key, further header lines and a body.
pub fn request(method: &str, path: &str, lines: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: farm.test\r\nx-api-key: {KEY}\r\n\
         connection: close\r\n{lines}\r\n{body}"
    )
}

/// What came back on a connection until it ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub text: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        let code = self.text.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head().lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub fn head(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or(&self.text, |(head, _)| head)
    }

    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    pub fn reason(&self) -> &str {
        self.header("knapweedseam-reason").unwrap_or("")
    }

    pub fn run(&self) -> &str {
        self.header("knapweedseam-run").unwrap_or("")
    }

    /// Whether the framing says that the body is whole.
    pub fn is_whole(&self) -> bool {
        match self.header("content-length") {
            Some(length) => length.parse() == Ok(self.body().len()),
            None => self.body().ends_with("0\r\n\r\n"),
        }
    }
}

/// Reads until the connection ends, by a close or by a reset.
pub async fn read_to_end(stream: &mut (impl AsyncRead + Unpin)) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let read = async {
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            bytes.extend_from_slice(&buffer[..count]);
        }
    };
    timeout(PATIENCE, read).await.expect("connection ends");
    Answer {
        text: String::from_utf8_lossy(&bytes).into_owned(),
    }
}
