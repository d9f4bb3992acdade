//! Loads of the users' deployments, replayed against the placers of two regions. Three servers in
//! ten fail by turns in each of them.

use kws_bench::placing::{run::PlacingRun, scenario::LoadScenario, score::PlacingScore};
use rstest::rstest;

/// Plays a scenario with two seeds.
fn play(scenario: LoadScenario) -> PlacingScore {
    let mut sum = PlacingScore::default();
    for seed in 1..=2 {
        sum.add(&PlacingRun::new(scenario.load(), seed).score());
    }
    sum
}

fn share(count: u64, score: &PlacingScore) -> f64 {
    count as f64 / score.requests as f64
}

/// Requests that may run once are seldom sent to a server that fails: less than twice for each time
/// that one begins to. Where servers are many and requests few, those that served lately are used.
#[rstest]
#[case::payments(LoadScenario::Payments, 0.06)]
#[case::sparse(LoadScenario::Sparse, 0.06)]
#[case::bookings(LoadScenario::Bookings, 0.03)]
#[case::crash(LoadScenario::Crash, 0.06)]
fn failed_requests(#[case] scenario: LoadScenario, #[case] limit: f64) {
    let score = play(scenario);
    let failed = share(score.failed, &score);
    assert!(failed < limit, "{failed}");
}

/// Recovered servers are used again, bursts wait as long as the objective allows, and a server that
/// refuses connections gets few requests: little is refused of what the healthy servers can do.
#[rstest]
#[case::full_lookups(LoadScenario::FullLookups)]
#[case::bursts(LoadScenario::Bursts)]
#[case::full_crash(LoadScenario::FullCrash)]
fn refused_requests(#[case] scenario: LoadScenario) {
    let score = play(scenario);
    let refused = share(score.refused, &score);
    assert!(refused < 0.03, "{refused}");
    assert!(score.unreachable_tries < 300 * score.runs);
}

/// The capacity floor is in use whenever many requests go unserved, also in the first seconds of
/// it, and when it is another service of the same routes that fails them.
#[rstest]
#[case::shedding(LoadScenario::Shedding)]
#[case::split(LoadScenario::Split)]
fn floor_in_use(#[case] scenario: LoadScenario) {
    assert_eq!(play(scenario).floor_ticks, 0);
}

/// Where every server rejects half of its requests, the retry budget is used and nothing more.
#[test]
fn rejected_requests() {
    let score = play(LoadScenario::Shedding);
    // 8.5 of 30 seconds, in which 55 % of the requests are rejected, a fifth of all tried again.
    let repeats = share(score.repeats, &score);
    assert!((0.04..=0.065).contains(&repeats), "{repeats}");
}
