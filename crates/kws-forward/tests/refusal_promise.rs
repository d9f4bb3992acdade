//! A caller receives "not run" only if no server ran its request, whatever the servers answer.

#[path = "common/faulty_server.rs"]
mod faulty_server;
#[path = "common/fleet.rs"]
mod fleet;

use faulty_server::{Arrival, FaultyServer, ServerHeaders};
use fleet::{Fleet, KEY, route, settings};
use kws_forward::RetryPermission;
use kws_protocol::{FlagHeader, HeaderDialect, ServerName};
use kws_standin::caller::{CallerAnswer, CallerConnection};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{sleep, timeout};

const ROUNDS: usize = 60;
const CALLERS: usize = 6;
/// The deadline of requests; above some waits of the servers and below others.
const DEADLINE: Duration = Duration::from_millis(60);
/// The wait after which no request is under way any more.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// A port that no server listens on.
const DEAD_PORT: u16 = 1;

/// Headers as the users' servers speak them: every response names its request.
const NAMED: HeaderDialect = HeaderDialect {
    request_id: "request-id",
    servers_echo: true,
    preserve_request_id: true,
    expected_server: Some("expected-instance"),
    not_run: FlagHeader {
        name: "not-executed",
        value: None,
    },
    ..HeaderDialect::DEFAULT
};
const NAMED_HEADERS: ServerHeaders = ServerHeaders {
    id: "request-id",
    promise: "not-executed: 1\r\n",
};

/// What one caller received.
#[derive(Debug)]
struct CallerReply {
    id: String,
    /// Absent if the connection ended without an answer.
    answer: Option<CallerAnswer>,
}

impl CallerReply {
    /// Whether the caller may conclude that its request did not run.
    fn is_promise(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            matches!(answer.status(), 408 | 421 | 429 | 503) || answer.run() == "not run"
        })
    }
}

async fn start_servers(seed: u64) -> Vec<FaultyServer> {
    let mut servers = Vec::new();
    for number in 0..4 {
        servers.push(FaultyServer::start(seed, number, NAMED_HEADERS).await);
    }
    servers
}

fn start_fleet(addresses: Vec<SocketAddr>) -> Fleet {
    let servers = addresses
        .into_iter()
        .enumerate()
        .map(|(at, address)| (ServerName::new(&format!("server-{at}")), address));
    let till = route("/till", |route| {
        route.repeatable = Some(false);
        route.deadline = DEADLINE;
        route.tries = 4;
    });
    Fleet::with_servers(
        settings([till]),
        Vec::new(),
        servers.collect(),
        |listener| {
            listener.dialect = NAMED;
        },
    )
}

/// Sends a request on a kept connection of its caller, which is replaced when it has ended.
async fn pay(kept: &mut Option<CallerConnection>, address: SocketAddr, id: &str) -> CallerReply {
    let body = if id.ends_with(['0', '1']) { "slot" } else { "" };
    let length = body.len();
    let text = format!(
        "POST /till HTTP/1.1\r\nhost: farm.test\r\nx-api-key: {KEY}\r\nrequest-id: {id}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    let connection = match kept {
        Some(connection) => connection,
        None => kept.insert(CallerConnection::connect(address).await.expect("connects")),
    };
    let answer = timeout(fleet::TEST_TIMEOUT, connection.exchange(&text)).await;
    let answer = answer.expect("answered or closed").ok();
    let closes = answer
        .as_ref()
        .is_none_or(|one| one.header("connection") == Some("close"));
    if closes {
        *kept = None;
    }
    CallerReply {
        id: id.to_owned(),
        answer,
    }
}

/// Plays random rounds and returns what each caller received.
async fn play(seed: u64, fleet: &Fleet) -> Vec<CallerReply> {
    let mut random = SmallRng::seed_from_u64(seed);
    let address = fleet.listener.address();
    let mut replies = Vec::new();
    let mut callers: Vec<_> = (0..CALLERS).map(|_| None).collect();
    for round in 0..ROUNDS {
        let permission = if random.random_bool(0.8) {
            RetryPermission::Granted
        } else {
            RetryPermission::Denied
        };
        *fleet.control.retry_permission.lock().expect("not poisoned") = permission;
        let active = random.random_range(1..=CALLERS);
        let requests = callers.iter_mut().take(active).enumerate();
        let requests = requests.map(|(caller, kept)| async move {
            pay(kept, address, &format!("r{round}-{caller}")).await
        });
        replies.extend(futures_util::future::join_all(requests).await);
    }
    sleep(SETTLE_TIME).await;
    replies
}

fn run_count(servers: &[FaultyServer], id: &str) -> usize {
    let arrivals = servers.iter().flat_map(FaultyServer::arrivals);
    arrivals
        .filter(|one| one.id == id && one.behavior.runs())
        .count()
}

fn check_promises(replies: &[CallerReply], servers: &[FaultyServer]) {
    let arrivals: Vec<Arrival> = servers.iter().flat_map(FaultyServer::arrivals).collect();
    let mut broken = Vec::new();
    let mut promises = 0;
    for one in replies {
        let of_this: Vec<&Arrival> = arrivals.iter().filter(|two| two.id == one.id).collect();
        let runs = of_this.iter().filter(|two| two.behavior.runs()).count();
        promises += usize::from(one.is_promise());
        if runs > 1 || runs > 0 && one.is_promise() {
            broken.push(format!("{one:?} of {of_this:?}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(promises > 0, "some requests were refused as not run");
    let served = replies.iter().filter(|one| {
        let answer = one.answer.as_ref();
        answer.is_some_and(|answer| answer.status() == 200)
    });
    assert!(served.count() > 0, "some requests were served");
}

async fn check_series(seed: u64) {
    let servers = start_servers(seed).await;
    let mut addresses: Vec<SocketAddr> = servers.iter().map(|one| one.address).collect();
    addresses.insert(1, SocketAddr::from(([127, 0, 0, 1], DEAD_PORT)));
    let fleet = start_fleet(addresses);
    let replies = play(seed, &fleet).await;
    check_promises(&replies, &servers);
}

/// The same with two names for each server.
async fn check_shared_addresses(seed: u64) {
    let servers = start_servers(seed).await;
    let addresses = servers.iter().flat_map(|one| [one.address; 2]);
    let fleet = start_fleet(addresses.collect());
    let replies = play(seed, &fleet).await;
    check_promises(&replies, &servers);
}

/// Guards against a refused request that runs and against one that runs twice.
#[rstest]
#[case::first_seed(1)]
#[case::second_seed(2)]
#[case::third_seed(3)]
#[tokio::test]
async fn random_series(#[case] seed: u64) {
    check_series(seed).await;
}

/// Guards against the same where two names lead to one server, as after a start under a new id.
#[rstest]
#[case::first_seed(1)]
#[case::second_seed(2)]
#[case::third_seed(3)]
#[tokio::test]
async fn shared_address(#[case] seed: u64) {
    check_shared_addresses(seed).await;
}

/// Guards against the same where a caller sends a refused request once more with its id.
#[rstest]
#[case::first_seed(1)]
#[case::second_seed(2)]
#[case::third_seed(3)]
#[tokio::test]
async fn repeated_id(#[case] seed: u64) {
    let servers = start_servers(seed).await;
    let fleet = start_fleet(servers.iter().map(|one| one.address).collect());
    *fleet.control.retry_permission.lock().expect("not poisoned") = RetryPermission::Denied;
    let address = fleet.listener.address();
    let mut kept = None;
    let mut repeated = 0;
    for round in 0..ROUNDS * 2 {
        let id = format!("r{round}-{}", round % CALLERS);
        if !pay(&mut kept, address, &id).await.is_promise() {
            continue;
        }
        assert_eq!(run_count(&servers, &id), 0, "{id} had run");
        repeated += 1;
        let again = pay(&mut kept, address, &id).await;
        sleep(DEADLINE).await;
        let runs = run_count(&servers, &id);
        assert!(
            runs <= 1 && !(runs > 0 && again.is_promise()),
            "{again:?}, {runs} runs"
        );
    }
    assert!(repeated > 0, "some requests were refused");
}

/// By hand: `PROMISE_SEEDS=1..101 cargo test -p kws-forward --test refusal_promise long_series --
/// --ignored`.
#[tokio::test]
#[ignore = "takes three seconds for each seed"]
async fn long_series() {
    let seeds = std::env::var("PROMISE_SEEDS").unwrap_or_else(|_| "1..21".to_owned());
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    for seed in first.parse().expect("a seed")..end.parse().expect("a seed") {
        println!("seed {seed}");
        check_series(seed).await;
        check_shared_addresses(seed).await;
    }
}
