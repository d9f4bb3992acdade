//! What a replay found.

use std::{
    fmt, io,
    path::{Path, PathBuf},
    time::Duration,
};
use thiserror::Error;

/// Why a trace could not be run.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The text is not a trace.
    #[error("malformed trace: {0}")]
    Malformed(String),
    /// No model runs this feature.
    #[error("unknown feature `{0}`")]
    UnknownFeature(String),
}

/// One outcome that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayFinding {
    /// The line of the outcome in the file, from 1.
    pub line: u64,
    /// The virtual time of the first breach, from the start of the trace.
    pub at: Duration,
    /// What was stated, and what was seen.
    pub text: String,
}

/// The result of one trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayReport {
    /// The file.
    pub path: PathBuf,
    /// The outcomes that did not hold; empty when all did.
    pub findings: Vec<ReplayFinding>,
}

impl ReplayReport {
    /// Whether every stated outcome held.
    pub fn passed(&self) -> bool {
        self.findings.is_empty()
    }

    pub(crate) fn new(path: &Path, findings: Vec<ReplayFinding>) -> Self {
        Self {
            path: path.to_owned(),
            findings,
        }
    }
}

impl fmt::Display for ReplayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.passed() {
            return write!(formatter, "{}: passed", self.path.display());
        }
        for (index, finding) in self.findings.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            let path = self.path.display();
            let at = finding.at.as_secs_f64();
            write!(
                formatter,
                "{end}{path}:{}: at {at:.3} s: {}",
                finding.line, finding.text
            )?;
        }
        Ok(())
    }
}
