//! Test fixture: a listener in front of backend servers, with an in-memory [`ForwardControl`].
#![allow(dead_code)]

use futures_util::future::{BoxFuture, FutureExt, ready};
use kws_fixture::SampleFleet;
use kws_forward::{
    AccessRecord, ExtraResponse, ForwardControl, GrantTicket, ListenerHandle, ListenerSettings,
    Refusal, RetryPermission, RoutingView, ServerGrant, ServerRequest, TryClass, TryOutcome,
    run_listener,
};
use kws_protocol::{
    FleetSettings, FleetSnapshot, KeyDigest, RefusalReason, ResponseChecks, RetryReason,
    RouteAccess, RouteName, RouteSettings, ServerName, ServiceName, TeamName, TeamSettings,
};
use kws_standin::{
    backend::{BackendHandle, BackendScript, BackendServer},
    caller::{self, CallerAnswer},
};
use sha2::{Digest, Sha256};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

/// Time limit for anything a test waits for; far above the expected time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The key of team `orchard`.
pub const KEY: &str = "orchard-key";

/// In-memory implementation of [`ForwardControl`].
#[derive(Debug)]
pub struct FakeControl {
    pub view: Mutex<Arc<RoutingView>>,
    pub servers: Vec<(ServerName, SocketAddr)>,
    pub current: AtomicBool,
    pub joining: AtomicBool,
    pub admission: Mutex<Result<(), Refusal>>,
    /// Slots are granted only while this is true.
    pub grants_open: watch::Sender<bool>,
    /// Number of `acquire` calls that are neither completed nor dropped.
    pub waiting_acquires: Arc<AtomicU64>,
    pub retry_permission: Mutex<RetryPermission>,
    pub next_ticket: AtomicU64,
    pub outcomes: Mutex<Vec<TryOutcome>>,
    pub refusals: Mutex<Vec<RefusalReason>>,
    pub retries: Mutex<Vec<RetryReason>>,
    pub extra_responses: Mutex<Vec<ExtraResponse>>,
    pub records: Mutex<Vec<AccessRecord>>,
    /// How long the worker is paused when the head of a response is ready.
    pub pause: Mutex<Duration>,
}

impl ForwardControl for FakeControl {
    fn view(&self) -> Option<Arc<RoutingView>> {
        Some(Arc::clone(&self.view.lock().unwrap()))
    }

    fn is_current(&self) -> bool {
        self.current.load(Ordering::SeqCst)
    }

    fn is_joining(&self) -> bool {
        self.joining.load(Ordering::SeqCst)
    }

    fn admit(&self, _: &str, _: &TeamName) -> BoxFuture<'static, Result<(), Refusal>> {
        ready(*self.admission.lock().unwrap()).boxed()
    }

    fn acquire(&self, request: ServerRequest) -> BoxFuture<'static, Result<ServerGrant, Refusal>> {
        let ticket = GrantTicket(self.next_ticket.fetch_add(1, Ordering::SeqCst));
        let usable = |(name, _): &&(ServerName, SocketAddr)| !request.excluded.contains(name);
        let grant = self
            .servers
            .iter()
            .find(usable)
            .map(|(server, address)| ServerGrant {
                server: server.clone(),
                address: *address,
                ticket,
                probe: false,
            });
        let mut open = self.grants_open.subscribe();
        let guard = AcquireGuard::new(&self.waiting_acquires);
        async move {
            let _guard = guard;
            let _ = open.wait_for(|open| *open).await;
            grant.ok_or(RefusalReason::NoServer.into())
        }
        .boxed()
    }

    fn retry(&self, _: &ServiceName) -> RetryPermission {
        *self.retry_permission.lock().unwrap()
    }

    fn finish(&self, _: GrantTicket, outcome: TryOutcome) {
        self.outcomes.lock().unwrap().push(outcome);
    }

    fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.lock().unwrap().push(reason);
    }

    fn count_retry(&self, reason: RetryReason) {
        self.retries.lock().unwrap().push(reason);
    }

    fn record_extra_response(&self, extra: &ExtraResponse) {
        self.extra_responses.lock().unwrap().push(extra.clone());
    }

    fn record_access(&self, record: AccessRecord) {
        self.records.lock().unwrap().push(record);
        thread::sleep(*self.pause.lock().unwrap());
    }
}

/// Counts a waiting call until dropped.
struct AcquireGuard(Arc<AtomicU64>);

impl AcquireGuard {
    fn new(waiting: &Arc<AtomicU64>) -> Self {
        waiting.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(waiting))
    }
}

impl Drop for AcquireGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Creates a route with the path, modified by `change`.
pub fn route(path: &str, change: impl FnOnce(&mut RouteSettings)) -> RouteSettings {
    let mut route = RouteSettings {
        name: RouteName::new(path),
        host: None,
        path: path.to_owned(),
        methods: BTreeSet::new(),
        service: ServiceName::new("listing"),
        split: Vec::new(),
        priority: 2,
        access: RouteAccess::AnyTeam,
        repeatable: None,
        deadline: TEST_TIMEOUT,
        objective: None,
        idle: TEST_TIMEOUT,
        tries: 2,
        hedge: None,
        max_head: 8 * 1024,
        max_body: 1 << 40,
        checks: ResponseChecks::default(),
    };
    change(&mut route);
    route
}

/// Creates settings with these routes and the team `orchard`.
pub fn settings(routes: impl IntoIterator<Item = RouteSettings>) -> FleetSettings {
    let orchard = TeamSettings {
        name: TeamName::new("orchard"),
        rate: 100.0,
        burst: 100.0,
        weight: 1.0,
        priority: None,
        keys: BTreeSet::from([KeyDigest(Sha256::digest(KEY).into())]),
    };
    let mut settings = SampleFleet::new(1, 1).settings();
    settings.routes = routes
        .into_iter()
        .map(|route| (route.name.clone(), route))
        .collect();
    settings.teams.insert(orchard.name.clone(), orchard);
    settings
}

pub fn snapshot(settings: FleetSettings) -> Arc<FleetSnapshot> {
    Arc::new(FleetSnapshot {
        settings: Arc::new(settings),
        ..SampleFleet::new(1, 1).snapshot()
    })
}

fn default_routes() -> [RouteSettings; 3] {
    [
        route("/open", |route| route.access = RouteAccess::Open),
        route("/listing", |_| ()),
        route("/till", |route| route.repeatable = Some(false)),
    ]
}

/// A running listener with its control and backend servers.
pub struct Fleet {
    pub backends: Vec<BackendHandle>,
    pub control: Arc<FakeControl>,
    pub listener: ListenerHandle,
}

impl Fleet {
    /// Starts a fleet with the given routes and one backend server for each script.
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
        let servers = servers.collect();
        Self::with_servers(settings(routes), backends, servers, |_| ())
    }

    /// Starts a fleet with the given servers and listener settings modified by `change`.
    pub fn with_servers(
        settings: FleetSettings,
        backends: Vec<BackendHandle>,
        servers: Vec<(ServerName, SocketAddr)>,
        change: impl FnOnce(&mut ListenerSettings),
    ) -> Self {
        let control = Arc::new(FakeControl {
            view: Mutex::new(Arc::new(RoutingView::new(snapshot(settings)))),
            servers,
            current: AtomicBool::new(true),
            joining: AtomicBool::new(false),
            admission: Mutex::new(Ok(())),
            grants_open: watch::Sender::new(true),
            waiting_acquires: Arc::default(),
            retry_permission: Mutex::new(RetryPermission::Granted),
            next_ticket: AtomicU64::new(0),
            outcomes: Mutex::default(),
            refusals: Mutex::default(),
            retries: Mutex::default(),
            extra_responses: Mutex::default(),
            records: Mutex::default(),
            pause: Mutex::default(),
        });
        let mut listener_settings = ListenerSettings::new((Ipv4Addr::LOCALHOST, 0).into(), 1);
        change(&mut listener_settings);
        let listener = run_listener(listener_settings, control.clone()).expect("listener starts");
        Self {
            backends,
            control,
            listener,
        }
    }

    /// Starts a fleet with the default routes: `/open` without a key, `/listing` repeatable,
    /// `/till` not repeatable.
    pub async fn start(scripts: impl IntoIterator<Item = BackendScript>) -> Self {
        Self::with_routes(default_routes(), scripts).await
    }

    /// Starts a fleet with the default routes, one backend server and a number of worker threads.
    pub async fn with_workers(workers: usize, script: BackendScript) -> Self {
        let backend = BackendServer::start(script).await.expect("backend starts");
        let servers = vec![(ServerName::new("server-0"), backend.address())];
        Self::with_servers(
            settings(default_routes()),
            vec![backend],
            servers,
            |settings| {
                settings.workers = workers;
            },
        )
    }

    /// Sends the bytes on a new connection and reads until the connection ends.
    pub async fn send(&self, request: &str) -> CallerAnswer {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.expect("writes");
        read_to_end(&mut stream).await
    }

    /// Requests a path with the key of `orchard`.
    pub async fn get(&self, path: &str) -> CallerAnswer {
        self.send(&get(path)).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.address())
            .await
            .expect("connects")
    }

    /// Waits until `count` tries have ended and returns their classes.
    pub async fn classes(&self, count: usize) -> Vec<TryClass> {
        until(|| self.control.outcomes.lock().unwrap().len() >= count).await;
        self.control
            .outcomes
            .lock()
            .unwrap()
            .iter()
            .map(|end| end.class)
            .collect()
    }

    pub fn set_settings(&self, settings: FleetSettings) {
        *self.control.view.lock().unwrap() = Arc::new(RoutingView::new(snapshot(settings)));
    }

    /// Returns the number of requests that arrived at all backend servers.
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
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("condition holds in time");
}

/// Formats a request for `path` with the key, on a connection that ends with the response.
pub fn get(path: &str) -> String {
    request("GET", path, "", "")
}

/// Formats a request with the key, further header lines and a body.
pub fn request(method: &str, path: &str, lines: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: farm.test\r\nx-api-key: {KEY}\r\n\
         connection: close\r\n{lines}\r\n{body}"
    )
}

/// Reads until the connection ends.
pub async fn read_to_end(stream: &mut (impl AsyncRead + Unpin)) -> CallerAnswer {
    let read = caller::read_to_end(stream);
    timeout(TEST_TIMEOUT, read).await.expect("connection ends")
}
