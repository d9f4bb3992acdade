//! Which servers are ejected, and by how many hosts.

mod support;

use kws_fixture::SampleFleet;
use kws_health::ResponseOutcome::{Failed, Invalid, NotRun, Succeeded, TimedOut};
use rstest::rstest;
use std::time::Duration;
use support::{Attempt, FleetMonitors, Response, USUAL};

const SLOW: Response = (Succeeded, Duration::from_millis(400));

fn pick(hit: bool, response: Response) -> Response {
    if hit { response } else { USUAL }
}

fn far(attempt: Attempt) -> Response {
    let far = attempt.host % 2 != attempt.server % 2;
    pick(far, (Succeeded, Duration::from_millis(80)))
}

/// Hosts use the servers of their own region; two hosts in two data centres have lost their links.
fn two_links(attempt: Attempt) -> Response {
    if attempt.host % 2 != attempt.server % 2 {
        return (NotRun, USUAL.1);
    }
    pick(attempt.host == 0 || attempt.host == 2, (Failed, USUAL.1))
}

/// Eight hosts and ten servers in four data centres: the responses to tries, and the expected
/// number of hosts that eject each server.
#[rstest]
#[case::healthy(|_: Attempt| USUAL, &[])]
#[case::errors(
    |attempt: Attempt| pick(attempt.server == 3 && attempt.tenths(4), (Failed, USUAL.1)),
    &[(3, 8)]
)]
#[case::invalid_responses(
    |attempt: Attempt| pick(attempt.server == 3 && attempt.tenths(4), (Invalid, USUAL.1)),
    &[(3, 8)]
)]
#[case::late_responses(
    |attempt: Attempt| pick(
        attempt.server == 3 && attempt.tenths(4),
        (TimedOut, Duration::from_secs(2))
    ),
    &[(3, 8)]
)]
#[case::slow(|attempt: Attempt| pick(attempt.server == 3, SLOW), &[(3, 8)])]
#[case::rare_errors(|attempt: Attempt| pick(attempt.tenths(1), (Failed, USUAL.1)), &[])]
#[case::slow_under_factor(
    |attempt: Attempt| pick(attempt.server == 3, (Succeeded, Duration::from_millis(55))),
    &[]
)]
#[case::shedding(|attempt: Attempt| pick(attempt.server == 3, (NotRun, USUAL.1)), &[])]
#[case::slow_together(|_: Attempt| SLOW, &[])]
#[case::failing_together(|attempt: Attempt| pick(attempt.tenths(6), (Failed, USUAL.1)), &[])]
#[case::other_region(far, &[])]
#[case::host_link_down(|attempt: Attempt| pick(attempt.host == 2, (Failed, USUAL.1)), &[])]
#[case::two_links_down(two_links, &[])]
#[case::host_link_slow(|attempt: Attempt| pick(attempt.host == 2, SLOW), &[])]
#[case::host_to_one_server(
    |attempt: Attempt| pick(attempt.host == 2 && attempt.server == 3, (Failed, USUAL.1)),
    &[(3, 1)]
)]
#[case::center_to_one_server(
    |attempt: Attempt| pick(attempt.host % 4 == 2 && attempt.server == 3, (Failed, USUAL.1)),
    &[(3, 2)]
)]
#[case::two_unhealthy(
    |attempt: Attempt| pick(attempt.server < 2, (Failed, USUAL.1)),
    &[(0, 8), (1, 8)]
)]
#[tokio::test(start_paused = true)]
async fn ejections(#[case] script: fn(Attempt) -> Response, #[case] expected: &[(usize, usize)]) {
    let mut monitors = FleetMonitors::new(SampleFleet::new(8, 10));
    monitors.run(4, |_| USUAL).await;
    monitors.run(12, script).await;
    assert_eq!(monitors.ejections(), expected);
}

/// A host without peers ejects on strong evidence of its own.
#[tokio::test(start_paused = true)]
async fn lone_host() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    let script = |attempt: Attempt| pick(attempt.server == 3, (Failed, USUAL.1));
    monitors.run(8, script).await;
    assert_eq!(monitors.ejections(), [(3, 1)]);
}
