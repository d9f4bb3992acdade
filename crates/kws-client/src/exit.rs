//! What the client's exit code tells scripts.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// Done; exit code 0.
    Success = 0,
    /// The settings have findings; exit code 1.
    Findings = 1,
    /// The command line is wrong, or the output could not be written; exit code 2.
    Usage = 2,
    /// A host gave no answer; exit code 3.
    Unreachable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
