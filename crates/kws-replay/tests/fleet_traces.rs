//! Every fleet trace holds under the rules of this build, and breaks under a naive one.

use kws_membership::{CheckedTree, FleetAction, TreeChecker};
use kws_protocol::{FleetSnapshot, HostName, PeerMessage, PublishedValues, TreeRevision};
use kws_replay::{
    FleetModel, FleetNode, ReplayError, TraceChecker, TraceModel, replay_file, replay_with,
};
use rstest::rstest;
use std::{
    io::Write,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tempfile::NamedTempFile;
use tokio::time::Instant;

/// The lease of the platform-only rule, and of the watches of both.
const LEASE: Duration = Duration::from_secs(3);

/// What a naive host believes.
#[derive(Clone, Copy, Debug)]
enum NaiveRule {
    /// The last value written, for ever.
    OwnCache,
    /// The last value written, while the platform answers.
    PlatformOnly,
}

struct NaiveNode {
    snapshot: Option<Arc<FleetSnapshot>>,
    confirmed: Option<Instant>,
    rule: NaiveRule,
}

impl FleetNode for NaiveNode {
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        _sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.confirmed = Some(now);
        if let Ok(CheckedTree { settings, hosts }) = TraceChecker.check(&values) {
            self.snapshot = Some(Arc::new(FleetSnapshot {
                revision: values.revision,
                settings,
                hosts,
            }));
        }
        Vec::new()
    }

    fn platform_confirmed(
        &mut self,
        _revision: TreeRevision,
        _sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.confirmed = Some(now);
        Vec::new()
    }

    fn platform_failed(&mut self, _now: Instant) -> Vec<FleetAction> {
        Vec::new()
    }

    fn receive(&mut self, _: &HostName, _: PeerMessage, _now: Instant) -> Vec<FleetAction> {
        Vec::new()
    }

    fn tick(&mut self, _now: Instant) -> Vec<FleetAction> {
        Vec::new()
    }

    fn is_current(&self, now: Instant) -> bool {
        let confirmed = self.confirmed.is_some_and(|at| now < at + LEASE);
        let trusted = matches!(self.rule, NaiveRule::OwnCache);
        self.snapshot.is_some() && (trusted || confirmed)
    }

    fn is_ready(&self) -> bool {
        self.snapshot.is_some()
    }

    fn snapshot(&self) -> Option<Arc<FleetSnapshot>> {
        self.snapshot.clone()
    }

    fn watch_wait(&self) -> Duration {
        LEASE / 3
    }

    fn watch_grace(&self) -> Duration {
        LEASE / 12
    }

    fn retry_pause(&self) -> Duration {
        LEASE / 12
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn every_trace(#[files("../../traces/fleet/*.yaml")] path: PathBuf) {
    let report = replay_file(&path).expect("a trace");
    assert!(report.passed(), "{report}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn naive_rule(
    #[files("../../traces/fleet/*.yaml")] path: PathBuf,
    #[values(NaiveRule::OwnCache, NaiveRule::PlatformOnly)] rule: NaiveRule,
) {
    let model = FleetModel::new(Box::new(move |_| {
        Box::new(NaiveNode {
            snapshot: None,
            confirmed: None,
            rule,
        })
    }));
    let report = replay_with(&path, &[&model]).expect("a trace");
    println!("{rule:?}: {report}");
    assert!(!report.passed());
}

#[rstest]
#[case::unknown_feature("feature: weather")]
#[case::missing_fields("feature: fleet")]
#[case::not_yaml(": [")]
fn bad_trace(#[case] text: &str) {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    let error = replay_file(file.path()).expect_err("refused");
    assert!(!matches!(error, ReplayError::Unreadable { .. }), "{error}");
}

#[rstest]
#[case::misspelt_host("kill: [turaida-7]", "{from: 1, hosts: [all], ready: true}", &[(10, "unknown name `turaida-7`")])]
#[case::misspelt_outcome("kill: [turaida-1]", "{from: 1, hosts: [zemgals], ready: true}", &[(12, "unknown name `zemgals`")])]
#[case::dead_host("kill: [turaida-1]", "{from: 6, hosts: [turaida-1], ready: true}", &[(12, "never checked: no host named here ran at that time")])]
#[case::after_end("kill: [turaida-1]", "{from: 99, hosts: [all], ready: true}", &[(12, "never checked: no host named here ran at that time")])]
#[case::sound("kill: [turaida-1]", "{from: 1, to: 8, hosts: [all], ready: true}", &[])]
fn vacuous_trace(#[case] step: &str, #[case] outcome: &str, #[case] expected: &[(u64, &str)]) {
    let text = format!(
        "feature: fleet\nwhy: names\nlease: 3\nstale_region: 9\nlength: 10\nkeys: [orchard]\n\
         hosts:\n  vidzemes: [turaida-1, ligatne-1]\nevents:\n  - {{at: 5, step: {{{step}}}}}\n\
         outcomes:\n  - {outcome}\n"
    );
    let findings = FleetModel::default().replay(&text).expect("a trace");
    let found: Vec<(u64, &str)> = findings
        .iter()
        .map(|finding| (finding.line, finding.text.as_str()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn absent_file() {
    let error = replay_file(Path::new("no-such-trace.yaml")).expect_err("refused");
    assert!(matches!(error, ReplayError::Unreadable { .. }));
}
