//! Admission from a host's own share, without loans.

mod common {
    pub mod fleet;
}

use common::fleet::{snapshot, window};
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
#[case::newborn(Duration::ZERO, 0)]
#[case::still_young(window().mul_f64(0.9), 0)]
#[case::settled_empty(window(), 0)]
#[case::partly_filled(window() + Duration::from_millis(420), 4)]
#[case::full(window() + Duration::from_mins(1), 10)]
#[tokio::test(start_paused = true)]
async fn lone_host(#[case] age: Duration, #[case] expected: usize) {
    let born = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), born);
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &[("a", 1.0)]),
        born,
    );
    ledger.set_current(born + Duration::from_secs(1_000), born);
    ledger.tick(born + window().min(age));
    let now = born + age;
    ledger.tick(now);
    assert_eq!(admitted(&mut ledger, now), expected);
}

#[tokio::test(start_paused = true)]
async fn lapsed_lease() {
    let born = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), born);
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &[("a", 1.0)]),
        born,
    );
    ledger.set_current(born + Duration::from_secs(30), born);
    ledger.tick(born + window());
    let late = born + Duration::from_secs(30);
    let decision = ledger.admit(&TeamName::new("shop"), late);
    assert!(matches!(
        decision,
        AdmitDecision::Refused {
            cause: RefusalCause::NotCurrent,
            ..
        }
    ));
    ledger.set_current(late + Duration::from_secs(30), late);
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
    let born = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), born);
    let teams = [("shop", 100.0, 1_000.0)];
    ledger.adopt(&snapshot(1, &[("a", "a1")], &teams, &[("a", 1.0)]), born);
    ledger.set_current(born + Duration::from_mins(1), born);
    let settled = born + window();
    ledger.tick(settled);
    assert_eq!(admitted(&mut ledger, settled + Duration::from_secs(1)), 99);
}

/// A region that is configured but has no hosts yet must not block the other regions.
#[tokio::test(start_paused = true)]
async fn region_without_hosts() {
    let born = Instant::now();
    let mut ledger = LimitsLedger::new(HostName::new("a1"), RegionName::new("a"), born);
    let weights = [("a", 0.5), ("b", 0.5)];
    ledger.adopt(
        &snapshot(1, &[("a", "a1")], &[("shop", 10.0, 10.0)], &weights),
        born,
    );
    ledger.set_current(born + Duration::from_mins(1), born);
    ledger.tick(born + window());
    assert_eq!(
        admitted(&mut ledger, born + window() + Duration::from_secs(9)),
        5
    );
}
