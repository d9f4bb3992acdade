//! Help, completions and faults of the command line.

use kws_client::{ExitStatus, run_client};
use rstest::rstest;
use std::ffi::OsString;

fn run(arguments: &[&str]) -> (ExitStatus, String, String) {
    let program = std::iter::once("knapweedseam").chain(arguments.iter().copied());
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = run_client(program.map(OsString::from), &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status, text(output), text(errors))
}

#[rstest]
#[case::top(&["--help"], "Exit codes:")]
#[case::check(&["check", "--help"], "Examples:")]
#[case::explain(&["explain", "--help"], "Examples:")]
#[case::diff(&["diff", "--help"], "Examples:")]
#[case::key(&["key", "new", "--help"], "Examples:")]
#[case::status(&["status", "--help"], "Examples:")]
#[case::version(&["--version"], "knapweedseam 0.1.0")]
#[case::bash(&["completions", "bash"], "complete -F _knapweedseam")]
#[case::fish(&["completions", "fish"], "complete -c knapweedseam")]
fn shown(#[case] arguments: &[&str], #[case] expected: &str) {
    let (status, output, errors) = run(arguments);
    assert_eq!((status, errors.as_str()), (ExitStatus::Success, ""));
    assert!(output.contains(expected), "{output}");
}

#[rstest]
#[case::no_command(&[], "Usage:")]
#[case::unknown_command(&["publish"], "unrecognized subcommand")]
#[case::no_directory(&["check"], "<DIR>")]
#[case::bad_address(&["status", "localhost"], "invalid value")]
#[case::no_address(&["status"], "<ADDR>")]
#[case::unknown_shell(&["completions", "bsh"], "invalid value")]
fn refused(#[case] arguments: &[&str], #[case] expected: &str) {
    let (status, output, errors) = run(arguments);
    assert_eq!((status, output.as_str()), (ExitStatus::Usage, ""));
    assert!(errors.contains(expected), "{errors}");
}
