//! `explain-request`: one request's way through the fleet, from the logs of its hosts.

use crate::{
    ExitStatus,
    log_event::{LogEvent, read_log},
    output::{CommandOutput, OutputFormat},
    request_cause::request_cause,
    table::write_table,
};
use clap::Args;
use eyre::WrapErr;
use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
};

/// Fields that every line has, or that are known from the question.
const KNOWN_FIELDS: [&str; 4] = ["time", "level", "event", "request_id"];

/// Show one request's way through the fleet and name its cause, from the log files of the hosts
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam explain-request 9b96bf1459fa0bd4 entry-1.log entry-2.log
  knapweedseam explain-request --json 9b96bf1459fa0bd4 logs/*.log

A line may begin with words of a log collector; the second of them, if there are two, names the
host. Otherwise each file holds the log of one host. Ends with exit code 1 when no line names the
request.")]
pub(crate) struct ExplainRequestCommand {
    /// The request's identifier, as its answer names it
    #[arg(value_name = "ID")]
    request_id: String,
    /// The log files
    #[arg(value_name = "FILE", required = true)]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct RequestReport<'a> {
    request_id: &'a str,
    lines: Vec<LineReport<'a>>,
    cause: String,
    /// Lines that are not JSON objects.
    unreadable: usize,
}

#[derive(Serialize)]
struct LineReport<'a> {
    source: &'a str,
    #[serde(flatten)]
    fields: &'a Map<String, Value>,
}

impl ExplainRequestCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let mut unreadable = 0;
        let mut own = Vec::new();
        for file in &self.files {
            unreadable += collect(file, &mut own, |event| self.is_own(event))?;
        }
        let tickets = tickets(&own);
        let mut placed = Vec::new();
        for file in &self.files {
            collect(file, &mut placed, |event| is_placed(event, &tickets))?;
        }
        let mut events = own;
        events.extend(placed);
        events.sort_by(|left, right| left.time().cmp(right.time()));
        let report = RequestReport {
            request_id: &self.request_id,
            lines: events.iter().map(LineReport::from).collect(),
            cause: request_cause(&events),
            unreadable,
        };
        match output.format {
            OutputFormat::Human => write_human(&report, &events, output)?,
            OutputFormat::Json => output.json(&report)?,
        }
        if events.is_empty() {
            return Ok(ExitStatus::Findings);
        }
        Ok(ExitStatus::Success)
    }

    fn is_own(&self, event: &LogEvent) -> bool {
        event.text("request_id") == self.request_id
    }
}

/// Adds the events of a file that are wanted; how many lines can't be read.
fn collect(
    file: &Path,
    events: &mut Vec<LogEvent>,
    wanted: impl Fn(&LogEvent) -> bool,
) -> eyre::Result<usize> {
    let read = read_log(file, |event| {
        if wanted(&event) {
            events.push(event);
        }
    });
    read.wrap_err_with(|| file.display().to_string())
}

/// The tries of the request: the host that asked for each, and its number there.
fn tickets(events: &[LogEvent]) -> BTreeSet<(String, u64)> {
    let asked = |event: &LogEvent| Some((event.host.clone(), event.number("ticket")?));
    events.iter().filter_map(asked).collect()
}

/// Whether another host tells of one of the tries.
fn is_placed(event: &LogEvent, tickets: &BTreeSet<(String, u64)>) -> bool {
    let ticket = event.number("ticket").unwrap_or_default();
    let asker = event.text("asker");
    !asker.is_empty() && tickets.contains(&(asker.to_owned(), ticket))
}

fn write_human(
    report: &RequestReport<'_>,
    events: &[LogEvent],
    output: &mut CommandOutput<'_>,
) -> eyre::Result<()> {
    if events.is_empty() {
        writeln!(output.writer, "no line names request {}", report.request_id)?;
    } else {
        write_table(output.writer, events.iter().map(table_row))?;
        writeln!(output.writer, "cause: {}", report.cause)?;
    }
    if report.unreadable > 0 {
        let unreadable = report.unreadable;
        writeln!(output.writer, "lines that are not JSON: {unreadable}")?;
    }
    Ok(())
}

fn table_row(event: &LogEvent) -> [String; 4] {
    let fields = event.fields.iter();
    let shown = fields.filter(|(name, value)| {
        !KNOWN_FIELDS.contains(&name.as_str()) && value.as_str() != Some("")
    });
    let texts: Vec<String> = shown
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    [
        event.time().to_owned(),
        event.source.clone(),
        event.event().to_owned(),
        texts.join(" "),
    ]
}

impl<'a> From<&'a LogEvent> for LineReport<'a> {
    fn from(event: &'a LogEvent) -> Self {
        Self {
            source: &event.source,
            fields: &event.fields,
        }
    }
}
