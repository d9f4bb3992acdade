//! Test fixture: a backend server that refuses, breaks and repeats answers as a seed says.
#![allow(dead_code)]

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The wait before a piece that is to arrive alone.
const PIECE_DELAY: Duration = Duration::from_millis(3);
/// Share of the connections that end as soon as they are accepted.
const UNUSED_SHARE: f64 = 0.05;

/// What a server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Runs it and answers.
    Serve,
    /// Runs it and answers with this status, without a promise.
    ServeWith(u16),
    /// Doesn't run it and says so with this status.
    Refuse(u16),
    /// Says so before it has read the body.
    RefuseEarly,
    /// The refusal arrives in two pieces.
    RefuseInPieces,
    /// Writes the refusal twice.
    RefuseTwice,
    /// Writes the refusal once more a little later.
    RefuseAgainOnIdle,
    /// Runs it and writes a copy of the connection's latest refusal before the answer.
    CopyBeforeAnswer,
    /// Runs it and writes that copy instead of the answer.
    CopyInsteadOfAnswer,
    /// Runs it and writes that copy after the answer.
    CopyAfterAnswer,
    /// Runs it and writes the head of that copy, and then resets the connection.
    CutCopy,
    /// Runs it and refuses a request that nobody sent.
    RefuseOther,
    /// Runs it and refuses without an id.
    RefuseUnnamed,
    /// Runs it and refuses with its id and another.
    RefuseWithTwoIds,
    /// Runs it; the promise stands in a trailer.
    PromiseInTrailer,
    /// Runs it; the promise stands in an interim response before the answer.
    PromiseInInterim,
    /// Runs it; the promise stands in a success.
    PromiseInSuccess,
    /// Runs it and ends the connection after this many bytes of the answer.
    Cut(usize),
    /// Runs it and resets the connection after this many bytes of a refusal.
    CutRefusal(usize),
    /// Runs it and answers after this time, in milliseconds.
    Slow(u64),
    /// Resets the connection without reading the request.
    ResetUnread,
}

impl Behavior {
    /// The behavior of a server towards the `try_number`th arrival of a request, drawn from the seed.
    fn draw(script: ServerScript, id: &str, try_number: usize) -> Self {
        let mut random = script.random((id, try_number));
        let status = *[400, 408, 421, 429, 503].choose(&mut random).expect("any");
        let cut = random.random_range(0..140);
        let plain = *[408, 429, 500, 503, 504].choose(&mut random).expect("any");
        let behaviors = [
            Self::Serve,
            Self::Serve,
            Self::ServeWith(plain),
            Self::Refuse(status),
            Self::Refuse(status),
            Self::RefuseEarly,
            Self::RefuseInPieces,
            Self::RefuseTwice,
            Self::RefuseAgainOnIdle,
            Self::CopyBeforeAnswer,
            Self::CopyBeforeAnswer,
            Self::CopyInsteadOfAnswer,
            Self::CopyAfterAnswer,
            Self::CutCopy,
            Self::RefuseOther,
            Self::RefuseUnnamed,
            Self::RefuseWithTwoIds,
            Self::PromiseInTrailer,
            Self::PromiseInInterim,
            Self::PromiseInSuccess,
            Self::Cut(cut),
            Self::CutRefusal(cut),
            Self::Slow(random.random_range(20..90)),
            Self::ResetUnread,
        ];
        *behaviors.choose(&mut random).expect("any")
    }

    /// Whether the server runs the request.
    pub fn runs(self) -> bool {
        !matches!(
            self,
            Self::Refuse(_)
                | Self::RefuseEarly
                | Self::RefuseInPieces
                | Self::RefuseTwice
                | Self::RefuseAgainOnIdle
                | Self::ResetUnread
        )
    }
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub server: usize,
    pub connection: usize,
    pub behavior: Behavior,
}

/// The names of the headers that a server reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct ServerHeaders {
    /// The header that names requests.
    pub id: &'static str,
    /// The header line that promises that a request didn't run.
    pub promise: &'static str,
}

/// A running server.
pub struct FaultyServer {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

#[derive(Clone, Copy)]
struct ServerScript {
    seed: u64,
    server: usize,
    headers: ServerHeaders,
}

impl ServerScript {
    /// The random numbers of one event, independent of the order of events.
    fn random(self, event: impl Hash) -> SmallRng {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.server, event).hash(&mut hasher);
        SmallRng::seed_from_u64(hasher.finish())
    }

    /// Whether a connection ends as soon as it has been accepted.
    fn ends_unused(self, connection: usize) -> bool {
        self.random(connection).random_bool(UNUSED_SHARE)
    }
}

impl FaultyServer {
    /// Starts server number `server`.
    pub async fn start(seed: u64, server: usize, headers: ServerHeaders) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let arrivals = Arc::<Mutex<Vec<Arrival>>>::default();
        let all = Arc::clone(&arrivals);
        let script = ServerScript {
            seed,
            server,
            headers,
        };
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                if script.ends_unused(number) {
                    continue;
                }
                let mut connection = Connection {
                    stream,
                    number,
                    script,
                    refusal: None,
                    arrivals: Arc::clone(&all),
                };
                tokio::spawn(async move { while connection.serve().await.is_some() {} });
            }
        });
        Self { address, arrivals }
    }

    /// The requests that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }
}

struct Connection {
    stream: TcpStream,
    number: usize,
    script: ServerScript,
    /// The latest refusal that was written here.
    refusal: Option<String>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Connection {
    /// Serves one request. Returns `None` when the connection has ended.
    async fn serve(&mut self) -> Option<()> {
        let head = self.read_head().await?;
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.to_owned())
        };
        let id = field(self.script.headers.id).unwrap_or_default();
        let length: usize = field("content-length").map_or(0, |text| text.parse().expect("length"));
        let behavior = self.record_arrival(&id);
        if behavior == Behavior::RefuseEarly {
            self.refuse_early(&id).await?;
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await.ok()?;
        self.answer(behavior, &id).await
    }

    fn record_arrival(&self, id: &str) -> Behavior {
        let mut arrivals = self.arrivals.lock().expect("not poisoned");
        let earlier = arrivals.iter().filter(|one| one.id == id).count();
        let behavior = Behavior::draw(self.script, id, earlier);
        arrivals.push(Arrival {
            id: id.to_owned(),
            server: self.script.server,
            connection: self.number,
            behavior,
        });
        behavior
    }

    async fn read_head(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        Some(String::from_utf8_lossy(&head).into_owned())
    }

    async fn answer(&mut self, behavior: Behavior, id: &str) -> Option<()> {
        if let Behavior::Slow(millis) = behavior {
            sleep(Duration::from_millis(millis)).await;
        }
        let text = self.text(behavior, id);
        match behavior {
            Behavior::RefuseInPieces => {
                let (first, rest) = text.split_at(text.len() / 2);
                self.write(first).await?;
                sleep(PIECE_DELAY).await;
                self.write(rest).await?;
            }
            Behavior::RefuseAgainOnIdle => {
                self.write(&text).await?;
                sleep(PIECE_DELAY).await;
                self.write(&text).await?;
            }
            _ => self.write(&text).await?,
        }
        match behavior {
            Behavior::Cut(_) => return None,
            Behavior::CutCopy | Behavior::CutRefusal(_) | Behavior::ResetUnread => {
                self.stream.set_zero_linger().ok()?;
                return None;
            }
            Behavior::Refuse(_) | Behavior::RefuseInPieces | Behavior::RefuseAgainOnIdle => {
                self.refusal = Some(text);
            }
            _ => {}
        }
        Some(())
    }

    /// What the server writes.
    fn text(&self, behavior: Behavior, id: &str) -> String {
        let (promise, name) = (self.script.headers.promise, self.script.headers.id);
        let answer = response(name, 200, id, "");
        let refusal = response(name, 503, id, promise);
        let copy = self.refusal.clone();
        match behavior {
            Behavior::Serve | Behavior::Slow(_) => answer,
            Behavior::ServeWith(status) => response(name, status, id, ""),
            Behavior::Refuse(status) => response(name, status, id, promise),
            Behavior::RefuseInPieces | Behavior::RefuseAgainOnIdle => refusal,
            Behavior::RefuseTwice => refusal.repeat(2),
            Behavior::CopyBeforeAnswer => copy.unwrap_or_default() + &answer,
            Behavior::CopyInsteadOfAnswer | Behavior::CutCopy => copy.unwrap_or(answer),
            Behavior::CopyAfterAnswer => answer + &copy.unwrap_or_default(),
            Behavior::RefuseOther => response(name, 503, "of-nobody", promise),
            Behavior::RefuseUnnamed => refusal.replace(&format!("{name}: {id}\r\n"), ""),
            Behavior::RefuseWithTwoIds => {
                response(name, 503, id, &format!("{promise}{name}: of-nobody\r\n"))
            }
            Behavior::PromiseInTrailer => format!(
                "HTTP/1.1 503 Busy\r\n{name}: {id}\r\ntransfer-encoding: chunked\r\n\r\n\
                 4\r\nbusy\r\n0\r\n{promise}\r\n"
            ),
            Behavior::PromiseInInterim => {
                format!("HTTP/1.1 103 Early\r\n{name}: {id}\r\n{promise}\r\n{answer}")
            }
            Behavior::PromiseInSuccess => response(name, 200, id, promise),
            Behavior::Cut(bytes) => answer.chars().take(bytes).collect(),
            Behavior::CutRefusal(bytes) => {
                let unproven = response(name, 503, id, "");
                unproven.chars().take(bytes).collect()
            }
            Behavior::RefuseEarly | Behavior::ResetUnread => String::new(),
        }
    }

    /// Refuses a request whose body has not been read.
    async fn refuse_early(&mut self, id: &str) -> Option<()> {
        let (promise, name) = (self.script.headers.promise, self.script.headers.id);
        let refusal = response(name, 503, id, promise);
        self.write(&refusal).await?;
        self.refusal = Some(refusal);
        Some(())
    }

    async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }
}

/// A response. A client keeps the connection only after a refusal that has no body.
fn response(name: &str, status: u16, id: &str, lines: &str) -> String {
    let body = if status == 200 { "right" } else { "" };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Text\r\n{name}: {id}\r\n{lines}content-length: {length}\r\n\r\n{body}"
    )
}
