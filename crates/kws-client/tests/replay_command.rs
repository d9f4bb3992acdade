//! `replay` runs traces and says which outcomes do not hold, and where.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use std::{ffi::OsString, fs, path::Path};
use tempfile::TempDir;

const TRACE: &str = "../../traces/fleet/kill.yaml";

fn run(arguments: &[&str]) -> (ExitStatus, String, String) {
    let arguments = ["knapweedseam", "replay"]
        .into_iter()
        .chain(arguments.iter().copied());
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = run_client(arguments.map(OsString::from), &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status, text(output), text(errors))
}

/// The trace with one outcome that can't hold.
fn false_trace(directory: &TempDir) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(TRACE);
    let text = fs::read_to_string(path).expect("a trace");
    let file = directory.path().join("false.yaml");
    let outcome = "  - {from: 0, to: 1, hosts: [all], min_revision: 99}\n";
    fs::write(&file, format!("{text}{outcome}")).expect("written");
    file.display().to_string()
}

#[test]
fn outcome_held() {
    let (status, output, errors) = run(&[TRACE]);
    assert_eq!((status, errors.as_str()), (ExitStatus::Success, ""));
    assert_eq!(output, format!("{TRACE}: passed\n"));
}

#[rstest]
#[case::human(&[], "acts on revision 1")]
#[case::json(&["--json"], "\"passed\": false")]
fn outcome_broken(#[case] options: &[&str], #[case] expected: &str) {
    let directory = TempDir::new().expect("directory");
    let file = false_trace(&directory);
    let (status, output, _) = run(&[options, &[file.as_str()]].concat());
    assert_eq!(status, ExitStatus::Findings);
    assert!(
        output.contains(&file) && output.contains(expected),
        "{output}"
    );
}

#[test]
fn missing_file() {
    let (status, _, errors) = run(&["absent.yaml"]);
    assert_eq!(status, ExitStatus::Usage);
    assert!(errors.contains("absent.yaml"), "{errors}");
}
