//! How an ejected server returns to service.

mod support;

use kws_fixture::{SampleFleet, host_name};
use kws_health::{AnswerOutcome::Error, HealthMonitor};
use rstest::rstest;
use support::{Answer, Judges, Try, USUAL};
use tokio::time::Instant;

fn third_fails(one: Try) -> Answer {
    if one.server == 3 {
        return (Error, USUAL.1);
    }
    USUAL
}

/// Runs until all hosts have ejected server 3, and no other server is ejected.
async fn ejected_judges(hosts: usize) -> Judges {
    let mut judges = Judges::new(SampleFleet::new(hosts, 10));
    while judges.ejections() != [(3, hosts)] {
        judges.run(1, third_fails).await;
    }
    judges
}

fn trial_hosts(judges: &Judges) -> usize {
    (0..judges.hosts.len())
        .filter(|host| judges.availability(*host, 3).probe_only)
        .count()
}

#[tokio::test(start_paused = true)]
async fn few_trials() {
    let mut judges = ejected_judges(8).await;
    assert_eq!(trial_hosts(&judges), 0);
    judges.run(20, third_fails).await;
    assert_eq!(trial_hosts(&judges), 3);
}

#[tokio::test(start_paused = true)]
async fn slow_start() {
    let mut judges = ejected_judges(8).await;
    let mut weights = Vec::new();
    for _ in 0..48 {
        judges.run(1, |_| USUAL).await;
        weights.push(judges.availability(0, 3).weight);
    }
    let rising = weights.is_sorted();
    let low = weights.iter().any(|weight| (0.1..0.3).contains(weight));
    assert_eq!((rising, low, weights[47]), (true, true, 1.0));
}

/// Each failed probe doubles the ejection time, up to the maximum.
#[rstest]
#[case::first(1, 20)]
#[case::second(2, 40)]
#[case::third(3, 80)]
#[case::limit(6, 240)]
#[tokio::test(start_paused = true)]
async fn growing_times(#[case] ejection: usize, #[case] rounds: usize) {
    let mut judges = ejected_judges(4).await;
    for _ in 1..ejection {
        while trial_hosts(&judges) == 0 {
            judges.run(1, third_fails).await;
        }
        while trial_hosts(&judges) > 0 {
            judges.run(1, third_fails).await;
        }
    }
    let start = judges.round;
    while trial_hosts(&judges) == 0 {
        judges.run(1, third_fails).await;
    }
    assert_eq!(judges.round - start, rounds);
}

/// A flapping server is ejected for longer each time, so it is in service for a falling part of its
/// unhealthy time.
#[tokio::test(start_paused = true)]
async fn flapping() {
    let mut judges = Judges::new(SampleFleet::new(4, 10));
    let sick = |round: usize| round % 40 < 20;
    let mut met = [0, 0];
    for round in 0..800 {
        let serving = judges.availability(0, 3).weight > 0.0;
        met[round / 400] += usize::from(serving && sick(round + 1));
        judges
            .run(1, |one| {
                if sick(one.round) {
                    third_fails(one)
                } else {
                    USUAL
                }
            })
            .await;
    }
    assert!(met[1] * 2 <= met[0], "{met:?}");
    assert_eq!(
        judges.ejections().iter().filter(|(at, _)| *at != 3).count(),
        0
    );
}

/// After a long healthy time, the ejection time is back at its base.
#[tokio::test(start_paused = true)]
async fn forgiven() {
    let mut judges = ejected_judges(4).await;
    judges.run(600, |_| USUAL).await;
    while judges.ejections() != [(3, 4)] {
        judges.run(1, third_fails).await;
    }
    let start = judges.round;
    while trial_hosts(&judges) == 0 {
        judges.run(1, third_fails).await;
    }
    assert_eq!(judges.round - start, 20);
}

/// A new host ejects what its peers have ejected, but doesn't report it as its own ejection.
#[tokio::test(start_paused = true)]
async fn new_host() {
    let mut judges = ejected_judges(8).await;
    judges.hosts[7] = HealthMonitor::new(host_name(7));
    judges.adopt();
    judges.exchange();
    assert_eq!(judges.ejected(7), [3]);
    let digests = judges.hosts[7].digest(Instant::now());
    assert_eq!(digests.iter().filter(|digest| digest.ejected).count(), 0);
}
