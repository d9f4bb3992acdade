//! `replay`: recorded traces against their stated outcomes.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::Args;
use eyre::WrapErr;
use kws_replay::{ReplayReport, replay_file};
use serde::Serialize;
use std::path::PathBuf;

/// Run recorded traces against this build's decisions
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam replay traces/fleet/kill.yaml
  knapweedseam replay --json traces/*/*.yaml

Ends with exit code 1 when a stated outcome does not hold.")]
pub(crate) struct ReplayCommand {
    /// The trace files
    #[arg(value_name = "FILE", required = true)]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct TraceResult {
    file: String,
    passed: bool,
    findings: Vec<FindingResult>,
}

#[derive(Serialize)]
struct FindingResult {
    line: u64,
    at_seconds: f64,
    message: String,
}

impl ReplayCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let mut reports = Vec::new();
        for file in &self.files {
            let report = replay_file(file);
            reports.push(report.wrap_err_with(|| file.display().to_string())?);
        }
        match output.format {
            OutputFormat::Human => {
                for report in &reports {
                    writeln!(output.writer, "{report}")?;
                }
            }
            OutputFormat::Json => {
                let results: Vec<TraceResult> = reports.iter().map(TraceResult::from).collect();
                output.json(&results)?;
            }
        }
        if reports.iter().all(ReplayReport::passed) {
            return Ok(ExitStatus::Success);
        }
        Ok(ExitStatus::Findings)
    }
}

impl From<&ReplayReport> for TraceResult {
    fn from(report: &ReplayReport) -> Self {
        let findings = report.findings.iter().map(|finding| FindingResult {
            line: finding.line,
            at_seconds: finding.at.as_secs_f64(),
            message: finding.text.clone(),
        });
        Self {
            file: report.path.display().to_string(),
            passed: report.passed(),
            findings: findings.collect(),
        }
    }
}
