//! A limits trace says at which line and time an outcome did not hold.

use kws_limits::{AdmitDecision, RefusalCause};
use kws_protocol::{FleetSnapshot, TeamName};
use kws_replay::{LimitsModel, TraceModel, limits::LimitRule};
use rstest::rstest;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Admits everything or nothing.
struct FixedRule(bool);

impl LimitRule for FixedRule {
    fn adopt(&mut self, _snapshot: &Arc<FleetSnapshot>, _now: Instant) {}

    fn admit(&mut self, _team: &TeamName, _now: Instant) -> AdmitDecision {
        if self.0 {
            return AdmitDecision::Admitted;
        }
        AdmitDecision::Refused {
            cause: RefusalCause::RateExceeded,
            retry_after: Duration::ZERO,
        }
    }
}

#[rstest]
#[case::over(true, "all", "team: orchard, never_over: true", Some((12, "orchard: a window exceeds")))]
#[case::all_admitted(true, "all", "team: orchard, admits: 99, refused_within_rate: 0", None)]
#[case::none_admitted(false, "all", "team: orchard, never_over: true", Some((12, "orchard: never checked")))]
#[case::refused(false, "all", "team: orchard, refused_within_rate: 99", Some((12, "orchard: refused within")))]
#[case::starved(false, "all", "team: orchard, admits: 1", Some((12, "orchard: admitted 0.00 %")))]
#[case::states_nothing(true, "all", "team: orchard", Some((12, "orchard: never checked")))]
#[case::nothing_arrives(true, "all", "team: orchard, to: 1, admits: 0", Some((12, "orchard: never checked")))]
#[case::misspelt_team(true, "all", "team: orchid, admits: 1", Some((12, "unknown name `orchid`")))]
#[case::misspelt_host(true, "turaida", "team: orchard, admits: 1", Some((11, "unknown name `turaida`")))]
#[case::not_started(true, "turaida-2", "team: orchard, admits: 1", Some((11, "no host named here has started")))]
fn outcome_checks(
    #[case] admits: bool,
    #[case] hosts: &str,
    #[case] outcome: &str,
    #[case] expected: Option<(u64, &str)>,
) {
    let text = format!(
        "feature: limits\nwhy: checks\nseed: 1\nlease: 1\nlist_lag: 1\nstale_region: 9\ntick: 0.1\nlength: 9\n\
         hosts: {{vidzemes: [turaida-1]}}\nteams: {{orchard: {{rate: 10, burst: 5}}}}\n\
         events: [{{at: 2, step: {{arrivals: {{team: orchard, hosts: [{hosts}], rate: 50, seconds: 7}}}}}}, {{at: 5, step: {{start: {{host: turaida-2, region: vidzemes}}}}}}]\n\
         outcomes: [{{{outcome}}}]\n"
    );
    let model = LimitsModel::new(Arc::new(move |_, _, _| Box::new(FixedRule(admits))));
    let findings = model.replay(&text).expect("a trace");
    let first = findings.first();
    let found = first.map(|finding| (finding.line, finding.text.as_str()));
    let matches =
        |(line, start)| found.is_some_and(|(at, text)| at == line && text.starts_with(start));
    assert_eq!(findings.len(), usize::from(expected.is_some()));
    assert!(expected.is_none_or(matches), "{found:?}");
}
