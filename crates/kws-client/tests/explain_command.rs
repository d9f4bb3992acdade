//! `explain` shows values in force with their places.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use serde_json::{Value, json};
use std::ffi::OsString;

const TREE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/quickstart/tree"
);

fn run(arguments: &[&str]) -> (ExitStatus, String) {
    let program = ["knapweedseam", "explain", TREE].into_iter();
    let program = program.chain(arguments.iter().copied());
    let mut output = Vec::new();
    let status = run_client(program.map(OsString::from), &mut output, &mut Vec::new());
    (status, String::from_utf8(output).expect("text"))
}

#[rstest]
#[case(
    "teams.stall.rate",
    ExitStatus::Success,
    "teams.stall.rate  0.1/s  root.yaml:54:11\n"
)]
#[case(
    "routes.rows.checks",
    ExitStatus::Success,
    "\
routes.rows.checks.content_type  absent  built-in default
routes.rows.checks.headers       []      built-in default
"
)]
#[case(
    "teams.none",
    ExitStatus::Findings,
    "\
root.yaml: error: the tree has nothing at `teams.none`
  help: write it like `teams.shop.rate`, or a part such as `teams`
errors: 1, warnings: 0
"
)]
fn human_values(#[case] path: &str, #[case] status: ExitStatus, #[case] expected: &str) {
    assert_eq!(run(&[path]), (status, expected.to_owned()));
}

#[test]
fn json_values() {
    let (status, output) = run(&["routes.payments.deadline", "--json"]);
    assert_eq!(status, ExitStatus::Success);
    let values: Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(
        values,
        json!([{
            "path": "routes.payments.deadline", "value": "5s",
            "file": "root.yaml", "line": 10, "column": 15,
        }])
    );
}

#[test]
fn whole_tree() {
    let (_, output) = run(&[]);
    assert!(output.contains("freshness.lease"), "{output}");
    assert!(
        output.contains("services.listing.servers.listing-3.address"),
        "{output}"
    );
}
