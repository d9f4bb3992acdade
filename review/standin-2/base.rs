//! Stand-ins for a small deployment: the metadata store, upstreams, clients, and the daemons as separate
//! processes. Standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Most items of a page, and most bytes of its encoded values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
pub const HOST: &str = "shop.example";

pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn nap(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt` with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &str) -> Self {
        Self(Arc::new((
            Instant::now(),
            Mutex::new(File::create(path).expect("record.txt")),
        )))
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(
            locked(&self.0.1),
            "{:9.3} {text}",
            self.0.0.elapsed().as_secs_f64()
        );
    }
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let all = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for at in 0..4 {
            let digit = SET[(all >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= part.len() { digit } else { '=' });
        }
    }
    text
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A request or response without its start line parsed.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(bad("ended in a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("no colon"))?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(bad("ended between chunks"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Accepts connections, each on a thread of its own.
pub fn serve(listener: TcpListener, work: impl Fn(TcpStream) + Send + Sync + 'static) {
    let work = Arc::new(work);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let work = Arc::clone(&work);
            thread::spawn(move || work(stream));
        }
    });
}

// ---- the store ----

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// Every change: revision, key, and the value unless it was a removal.
    log: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Changes up to this revision are no longer available.
    gone: u64,
}

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store's port");
        let address = listener.local_addr().expect("address");
        let store = Self {
            address,
            state: Arc::default(),
        };
        let shared = store.clone();
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream);
        });
        store
    }

    /// Writes an item; the return is the confirmation.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = locked(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state
            .items
            .insert(key.to_owned(), (value.to_vec(), revision, created));
        state
            .log
            .push((revision, key.to_owned(), Some(value.to_vec())));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = locked(&self.state.0);
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.log.push((revision, key.to_owned(), None));
            self.state.1.notify_all();
        }
    }

    /// Discards the history.
    pub fn compact(&self) {
        let mut state = locked(&self.state.0);
        state.gone = state.revision;
        state.log.clear();
        self.state.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = self.answer(request.target());
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        match path {
            "/api/kv-range" => (200, self.range(&field("prefix"), &field("after"))),
            "/api/kv-watch" => self.watch(&field("prefix"), number("after"), number("waitMs")),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = locked(&self.state.0);
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, (value, revision, created)) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            let text = item_text(key, value, *revision, *created);
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + text.len() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += text.len();
            items.push(text);
        }
        format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"currentRev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = locked(&self.state.0);
        loop {
            if after < state.gone {
                return (410, "{}".to_owned());
            }
            let news = state
                .log
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(at, key, value)| match value {
                    Some(value) => item_text(key, value, *at, *at),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = state.revision;
                let body = format!(
                    "{{\"events\":[{}],\"currentRev\":{revision}}}",
                    events.join(",")
                );
                return (200, body);
            }
            let waited = self.state.1.wait_timeout(state, end - now);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn item_text(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRevision\":{created},\"lease\":0}}"
    )
}

// ---- upstreams ----

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub method: String,
    pub target: String,
    pub tenant: Option<String>,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// What the upstreams have run, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An upstream of a service.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub work: Arc<AtomicU64>,
    pub born: u64,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an upstream's port");
        let address = listener.local_addr().expect("address");
        let work = Arc::new(AtomicU64::new(work_ms));
        let (runs, record, name, time) = (
            Arc::clone(runs),
            record.clone(),
            id.to_owned(),
            Arc::clone(&work),
        );
        serve(listener, move |stream| {
            let _ = serve_upstream(stream, &name, &time, &runs, &record);
        });
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time after 1970");
        let born = now.as_millis() as u64;
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            work,
            born,
        }
    }

    /// What the upstream writes of itself into the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":3}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":4,\"warmupLeft\":\"0ms\"}},\"born\":{}}}",
            self.address, self.service, self.zone, self.born
        )
    }

    pub fn register(&self, store: &Store, state: &str) {
        store.put(
            &format!("servers/{}", self.id),
            self.entry(state).as_bytes(),
        );
    }
}

fn serve_upstream(
    stream: TcpStream,
    name: &str,
    work: &AtomicU64,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request
            .header("expected-instance")
            .is_some_and(|wanted| wanted != name)
        {
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        record.line(&format!("run {id} at {name}: {}", request.start));
        locked(runs).push(Run {
            id: id.clone(),
            server: name.to_owned(),
            method: request.method().to_owned(),
            target: request.target().to_owned(),
            tenant: request.header("tenant").map(str::to_owned),
            body: request.body.clone(),
            at: Instant::now(),
        });
        nap(work.load(Ordering::Relaxed));
        let body = format!("made by {name} for {id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {name}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(head.as_bytes())?;
    }
    Ok(())
}

// ---- clients ----

/// What became of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer(Message),
    Broken(String),
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            Self::Broken(_) => 0,
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request on a connection of its own.
pub fn send(
    to: SocketAddr,
    method: &str,
    target: &str,
    key: Option<&str>,
    deadline_ms: u64,
) -> (String, Outcome) {
    let id = new_id();
    let outcome = exchange(to, method, target, key, deadline_ms, &id);
    (
        id,
        outcome.unwrap_or_else(|error| Outcome::Broken(error.to_string())),
    )
}

fn exchange(
    to: SocketAddr,
    method: &str,
    target: &str,
    key: Option<&str>,
    deadline_ms: u64,
    id: &str,
) -> io::Result<Outcome> {
    let limit = Duration::from_millis(deadline_ms);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit + Duration::from_millis(500)))?;
    let key = key.map_or(String::new(), |key| {
        format!("Authorization: Bearer {key}\r\n")
    });
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{key}{length}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader)? {
        Some(answer) => Ok(Outcome::Answer(answer)),
        None => Ok(Outcome::Broken("closed without an answer".to_owned())),
    }
}

// ---- daemons ----

/// One daemon process, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    pub fn signal(&mut self, name: &str) {
        if !self.is_running() {
            return;
        }
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
    }
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    pub fn start_again(&mut self) {
        self.child = start_process(&self.settings, &self.log);
    }
    pub fn is_ready(&self) -> bool {
        matches!(send(self.ready, "GET", "/ready", None, 500).1, Outcome::Answer(answer) if answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_process(settings: &PathBuf, log: &PathBuf) -> Child {
    let program = std::env::var("KNAPWEEDSEAMD")
        .unwrap_or_else(|_| "target/release/knapweedseamd".to_owned());
    let log = File::options()
        .append(true)
        .create(true)
        .open(log)
        .expect("log");
    Command::new(program)
        .args(["--workers", "1"])
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("KNAPWEEDSEAM_CONFIG", settings)
        .stdout(Stdio::from(log.try_clone().expect("log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("target/release/knapweedseamd starts")
}

/// The folder for settings and logs.
pub fn work_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("kws-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Starts daemons in the given zones, with settings filled in as by `deploy/host.yaml`. The zones
/// `north` and `south` are in one region.
pub fn start_daemons(zones: &[&str], store: SocketAddr, folder: &std::path::Path) -> Vec<Daemon> {
    let places: Vec<[SocketAddr; 4]> = zones
        .iter()
        .enumerate()
        .map(|(at, _)| {
            let ip = format!("127.0.{}.1", at + 20);
            [(); 4].map(|()| free_address(&ip))
        })
        .collect();
    let seeds: Vec<String> = places
        .iter()
        .take(3)
        .map(|place| format!("  - \"{}\"\n", place[3]))
        .collect();
    let mut daemons = Vec::new();
    for (at, (zone, [front, ready, admin, peer])) in zones.iter().zip(&places).enumerate() {
        let text = format!(
            "region: \"east\"\ncenter: \"{zone}\"\nlisten: \"{front}\"\nready: \"{ready}\"\nadmin: \"{admin}\"\npeer: \"{peer}\"\n\
             trust_peer_network: true\nseeds:\n{}centers:\n  \"north\":\n    region: \"east\"\n  \"south\":\n    region: \"east\"\n\
             grace: \"6s\"\nplatform:\n  store: \"{store}\"\n  terms:\n    floor: 0.7\n    retry_ratio: 0.2\nprocessors: 1\nprocessor_share: 0.2\nlog: info\n",
            seeds.concat()
        );
        let name = format!("front-{zone}-{at}");
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let child = start_process(&settings, &log);
        daemons.push(Daemon {
            name,
            front: *front,
            ready: *ready,
            peer: *peer,
            settings,
            log,
            child,
        });
    }
    daemons
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        nap(50);
    }
    false
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the program, and with it the stand-ins, after the daemons.
pub fn finish(record: &Record, daemons: Vec<Daemon>, folder: &std::path::Path, code: i32) -> ! {
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    for daemon in &daemons {
        let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(4)..] {
            record.line(&format!("log of {}: {line}", daemon.name));
        }
    }
    drop(daemons);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// A flag that ends threads.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

/// A configuration with one route to the service `till`, and one team.
pub fn till_config(version: u32, rate: u32, burst: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":{{\"pay\":{{\"host\":\"{HOST}\",\"prefix\":\"/pay/\",\"kind\":\"non_idempotent\",\
         \"timeout\":\"1500ms\",\"targetLatency\":\"1200ms\",\"priority\":1,\"service\":\"till\",\"maxAttempts\":2,\"public\":false}}}},\
         \"services\":{{\"till\":{{\"healthCheckPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\
         \"tenants\":{{\"farm\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":{rate},\"burst\":{burst}}}}}}}"
    )
}

pub const KEY: &str = "ctnfzs989anu6wsjnban";

/// Sends requests to a daemon at a steady rate until told to stop, each on a thread and a connection of its
/// own, and keeps when each was sent.
pub fn press(
    to: SocketAddr,
    name: &str,
    per_s: u64,
    stop: &Arc<AtomicBool>,
    sent: &Arc<Mutex<BTreeMap<String, Instant>>>,
    record: &Record,
) {
    let (name, stop, sent, record) = (
        name.to_owned(),
        Arc::clone(stop),
        Arc::clone(sent),
        record.clone(),
    );
    thread::spawn(move || {
        let begin = Instant::now();
        for at in 0_u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let due = begin + Duration::from_micros(at * 1_000_000 / per_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let (name, sent, record) = (name.clone(), Arc::clone(&sent), record.clone());
            thread::spawn(move || {
                let id = new_id();
                locked(&sent).insert(id.clone(), Instant::now());
                let outcome = exchange(to, "POST", "/pay/1", Some(KEY), 3_000, &id);
                let text = match outcome {
                    Ok(Outcome::Answer(answer)) => format!(
                        "{} {}",
                        answer.status(),
                        answer.header("knapweedseam-reason").unwrap_or("")
                    ),
                    Ok(Outcome::Broken(text)) => text,
                    Err(error) => error.to_string(),
                };
                record.line(&format!("request {id} to {name}: {text}"));
            });
        }
    });
}

/// The largest number of requests that were both sent and run within one span of this length.
pub fn most_in_window(
    runs: &Runs,
    sent: &Mutex<BTreeMap<String, Instant>>,
    window: Duration,
) -> usize {
    let sent = locked(sent);
    let spans: Vec<(Instant, Instant)> = locked(runs)
        .iter()
        .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
        .collect();
    let count = |from: Instant| {
        spans
            .iter()
            .filter(|(sent, ran)| *sent >= from && *ran <= from + window)
            .count()
    };
    spans
        .iter()
        .map(|(from, _)| count(*from))
        .max()
        .unwrap_or(0)
}
