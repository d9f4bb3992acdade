//! How long the requests sent to a server are remembered.

#[path = "../src/sent_requests.rs"]
mod sent_requests;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use sent_requests::SentRequests;
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(65);
/// A request is forgotten after three periods at the latest.
const FORGOTTEN: Duration = Duration::from_secs(3 * 65);

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A request is known at its server for a period, also when another one came in between.
#[rstest]
#[case::at_once(Duration::ZERO, Duration::ZERO, true)]
#[case::one_period(Duration::ZERO, PERIOD, true)]
#[case::next_period(Duration::from_secs(64), PERIOD, true)]
#[case::long_ago(Duration::ZERO, FORGOTTEN, false)]
fn known_request(#[case] sent_at: Duration, #[case] age: Duration, #[case] is_known: bool) {
    let start = Instant::now();
    let mut sent = SentRequests::new(PERIOD, start);
    let first = start + sent_at;
    assert!(!sent.record(server(1), "a", first));
    assert!(!sent.record(server(1), "b", first + age / 2));
    assert_eq!(sent.record(server(1), "a", first + age), is_known);
}

#[test]
fn other_requests() {
    let now = Instant::now();
    let mut sent = SentRequests::new(PERIOD, now);
    assert!(!sent.record(server(1), "a", now));
    assert!(!sent.record(server(2), "a", now));
    assert!(!sent.record(server(1), "b", now));
    assert!(sent.record(server(1), "a", now));
}

/// Random times: an id that was sent within the period is known, one of long ago isn't.
#[test]
fn random_times() {
    let mut random = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    for _ in 0..100 {
        let mut sent = SentRequests::new(PERIOD, start);
        let mut last: HashMap<String, Instant> = HashMap::new();
        let mut now = start;
        for _ in 0..300 {
            let step = [0, 1_000, 30_000, 140_000][random.random_range(0..4)];
            now += Duration::from_millis(random.random_range(0..=step));
            let id = random.random_range(0..20).to_string();
            let is_known = sent.record(server(1), &id, now);
            let age = last.insert(id, now).map(|at| now - at);
            match age {
                Some(age) if age <= PERIOD => assert!(is_known, "{age:?}"),
                Some(age) if age < FORGOTTEN => {}
                _ => assert!(!is_known, "{age:?}"),
            }
        }
    }
}
