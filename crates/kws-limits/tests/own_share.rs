//! Admission from a host's own share, without loans.

mod common {
    pub mod fleet;
}

use common::fleet::{snapshot, window_length};
use kws_limits::{AdmitDecision, LimitsLedger, RefusalCause};
use kws_protocol::{HostName, RegionName, TeamName};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn admitted(ledger: &mut LimitsLedger, now: Instant) -> usize {
    let team = TeamName::new("shop");
    (0..100)
        .filter(|_| ledger.admit(&team, now) == AdmitDecision::Admitted)
        .count()
}

#[rstest]
#[case::just_started(Duration::ZERO, 0)]
#[case::before_window_end(window_length().mul_f64(0.9), 0)]
#[case::after_window_end(window_length(), 0)]
#[case::partly_filled(window_length() + Duration::from_millis(420), 4)]
#[case::full(window_length() + Duration::from_mins(1), 10)]
#[tokio::test(start_paused = true)]
async fn single_host(#[case] age: Duration, #[case] expected: usize) {
    let started = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), started);
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &[("a", 1.0)]),
        started,
    );
    ledger.set_lease_end(started + Duration::from_secs(1_000), started);
    ledger.tick(started + window_length().min(age));
    let now = started + age;
    ledger.tick(now);
    assert_eq!(admitted(&mut ledger, now), expected);
}

#[tokio::test(start_paused = true)]
async fn expired_lease() {
    let started = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), started);
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &[("a", 1.0)]),
        started,
    );
    ledger.set_lease_end(started + Duration::from_secs(30), started);
    ledger.tick(started + window_length());
    let late = started + Duration::from_secs(30);
    let decision = ledger.admit(&TeamName::new("shop"), late);
    assert!(matches!(
        decision,
        AdmitDecision::Refused {
            cause: RefusalCause::NotCurrent,
            ..
        }
    ));
    ledger.set_lease_end(late + Duration::from_secs(30), late);
    assert_eq!(
        admitted(&mut ledger, late),
        0,
        "tokens of the previous lease are discarded"
    );
    assert_eq!(admitted(&mut ledger, late + Duration::from_secs(20)), 10);
}

/// A clock may run fast by 1 %, so 1 s by the own clock yields only 99 of 100 tokens.
#[tokio::test(start_paused = true)]
async fn fast_clock() {
    let started = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), started);
    let teams = [("shop", 100.0, 1_000.0)];
    ledger.adopt(&snapshot(1, &[("a", "a1")], &teams, &[("a", 1.0)]), started);
    ledger.set_lease_end(started + Duration::from_mins(1), started);
    let window_end = started + window_length();
    ledger.tick(window_end);
    assert_eq!(
        admitted(&mut ledger, window_end + Duration::from_secs(1)),
        99
    );
}

/// A region that is configured but has no hosts yet must not block the other regions.
#[tokio::test(start_paused = true)]
async fn region_without_hosts() {
    let started = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), started);
    let weights = [("a", 0.5), ("b", 0.5)];
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &weights),
        started,
    );
    ledger.set_lease_end(started + Duration::from_mins(1), started);
    ledger.tick(started + window_length());
    assert_eq!(
        admitted(
            &mut ledger,
            started + window_length() + Duration::from_secs(9)
        ),
        5
    );
}
