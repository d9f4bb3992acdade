//! How an ejected server returns to service.

mod support;

use kws_fixture::{SampleFleet, host_name};
use kws_health::{HealthMonitor, ResponseOutcome::Failed};
use rstest::rstest;
use support::{Attempt, FleetMonitors, Response, USUAL};
use tokio::time::Instant;

fn server_3_fails(attempt: Attempt) -> Response {
    if attempt.server == 3 {
        return (Failed, USUAL.1);
    }
    USUAL
}

/// Runs until all hosts have ejected server 3, and no other server is ejected.
async fn ejected_monitors(hosts: usize) -> FleetMonitors {
    let mut monitors = FleetMonitors::new(SampleFleet::new(hosts, 10));
    while monitors.ejections() != [(3, hosts)] {
        monitors.run(1, server_3_fails).await;
    }
    monitors
}

fn probe_hosts(monitors: &FleetMonitors) -> usize {
    (0..monitors.hosts.len())
        .filter(|host| monitors.availability(*host, 3).probe_only)
        .count()
}

#[tokio::test(start_paused = true)]
async fn few_probes() {
    let mut monitors = ejected_monitors(8).await;
    assert_eq!(probe_hosts(&monitors), 0);
    monitors.run(20, server_3_fails).await;
    assert_eq!(probe_hosts(&monitors), 3);
}

#[tokio::test(start_paused = true)]
async fn slow_start() {
    let mut monitors = ejected_monitors(8).await;
    let mut weights = Vec::new();
    for _ in 0..48 {
        monitors.run(1, |_| USUAL).await;
        weights.push(monitors.availability(0, 3).weight);
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
async fn growing_ejections(#[case] ejection: usize, #[case] rounds: usize) {
    let mut monitors = ejected_monitors(4).await;
    for _ in 1..ejection {
        while probe_hosts(&monitors) == 0 {
            monitors.run(1, server_3_fails).await;
        }
        while probe_hosts(&monitors) > 0 {
            monitors.run(1, server_3_fails).await;
        }
    }
    let start = monitors.round;
    while probe_hosts(&monitors) == 0 {
        monitors.run(1, server_3_fails).await;
    }
    assert_eq!(monitors.round - start, rounds);
}

/// A flapping server is ejected for longer each time, so it is in service for a falling part of its
/// unhealthy time.
#[tokio::test(start_paused = true)]
async fn flapping() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(4, 10));
    let unhealthy = |round: usize| round % 40 < 20;
    let mut exposed_rounds = [0, 0];
    for round in 0..800 {
        let serving = monitors.availability(0, 3).weight > 0.0;
        exposed_rounds[round / 400] += usize::from(serving && unhealthy(round + 1));
        monitors
            .run(1, |attempt| {
                if unhealthy(attempt.round) {
                    server_3_fails(attempt)
                } else {
                    USUAL
                }
            })
            .await;
    }
    assert!(
        exposed_rounds[1] * 2 <= exposed_rounds[0],
        "{exposed_rounds:?}"
    );
    assert_eq!(
        monitors
            .ejections()
            .iter()
            .filter(|(at, _)| *at != 3)
            .count(),
        0
    );
}

/// After a long healthy time, the ejection time is back at its base.
#[tokio::test(start_paused = true)]
async fn ejection_decay() {
    let mut monitors = ejected_monitors(4).await;
    monitors.run(600, |_| USUAL).await;
    while monitors.ejections() != [(3, 4)] {
        monitors.run(1, server_3_fails).await;
    }
    let start = monitors.round;
    while probe_hosts(&monitors) == 0 {
        monitors.run(1, server_3_fails).await;
    }
    assert_eq!(monitors.round - start, 20);
}

/// A new host ejects what its peers have ejected, but doesn't report it as its own ejection.
#[tokio::test(start_paused = true)]
async fn new_host() {
    let mut monitors = ejected_monitors(8).await;
    monitors.hosts[7] = HealthMonitor::new(host_name(7));
    monitors.apply_fleet();
    monitors.exchange();
    assert_eq!(monitors.ejected(7), [3]);
    let reports = monitors.hosts[7].take_reports(Instant::now());
    assert_eq!(reports.iter().filter(|report| report.ejected).count(), 0);
}
