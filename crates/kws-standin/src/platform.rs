//! The platform's configuration service: the read side of Consul's key-value protocol.

use base64::{Engine, engine::general_purpose::STANDARD};
use kws_protocol::{PublishedValues, TreeRevision};
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpRequest, HttpResponse, HttpServer, types::State},
};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// The longest that one blocking query waits when the request names no wait.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// How the service behaves.
#[derive(Clone, Debug, Default)]
pub enum PlatformMode {
    /// Answers at once or when something changes.
    #[default]
    Up,
    /// Answers every call with status 500.
    Down,
    /// Answers each call only after this delay.
    Slow(Duration),
    /// Serves these older values whatever is published.
    Stale(PublishedValues),
}

/// The running service; it stops with the process.
#[derive(Clone, Debug)]
pub struct PlatformService {
    address: SocketAddr,
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    values: Mutex<PublishedValues>,
    mode: Mutex<PlatformMode>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
    writes: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    index: Option<u64>,
    wait: Option<String>,
}

impl PlatformService {
    /// Starts the service on a free loopback port.
    ///
    /// # Panics
    /// When no port can be bound.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        let shared = Arc::new(SharedState {
            values: Mutex::default(),
            mode: Mutex::default(),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || serve(listener, &served));
        Self { address, shared }
    }

    /// The base address for readers.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets one value and raises the revision; returns the new one.
    pub fn publish(&self, key: &str, text: &str) -> TreeRevision {
        self.publish_all([(key, text)])
    }

    /// Sets several values at one revision, and returns it.
    pub fn publish_all<'a, I>(&self, changes: I) -> TreeRevision
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let mut values = lock(&self.shared.values);
        for (key, text) in changes {
            values.values.insert(key.to_owned(), Arc::from(text));
        }
        values.revision = values.revision.next();
        let revision = values.revision;
        drop(values);
        self.wake();
        revision
    }

    /// What is published now.
    pub fn published(&self) -> PublishedValues {
        lock(&self.shared.values).clone()
    }

    /// Changes the behaviour, for waiting reads too.
    pub fn set_mode(&self, mode: PlatformMode) {
        *lock(&self.shared.mode) = mode;
        self.wake();
    }

    /// Reads that were asked for so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Writes that were tried and denied so far.
    pub fn writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }

    fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(listener: TcpListener, shared: &Arc<SharedState>) {
    let shared = Arc::clone(shared);
    System::new("platform", DefaultRuntime).block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(Arc::clone(&shared))
                .service(web::resource("/v1/kv/{prefix}*").to(read_values))
        });
        let server = server.workers(1).disable_signals().listen(listener);
        if let Ok(server) = server {
            let _ = server.run().await;
        }
    });
}

async fn read_values(request: HttpRequest, shared: State<Arc<SharedState>>) -> HttpResponse {
    if request.method() != ntex::http::Method::GET {
        shared.writes.fetch_add(1, Ordering::Relaxed);
        return HttpResponse::Forbidden().finish();
    }
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let Ok(query) = web::types::Query::<ReadQuery>::from_query(request.query_string()) else {
        return HttpResponse::BadRequest().finish();
    };
    let known = query.index.unwrap_or(0);
    let wait = query.wait.as_deref().map_or(DEFAULT_WAIT, parse_wait);
    let _ = timeout(wait, wait_change(&shared, known)).await;
    let mode = lock(&shared.mode).clone();
    let values = match mode {
        PlatformMode::Down => return HttpResponse::InternalServerError().finish(),
        PlatformMode::Stale(values) => values,
        PlatformMode::Slow(delay) => {
            sleep(delay).await;
            lock(&shared.values).clone()
        }
        PlatformMode::Up => lock(&shared.values).clone(),
    };
    answer(request.path(), &values)
}

async fn wait_change(shared: &SharedState, known: u64) {
    let mut changed = shared.changed.subscribe();
    loop {
        let differs = match &*lock(&shared.mode) {
            PlatformMode::Down => true,
            PlatformMode::Stale(values) => index_of(values.revision.count()) != known,
            PlatformMode::Slow(_) | PlatformMode::Up => {
                index_of(lock(&shared.values).revision.count()) != known
            }
        };
        if differs || changed.changed().await.is_err() {
            return;
        }
    }
}

/// Reads a wait such as `10s` or `250ms`.
fn parse_wait(text: &str) -> Duration {
    if let Some(millis) = text
        .strip_suffix("ms")
        .and_then(|number| number.parse().ok())
    {
        return Duration::from_millis(millis);
    }
    let seconds = text
        .strip_suffix('s')
        .and_then(|number| number.parse().ok());
    seconds.map_or(DEFAULT_WAIT, Duration::from_secs)
}

fn answer(path: &str, published: &PublishedValues) -> HttpResponse {
    let path = percent_decode_str(path).decode_utf8_lossy();
    let prefix = path.trim_start_matches("/v1/kv/");
    let mut entries: Vec<BTreeMap<&str, String>> = published
        .values
        .iter()
        .map(|(key, text)| entry(prefix, key, text))
        .collect();
    entries.push(entry(prefix, "revision", &published.revision.to_string()));
    HttpResponse::Ok()
        .header("x-consul-index", index_of(published.revision.count()))
        .json(&entries)
}

fn entry(prefix: &str, key: &str, text: &str) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("Key", format!("{prefix}{key}")),
        ("Value", STANDARD.encode(text.as_bytes())),
    ])
}

/// The index of a revision; it rises in larger steps, as other users of the service write too.
fn index_of(revision: u64) -> u64 {
    revision * 10 + 3
}
