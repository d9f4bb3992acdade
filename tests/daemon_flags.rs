//! The names of the daemon's flags and environment variables, as a literal: units of the service
//! manager name them.

use std::{collections::BTreeSet, process::Command};

#[test]
fn daemon_flags() {
    let output = Command::new(env!("CARGO_BIN_EXE_knapweedseamd"))
        .arg("--help")
        .env_remove("KNAPWEEDSEAM_CONFIG")
        .env_remove("KNAPWEEDSEAM_HOST")
        .output()
        .expect("the daemon runs");
    assert!(output.status.success());
    let help = String::from_utf8(output.stdout).expect("text");
    let is_name = |word: &&str| word.starts_with('-') || word.starts_with("KNAPWEEDSEAM_");
    let names = help
        .split_whitespace()
        .filter(is_name)
        .map(|word| word.trim_end_matches([',', '=', ']']));
    let names: BTreeSet<&str> = names.collect();
    let names: Vec<&str> = names.into_iter().collect();
    assert_eq!(
        names.join(" "),
        "--drain-lag --help --listen --name --settings --version --workers -V -h \
         KNAPWEEDSEAM_CONFIG KNAPWEEDSEAM_HOST"
    );
}
