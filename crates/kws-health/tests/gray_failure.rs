//! Which servers are ejected, and by how many hosts.

mod support;

use kws_fixture::SampleFleet;
use kws_health::AnswerOutcome::{Error, Good, Invalid, Late, Shed};
use rstest::rstest;
use std::time::Duration;
use support::{Answer, Judges, Try, USUAL};

const SLOW: Answer = (Good, Duration::from_millis(400));

fn pick(hit: bool, answer: Answer) -> Answer {
    if hit { answer } else { USUAL }
}

fn far(one: Try) -> Answer {
    let far = one.host % 2 != one.server % 2;
    pick(far, (Good, Duration::from_millis(80)))
}

/// Hosts use the servers of their own region; two hosts in two data centres have lost their links.
fn two_links(one: Try) -> Answer {
    if one.host % 2 != one.server % 2 {
        return (Shed, USUAL.1);
    }
    pick(one.host == 0 || one.host == 2, (Error, USUAL.1))
}

/// Eight hosts and ten servers in four data centres: the answers to tries, and the expected number
/// of hosts that eject each server.
#[rstest]
#[case::healthy(|_: Try| USUAL, &[])]
#[case::errors(|one: Try| pick(one.server == 3 && one.tenths(4), (Error, USUAL.1)), &[(3, 8)])]
#[case::wrong_answers(|one: Try| pick(one.server == 3 && one.tenths(4), (Invalid, USUAL.1)), &[(3, 8)])]
#[case::late(|one: Try| pick(one.server == 3 && one.tenths(4), (Late, Duration::from_secs(2))), &[(3, 8)])]
#[case::slow(|one: Try| pick(one.server == 3, SLOW), &[(3, 8)])]
#[case::rare_errors(|one: Try| pick(one.tenths(1), (Error, USUAL.1)), &[])]
#[case::slow_under_factor(|one: Try| pick(one.server == 3, (Good, Duration::from_millis(55))), &[])]
#[case::shedding(|one: Try| pick(one.server == 3, (Shed, USUAL.1)), &[])]
#[case::slow_together(|_: Try| SLOW, &[])]
#[case::failing_together(|one: Try| pick(one.tenths(6), (Error, USUAL.1)), &[])]
#[case::other_region(far, &[])]
#[case::host_link_down(|one: Try| pick(one.host == 2, (Error, USUAL.1)), &[])]
#[case::two_links_down(two_links, &[])]
#[case::host_link_slow(|one: Try| pick(one.host == 2, SLOW), &[])]
#[case::host_to_one_server(|one: Try| pick(one.host == 2 && one.server == 3, (Error, USUAL.1)), &[(3, 1)])]
#[case::center_to_one_server(
    |one: Try| pick(one.host % 4 == 2 && one.server == 3, (Error, USUAL.1)),
    &[(3, 2)]
)]
#[case::two_sick(|one: Try| pick(one.server < 2, (Error, USUAL.1)), &[(0, 8), (1, 8)])]
#[tokio::test(start_paused = true)]
async fn ejections(#[case] script: fn(Try) -> Answer, #[case] expected: &[(usize, usize)]) {
    let mut judges = Judges::new(SampleFleet::new(8, 10));
    judges.run(4, |_| USUAL).await;
    judges.run(12, script).await;
    assert_eq!(judges.ejections(), expected);
}

/// A host without peers ejects on strong evidence of its own.
#[tokio::test(start_paused = true)]
async fn lone_host() {
    let mut judges = Judges::new(SampleFleet::new(1, 10));
    let script = |one: Try| pick(one.server == 3, (Error, USUAL.1));
    judges.run(8, script).await;
    assert_eq!(judges.ejections(), [(3, 1)]);
}
