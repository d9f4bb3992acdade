//! Loads of the users' deployments, replayed against the placers of two regions.

use kws_bench::placing::{run::PlacingRun, scenario::LoadScenario, score::PlacingScore};

/// Plays a scenario with four seeds.
fn play(scenario: LoadScenario) -> PlacingScore {
    let mut sum = PlacingScore::default();
    for seed in 1..=4 {
        sum.add(&PlacingRun::new(scenario.load(), seed).score());
    }
    sum
}

fn share(count: u64, score: &PlacingScore) -> f64 {
    count as f64 / score.requests as f64
}

/// While three servers in ten fail by turns, the others serve what they can: recovered servers are
/// used again, so that few requests are refused at nine tenths of the healthy capacity.
#[test]
fn full_lookups() {
    let score = play(LoadScenario::FullLookups);
    let refused = share(score.refused, &score);
    assert!(refused < 0.03, "{refused}");
}
