//! Whether the stated outcomes hold.

use super::{
    model::LimitsFleet,
    score::TeamScore,
    trace::{LimitsOutcome, LimitsTrace},
};
use crate::ReplayFinding;
use std::time::Duration;

/// Runs a fleet to the end of its trace and returns each outcome that did not hold.
pub(super) fn findings(
    trace: &LimitsTrace,
    mut fleet: LimitsFleet,
    slack: f64,
) -> Vec<ReplayFinding> {
    fleet.run(Duration::from_secs_f64(trace.length));
    let names: Vec<&String> = trace.teams.keys().collect();
    let outcomes = trace.outcomes.iter().filter_map(|stated| {
        let outcome = &stated.value;
        let index = names.iter().position(|name| **name == outcome.team)?;
        let (at, text) = breach(trace, outcome, &fleet.score.teams[index], slack)?;
        Some(ReplayFinding {
            line: stated.referenced.line(),
            at,
            text: format!("{}: {text}", outcome.team),
        })
    });
    outcomes.collect()
}

fn breach(
    trace: &LimitsTrace,
    outcome: &LimitsOutcome,
    score: &TeamScore,
    slack: f64,
) -> Option<(Duration, String)> {
    let end = outcome.to.unwrap_or(trace.length);
    let from = Duration::from_secs_f64(outcome.from);
    let span = from..=Duration::from_secs_f64(end);
    let states =
        outcome.never_over || outcome.refused_within_rate.is_some() || outcome.admits.is_some();
    let (admitted, ideal) = (score.admitted_in(&span), score.ideal_in(&span));
    if !states || ideal == 0 {
        return Some((
            from,
            String::from("never checked: states nothing, or nothing arrived"),
        ));
    }
    if outcome.never_over {
        over(score, from, slack)
    } else {
        None
    }
    .or_else(|| {
        let most = outcome.refused_within_rate?;
        let refused = 100.0 * ideal.saturating_sub(admitted) as f64 / ideal as f64;
        (refused > most).then(|| (from, format!("refused within the rate {refused:.2} %")))
    })
    .or_else(|| {
        let least = outcome.admits?;
        let entitled = trace.teams.get(&outcome.team)?.rate * (end - outcome.from);
        let share = 100.0 * admitted as f64 / entitled;
        // Written so that no number at all is a breach too.
        let met = share >= least;
        (!met).then(|| (from, format!("admitted {share:.2} % of its rate")))
    })
}

fn over(score: &TeamScore, from: Duration, slack: f64) -> Option<(Duration, String)> {
    if score.admitted() == 0 {
        return Some((from, String::from("never checked: nothing was admitted")));
    }
    let (at, excess) = score.first_excess(slack)?;
    let burst = score.burst();
    let text =
        format!("a window exceeds the rate by {excess:.2} requests, above the burst of {burst}");
    Some((at, text))
}
