//! Where and how a command writes.

use crate::ExitStatus;
use kws_tree::{Finding, FindingSeverity};
use serde::Serialize;
use std::io::{self, Write};

/// For whom a command writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// Text for operators.
    Human,
    /// One JSON document for scripts.
    Json,
}

/// The output of a command.
pub(crate) struct CommandOutput<'a> {
    /// Where it goes.
    pub writer: &'a mut dyn Write,
    /// For whom it is.
    pub format: OutputFormat,
}

impl CommandOutput<'_> {
    /// Writes one JSON document.
    ///
    /// # Errors
    /// When the output cannot be written.
    pub fn json<T: Serialize>(&mut self, document: &T) -> eyre::Result<()> {
        serde_json::to_writer_pretty(&mut *self.writer, document)?;
        writeln!(self.writer)?;
        Ok(())
    }

    /// Writes findings, and says whether one of them is an error.
    ///
    /// # Errors
    /// When the output cannot be written.
    pub fn findings(&mut self, findings: &[Finding]) -> eyre::Result<ExitStatus> {
        match self.format {
            OutputFormat::Human => self.human_findings(findings)?,
            OutputFormat::Json => {
                let findings: Vec<FindingReport<'_>> =
                    findings.iter().map(FindingReport::from).collect();
                self.json(&FindingsReport { findings })?;
            }
        }
        Ok(match count_errors(findings) {
            0 => ExitStatus::Success,
            _ => ExitStatus::Findings,
        })
    }

    fn human_findings(&mut self, findings: &[Finding]) -> io::Result<()> {
        for finding in findings {
            writeln!(self.writer, "{finding}")?;
        }
        let errors = count_errors(findings);
        let warnings = findings.len() - errors;
        writeln!(self.writer, "errors: {errors}, warnings: {warnings}")
    }
}

fn count_errors(findings: &[Finding]) -> usize {
    findings
        .iter()
        .filter(|finding| finding.severity() == FindingSeverity::Error)
        .count()
}

#[derive(Serialize)]
struct FindingsReport<'a> {
    findings: Vec<FindingReport<'a>>,
}

#[derive(Serialize)]
struct FindingReport<'a> {
    severity: &'static str,
    file: &'a str,
    line: u64,
    column: u64,
    path: &'a str,
    message: String,
    help: String,
}

impl<'a> From<&'a Finding> for FindingReport<'a> {
    fn from(finding: &'a Finding) -> Self {
        Self {
            severity: finding.severity().as_str(),
            file: &finding.place.file,
            line: finding.place.line,
            column: finding.place.column,
            path: &finding.path,
            message: finding.problem.to_string(),
            help: finding.problem.help(),
        }
    }
}
