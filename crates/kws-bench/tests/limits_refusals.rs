//! Requests within the rate are admitted wherever they arrive, where equal shares refuse them.

use kws_bench::limits::scenario::{ArrivalKind, FaultKind, RuleKind, TableRun};
use kws_limits::LimitsPolicy;
use rstest::rstest;

/// Refusals within the rate that the fleet may show when nothing fails, in percent.
const CALM_BUDGET: f64 = 1.0;

#[rstest]
#[case::product_even(RuleKind::Product, ArrivalKind::Even, true)]
#[case::product_skewed(RuleKind::Product, ArrivalKind::Skewed, true)]
#[case::product_single(RuleKind::Product, ArrivalKind::Single, true)]
#[case::split_even(RuleKind::Split, ArrivalKind::Even, false)]
#[case::split_single(RuleKind::Split, ArrivalKind::Single, false)]
fn calm_refusals(#[case] rule: RuleKind, #[case] arrival: ArrivalKind, #[case] expected: bool) {
    let score = TableRun {
        rule,
        policy: LimitsPolicy::default(),
        arrival,
        fault: FaultKind::Calm,
        hosts: 40,
        load: 0.8,
    }
    .run();
    assert_eq!(score.refused_percent() <= CALM_BUDGET, expected);
    assert!(rule != RuleKind::Product || score.largest_ratio() <= 1.0);
}
