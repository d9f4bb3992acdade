//! Callers that keep connections open, idle for a while, and send bodies in several ways.

use crate::caller::{TEAM_KEY, is_closing};
use kws_standin::caller::{CallerAnswer, CallerConnection};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// How long a caller waits for a response beyond its time limit.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// The longest pause between two requests of a busy caller, in milliseconds.
const BUSY_PAUSE_MS: u64 = 60;
/// The longest pause of a caller that leaves its connection idle, in milliseconds.
const IDLE_PAUSE_MS: u64 = 4_000;

/// How long the requests of callers may take.
#[derive(Clone, Copy, Debug)]
pub struct CallerPace {
    /// The time limit that each request states.
    pub time_limit: Duration,
    /// The longest pause between two parts of a body, in milliseconds.
    pub part_pause_ms: u64,
}

/// How the body of a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyForm {
    /// With its length, in one piece with the head.
    Sized,
    /// With its length, in parts after the head.
    SizedParts,
    /// In chunks, in one piece with the head.
    Chunked,
    /// In chunks, one after the other.
    ChunkedParts,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
pub struct KeptRequest {
    /// The request's identifier.
    pub id: String,
    /// The host that it was sent to.
    pub host: usize,
    /// How its body was sent.
    pub form: BodyForm,
    /// Whether the connection was used before.
    pub reused: bool,
    /// When its last byte was sent; none if the connection broke before.
    pub sent: Option<Instant>,
    /// When its response was complete, or the connection ended.
    pub ended: Instant,
    /// The status; none without a whole response.
    pub status: Option<u16>,
}

impl fmt::Display for KeptRequest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let connection = if self.reused { "kept" } else { "new" };
        write!(
            formatter,
            "{} to host {} on a {connection} connection, {:?}, status {:?}",
            self.id, self.host, self.form, self.status
        )
    }
}

/// The callers of a run.
#[derive(Clone, Debug)]
pub struct KeptCallers {
    pace: CallerPace,
    requests: Arc<Mutex<Vec<KeptRequest>>>,
    stopping: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl KeptCallers {
    /// Creates callers; none is started yet.
    pub fn new(pace: CallerPace) -> Self {
        Self {
            pace,
            requests: Arc::default(),
            stopping: Arc::default(),
            next: Arc::default(),
        }
    }

    /// Starts a caller that connects to `addresses`, beginning with `first`, and to the next one when a
    /// connection is refused.
    pub fn start(&self, seed: u64, first: usize, addresses: &[SocketAddr]) -> JoinHandle<()> {
        let callers = self.clone();
        let addresses = addresses.to_vec();
        tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut host = first;
            while !callers.stopping.load(Ordering::Relaxed) {
                let Ok(connection) = CallerConnection::connect(addresses[host]).await else {
                    host = (host + 1) % addresses.len();
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                callers.use_connection(connection, host, &mut rng).await;
                host = first;
            }
        })
    }

    /// Ends the callers after their current requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<KeptRequest> {
        self.requests.lock().expect("callers don't panic").clone()
    }

    async fn use_connection(
        &self,
        mut connection: CallerConnection,
        host: usize,
        rng: &mut SmallRng,
    ) {
        let mut reused = false;
        while !self.stopping.load(Ordering::Relaxed) {
            let limit = if rng.random_bool(0.3) {
                IDLE_PAUSE_MS
            } else {
                BUSY_PAUSE_MS
            };
            sleep(Duration::from_millis(rng.random_range(0..limit))).await;
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let mut request = KeptRequest {
                id: format!("{number:016x}"),
                host,
                form: draw_form(rng),
                reused,
                sent: None,
                ended: Instant::now(),
                status: None,
            };
            let exchanged = exchange(self.pace, &mut connection, &mut request, rng);
            let limit = self.pace.time_limit + RESPONSE_MARGIN;
            let answer = timeout(limit, exchanged).await.ok().flatten();
            request.ended = Instant::now();
            request.status = answer.as_ref().map(CallerAnswer::status);
            self.requests
                .lock()
                .expect("callers don't panic")
                .push(request);
            if answer.is_none_or(|answer| is_closing(&answer)) {
                return;
            }
            reused = true;
        }
    }
}

fn draw_form(rng: &mut SmallRng) -> BodyForm {
    match rng.random_range(0..4) {
        0 => BodyForm::Sized,
        1 => BodyForm::SizedParts,
        2 => BodyForm::Chunked,
        _ => BodyForm::ChunkedParts,
    }
}

async fn exchange(
    pace: CallerPace,
    connection: &mut CallerConnection,
    request: &mut KeptRequest,
    rng: &mut SmallRng,
) -> Option<CallerAnswer> {
    let (framing, parts) = match request.form {
        BodyForm::Sized => ("Content-Length: 8\r\n", vec!["12345678"]),
        BodyForm::SizedParts => ("Content-Length: 8\r\n", vec!["", "1234", "5678"]),
        BodyForm::Chunked => (
            "Transfer-Encoding: chunked\r\n",
            vec!["4\r\n1234\r\n4\r\n5678\r\n0\r\n\r\n"],
        ),
        BodyForm::ChunkedParts => (
            "Transfer-Encoding: chunked\r\n",
            vec!["", "4\r\n1234\r\n", "4\r\n5678\r\n", "0\r\n\r\n"],
        ),
    };
    let head = format!(
        "POST /pay/slot HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {TEAM_KEY}\r\n{framing}\r\n",
        request.id,
        pace.time_limit.as_millis(),
    );
    let (first, rest) = parts.split_first()?;
    connection.send(&format!("{head}{first}")).await.ok()?;
    for part in rest {
        sleep(Duration::from_millis(
            rng.random_range(0..pace.part_pause_ms),
        ))
        .await;
        connection.send(part).await.ok()?;
    }
    request.sent = Some(Instant::now());
    connection.receive().await.ok()
}
