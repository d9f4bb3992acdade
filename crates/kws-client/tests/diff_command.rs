//! `diff` shows a new tree as effects.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use serde_json::{Value, json};
use std::{ffi::OsString, fs};

const TREE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/quickstart/tree"
);

/// The difference between the quick start's tree and one in which `instead` stands for `part`.
fn run(part: &str, instead: &str, options: &[&str]) -> (ExitStatus, String) {
    let directory = tempfile::tempdir().expect("a directory");
    let text = fs::read_to_string(format!("{TREE}/root.yaml")).expect("a tree");
    let changed = text.replacen(part, instead, 1);
    fs::write(directory.path().join("root.yaml"), changed).expect("written");
    let mut arguments: Vec<OsString> = ["knapweedseam", "diff", TREE].map(OsString::from).into();
    arguments.push(directory.path().into());
    arguments.extend(options.iter().map(OsString::from));
    let mut output = Vec::new();
    let status = run_client(arguments, &mut output, &mut Vec::new());
    (status, String::from_utf8(output).expect("text"))
}

#[rstest]
#[case::nothing("", "", ExitStatus::Success, "no effects\n")]
#[case::rate(
    "50/s",
    "40/s",
    ExitStatus::Success,
    "team orchard: rate 50/s -> 40/s\n"
)]
#[case::new_team(
    "teams:",
    "teams:\n  new: {rate: 1/s, burst: 1}",
    ExitStatus::Success,
    "team new: added\n"
)]
#[case::faulty(
    "50/s",
    "50",
    ExitStatus::Findings,
    "\
root.yaml:48:11: error: teams.orchard.rate: `50` has no unit
  help: write it like `5/s`
errors: 1, warnings: 0
"
)]
fn human_effects(
    #[case] part: &str,
    #[case] instead: &str,
    #[case] status: ExitStatus,
    #[case] expected: &str,
) {
    assert_eq!(run(part, instead, &[]), (status, expected.to_owned()));
}

#[test]
fn json_effects() {
    let (_, output) = run("burst: 100", "burst: 90", &["--json"]);
    let effects: Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(
        effects,
        json!([{
            "path": "teams.orchard", "subject": "team orchard",
            "change": "changed", "field": "burst", "old": "100", "new": "90",
        }])
    );
}
