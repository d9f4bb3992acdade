//! The names of commands, arguments and flags, as literals: scripts of operators call them.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use std::ffi::OsString;

/// Each command, and what may follow it.
const NAMES: &str = "\
knapweedseam: -h -V --json --help --version check completions diff explain explain-request key replay status help
knapweedseam__subcmd__check: -h --host --json --help
knapweedseam__subcmd__completions: -h --json --help bash elvish fish powershell zsh
knapweedseam__subcmd__diff: -h --json --help
knapweedseam__subcmd__explain: -h --json --help
knapweedseam__subcmd__explain__subcmd__request: -h --json --help
knapweedseam__subcmd__key: -h --json --help new help
knapweedseam__subcmd__key__subcmd__new: -h --json --help
knapweedseam__subcmd__replay: -h --json --help
knapweedseam__subcmd__status: -h --json --help";

fn run(arguments: &[&str]) -> String {
    let program = std::iter::once("knapweedseam").chain(arguments.iter().copied());
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = run_client(program.map(OsString::from), &mut output, &mut errors);
    assert_eq!(status, ExitStatus::Success);
    String::from_utf8(output).expect("text")
}

/// The parts of the completion script that name commands and what may follow them.
fn shown_names() -> String {
    let script = run(&["completions", "bash"]);
    let mut names = Vec::new();
    let mut command = "";
    for line in script.lines().map(str::trim) {
        if let Some(label) = line.strip_suffix(')') {
            command = label;
        }
        let follows = line.strip_prefix("opts=\"");
        if let Some(follows) = follows.and_then(|text| text.strip_suffix('"')) {
            names.push(format!("{command}: {}", follows.trim()));
        }
    }
    names.retain(|line| line.starts_with("knapweedseam") && !line.contains("__help"));
    names.join("\n")
}

#[test]
fn command_names() {
    assert_eq!(shown_names(), NAMES);
}

#[rstest]
#[case::top(&[], "knapweedseam [OPTIONS] <COMMAND>")]
#[case::check(&["check"], "knapweedseam check [OPTIONS] <DIR>")]
#[case::completions(&["completions"], "knapweedseam completions [OPTIONS] <SHELL>")]
#[case::diff(&["diff"], "knapweedseam diff [OPTIONS] <OLD> <NEW>")]
#[case::explain(&["explain"], "knapweedseam explain [OPTIONS] <DIR> [PATH]")]
#[case::explain_request(
    &["explain-request"],
    "knapweedseam explain-request [OPTIONS] <ID> <FILE>..."
)]
#[case::key(&["key"], "knapweedseam key [OPTIONS] <COMMAND>")]
#[case::key_new(&["key", "new"], "knapweedseam key new [OPTIONS]")]
#[case::replay(&["replay"], "knapweedseam replay [OPTIONS] <FILE>...")]
#[case::status(&["status"], "knapweedseam status [OPTIONS] <ADDR>...")]
fn command_usage(#[case] command: &[&str], #[case] usage: &str) {
    let help = run(&[command, &["--help"]].concat());
    let shown = help.lines().find_map(|line| line.strip_prefix("Usage: "));
    assert_eq!(shown, Some(usage));
}
