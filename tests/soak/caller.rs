//! Callers that keep their connections and remember what they were told.

use kws_standin::caller::{CallerAnswer, CallerConnection};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// The key of the callers' team.
pub const TEAM_KEY: &str = "orchard-key";
/// The name of the callers' team.
pub const TEAM: &str = "orchard";
/// How long a caller waits for an answer, longer than the route's timeout.
const PATIENCE: Duration = Duration::from_secs(8);
/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request's identifier.
    pub id: String,
    /// Whether it may run only once.
    pub once: bool,
    /// The host that it was sent to.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// How long the answer took.
    pub took: Duration,
    /// The status; none when the connection broke or nothing came.
    pub status: Option<u16>,
    /// The body of the answer.
    pub body: String,
}

/// All callers of a run.
#[derive(Clone, Debug, Default)]
pub struct CallerGroup {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    stopping: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    /// Whether all requests may run only once; otherwise each second one.
    only_once: bool,
}

impl CallerGroup {
    /// Callers of which no request may run twice.
    pub fn only_once() -> Self {
        Self {
            only_once: true,
            ..Self::default()
        }
    }

    /// Starts a caller of one host, until [`Self::stop`].
    pub fn start(&self, host: usize, address: SocketAddr) -> tokio::task::JoinHandle<()> {
        let group = self.clone();
        tokio::spawn(async move {
            let mut connection = None;
            while !group.stopping.load(Ordering::Relaxed) {
                connection = group.call(host, address, connection).await;
                sleep(PAUSE).await;
            }
        })
    }

    /// No caller sends another request.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// What became of all requests so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().expect("callers don't panic").clone()
    }

    async fn call(
        &self,
        host: usize,
        address: SocketAddr,
        connection: Option<CallerConnection>,
    ) -> Option<CallerConnection> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => CallerConnection::connect(address).await.ok()?,
        };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let once = self.only_once || number.is_multiple_of(2);
        let id = format!("{number:016x}");
        let sent = Instant::now();
        let text = request(&id, once);
        let answer = timeout(PATIENCE, connection.exchange(&text)).await;
        let answer = answer.ok().and_then(Result::ok);
        let outcome = Outcome {
            id,
            once,
            host,
            sent,
            took: sent.elapsed(),
            status: answer.as_ref().map(CallerAnswer::status),
            body: answer
                .as_ref()
                .map_or("", |answer| answer.body())
                .to_owned(),
        };
        self.outcomes
            .lock()
            .expect("callers don't panic")
            .push(outcome);
        let kept = answer.filter(|answer| !is_closing(answer));
        kept.map(|_| connection)
    }
}

/// Whether a response announces that its connection closes.
pub fn is_closing(answer: &CallerAnswer) -> bool {
    answer
        .header("connection")
        .is_some_and(|text| text.eq_ignore_ascii_case("close"))
}

/// A request with the team's key; one that may run `once` or a repeatable one.
pub fn request(id: &str, once: bool) -> String {
    let line = if once {
        "POST /pay/slot"
    } else {
        "GET /list/rows"
    };
    let length = if once { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{line} HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 7000\r\nAuthorization: Bearer {TEAM_KEY}\r\nTenant: forged\r\n{length}\r\n"
    )
}
