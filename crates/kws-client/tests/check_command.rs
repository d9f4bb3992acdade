//! `check` reports all findings of a directory.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use serde_json::{Value, json};
use std::{ffi::OsString, fs, path::Path};
use tempfile::TempDir;

fn run(arguments: &[&str]) -> (ExitStatus, String) {
    let program = std::iter::once("knapweedseam").chain(arguments.iter().copied());
    let mut output = Vec::new();
    let status = run_client(program.map(OsString::from), &mut output, &mut Vec::new());
    (status, String::from_utf8(output).expect("text"))
}

fn directory(files: &[(&str, &[u8])]) -> TempDir {
    let directory = tempfile::tempdir().expect("a directory");
    for (name, bytes) in files {
        let path = directory.path().join(name);
        fs::create_dir_all(path.parent().expect("a parent")).expect("a directory");
        fs::write(path, bytes).expect("written");
    }
    directory
}

fn text(path: &Path) -> &str {
    path.to_str().expect("text")
}

const ROOT: &[u8] = b"regions: {north: {weight: 100%, centers: [a]}}\n";

#[rstest]
#[case::good(&[("root.yaml", ROOT), ("revision", b"7\n")], ExitStatus::Success, "\
errors: 0, warnings: 0
revision 7: 1 regions, 0 services, 0 servers, 0 routes, 0 teams, 0 listed hosts
")]
#[case::faulty(&[("root.yaml", ROOT), ("a/b.yaml", &b"teams:\n  shop: {rate: 5, brust: 1, burst: 1}\n"[..])],
    ExitStatus::Findings, "\
a/b.yaml:2:16: error: teams.shop.rate: `5` has no unit
  help: write it like `5/s`
a/b.yaml:2:19: error: teams.shop.brust: no field is called `brust`
  help: did you mean `burst`?
errors: 2, warnings: 0
")]
#[case::unread(&[("root.yaml", ROOT), ("notes.txt", b"x")], ExitStatus::Success, "\
notes.txt: warning: nothing reads this value
  help: branches end in .yaml; remove or rename this value
errors: 0, warnings: 1
revision 1: 1 regions, 0 services, 0 servers, 0 routes, 0 teams, 0 listed hosts
")]
#[case::bad_files(&[("root.yaml", &b"\xff\xfe"[..]), ("revision", b"new")], ExitStatus::Findings, "\
root.yaml: error: the value is not UTF-8 text
  help: publish the value as UTF-8
revision: error: cannot be read: it holds no whole number
  help: check that it exists and may be read
errors: 2, warnings: 0
")]
fn human_report(
    #[case] files: &[(&str, &[u8])],
    #[case] expected: ExitStatus,
    #[case] report: &str,
) {
    let directory = directory(files);
    assert_eq!(
        run(&["check", text(directory.path())]),
        (expected, report.to_owned())
    );
}

#[test]
fn json_report() {
    let directory = directory(&[("root.yaml", b"regions: {a: {weight: 1, centers: [x]}}")]);
    let (status, output) = run(&["check", "--json", text(directory.path())]);
    assert_eq!(status, ExitStatus::Findings);
    let report: Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(
        report["findings"][1],
        json!({
            "severity": "error", "file": "root.yaml", "line": 1, "column": 23,
            "path": "regions.a.weight", "message": "`1` has no unit", "help": "write it like `70%`",
        })
    );
}

#[test]
fn large_file() {
    let expected = "1000001 bytes are more than the 1000000";
    let directory = directory(&[("root.yaml", &vec![b'#'; 1_000_001])]);
    let (status, output) = run(&["check", text(directory.path())]);
    assert_eq!(status, ExitStatus::Findings);
    assert!(output.contains(expected), "{output}");
}

#[test]
fn host_files() {
    let directory = directory(&[("tree/root.yaml", ROOT), ("a.yaml", b"log: loud")]);
    let (tree, host) = (
        directory.path().join("tree"),
        directory.path().join("a.yaml"),
    );
    let arguments = [
        "check",
        text(&tree),
        "--host",
        text(&host),
        "--host",
        "/none.yaml",
    ];
    let (status, output) = run(&arguments);
    assert_eq!(status, ExitStatus::Findings);
    for expected in [
        "a.yaml:1:6: error: log: `loud` is not",
        "a.yaml:1:1: error: `peer` is missing",
        "/none.yaml: error: cannot be read",
        "revision 1: 1 regions",
    ] {
        assert!(output.contains(expected), "{output}");
    }
}

#[test]
fn no_directory() {
    let (status, output) = run(&["check", "/nonexistent"]);
    assert_eq!(status, ExitStatus::Findings);
    assert!(
        output.starts_with("/nonexistent: error: cannot be read"),
        "{output}"
    );
}
