//! Limits traces hold under the product's ledger, and break under a naive rule where the fault is one
//! of the hosts or of the list.

use kws_bench::limits::scenario::{RuleKind, rule_maker};
use kws_limits::LimitsPolicy;
use kws_replay::{LimitsModel, replay_file, replay_with};
use rstest::rstest;
use std::{path::Path, sync::Arc};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/limits");

/// Requests that a remote answer may bunch: the largest rate of the traces, over a round trip
/// between regions.
const ANSWER_SLACK: f64 = 40.0 * 0.075;

/// Whether the trace shows `rule` admitting more than a team's total.
fn breaks(rule: RuleKind, name: &str) -> bool {
    let maker = Arc::new(move |host, region, born| {
        rule_maker(rule, &LimitsPolicy::default())(host, region, born)
    });
    let model = LimitsModel::new(maker).with_slack(ANSWER_SLACK);
    let path = Path::new(FOLDER).join(name).with_extension("yaml");
    let report = replay_with(&path, &[&model]).expect("a trace");
    println!("{rule:?}: {report}");
    let mut findings = report.findings.iter();
    findings.any(|finding| finding.text.contains("exceeds the rate"))
}

#[rstest]
#[case::kill("kill", false, true)]
#[case::late_wake("late_wake", true, true)]
#[case::list_race("list_race", true, true)]
#[case::majority_cut("majority_cut", true, true)]
#[case::noisy_tenant("noisy_tenant", false, false)]
#[case::one_way_cut("one_way_cut", true, true)]
#[case::platform_outage("platform_outage", false, false)]
#[case::replacement("replacement", false, true)]
#[case::stale_platform("stale_platform", true, true)]
#[case::two_at_once("two_at_once", true, true)]
fn over_admission(#[case] name: &str, #[case] split: bool, #[case] owner: bool) {
    let path = Path::new(FOLDER).join(name).with_extension("yaml");
    let report = replay_file(&path).expect("a trace");
    assert!(report.passed(), "{report}");
    let broken = [RuleKind::Split, RuleKind::Owner].map(|rule| breaks(rule, name));
    assert_eq!(broken, [split, owner]);
}

#[test]
fn skipped_list() {
    let report = replay_file(&Path::new(FOLDER).join("skipped_list.yaml")).expect("a trace");
    assert!(report.passed(), "{report}");
}
