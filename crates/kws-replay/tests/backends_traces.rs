//! Every trace of backend servers holds, and a false outcome is found with its place.

use kws_replay::{ReplayError, replay_file};
use rstest::rstest;
use std::{fs, io::Write, path::PathBuf};
use tempfile::NamedTempFile;

fn trace(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("../../traces/backends/{name}.yaml"))
}

#[rstest]
#[case("bad_link")]
#[case("drain")]
#[case("flapping")]
#[case("floor_raised")]
#[case("half_sick")]
#[case("healthy_leaves")]
#[case("sick_server")]
#[case("slow_server")]
#[case("slow_service")]
fn holds(#[case] name: &str) {
    let report = replay_file(&trace(name)).expect("a trace");
    assert!(report.passed(), "{report}");
}

fn with_outcome(outcome: &str) -> NamedTempFile {
    let text = fs::read_to_string(trace("sick_server")).expect("a trace");
    let mut file = NamedTempFile::new().expect("a file");
    writeln!(file, "{text}{outcome}").expect("written");
    file
}

#[rstest]
#[case::state(
    "  - {from: 15, to: 24, servers: [till-3], out: false}",
    "till-3 is out"
)]
#[case::bad("  - {from: 10, to: 15, bad_answers: 0}", "answers are bad")]
#[case::silence("  - {from: 1, to: 2, answers: 100000}", "answers")]
fn false_outcome(#[case] outcome: &str, #[case] expected: &str) {
    let file = with_outcome(outcome);
    let report = replay_file(file.path()).expect("a trace");
    let [finding] = report.findings.as_slice() else {
        panic!("{report}");
    };
    assert!(finding.text.contains(expected), "{report}");
    assert_eq!(finding.line, 20);
}

#[test]
fn unknown_name() {
    let file = with_outcome("  - {from: 1, to: 2, servers: [till-77], out: true}");
    let error = replay_file(file.path()).unwrap_err();
    assert!(matches!(error, ReplayError::Malformed(text) if text.contains("till-77")));
}
