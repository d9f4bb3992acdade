//! `status`: what the daemons say of themselves.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
    table::write_table,
};
use clap::Args;
use eyre::{WrapErr, eyre};
use futures_util::future::join_all;
use kws_protocol::{StatusReport, TreeRevision};
use ntex::{
    SharedCfg,
    client::Client,
    rt::{DefaultRuntime, System},
    time::Millis,
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// The longest wait for the whole answer of a host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The weight of a server without any restriction, less what rounding takes.
const WHOLE_WEIGHT: f64 = 0.999;

/// Show what the daemons say of themselves
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam status 127.0.0.1:18090
  knapweedseam status --json 10.0.0.7:9100 10.0.0.8:9100")]
pub(crate) struct StatusCommand {
    /// Admin addresses of hosts
    #[arg(required = true, value_name = "ADDR")]
    addresses: Vec<SocketAddr>,
}

/// What one host answered.
#[derive(Serialize)]
struct HostAnswer {
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<StatusReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl StatusCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let addresses = self.addresses.clone();
        let answers = System::new("status", DefaultRuntime).block_on(ask_hosts(addresses))?;
        match output.format {
            OutputFormat::Human => write_answers(output, &answers)?,
            OutputFormat::Json => output.json(&answers)?,
        }
        if answers.iter().any(|answer| answer.status.is_none()) {
            return Ok(ExitStatus::Unreachable);
        }
        Ok(ExitStatus::Success)
    }
}

async fn ask_hosts(addresses: Vec<SocketAddr>) -> eyre::Result<Vec<HostAnswer>> {
    let client = Client::builder()
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::default())
        .await
        .map_err(|error| eyre!("cannot make an HTTP client: {error}"))?;
    let questions = addresses
        .into_iter()
        .map(|address| ask_host(&client, address));
    Ok(join_all(questions).await)
}

async fn ask_host(client: &Client, address: SocketAddr) -> HostAnswer {
    let answer = match timeout(ANSWER_TIMEOUT, fetch_status(client, address)).await {
        Ok(answer) => answer,
        Err(_) => Err(eyre!("no answer within {} s", ANSWER_TIMEOUT.as_secs())),
    };
    let (status, error) = match answer {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(format!("{error:#}"))),
    };
    HostAnswer {
        address,
        status,
        error,
    }
}

async fn fetch_status(client: &Client, address: SocketAddr) -> eyre::Result<StatusReport> {
    let response = client
        .get(format!("http://{address}/status"))
        .send()
        .await
        .map_err(|error| eyre!("{error}"))?;
    if !response.status().is_success() {
        return Err(eyre!("status {}", response.status().as_u16()));
    }
    let body = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| eyre!("{error}"))?;
    serde_json::from_slice(&body).wrap_err("the answer is no status")
}

fn write_answers(output: &mut CommandOutput<'_>, answers: &[HostAnswer]) -> eyre::Result<()> {
    let header = [
        "ADDRESS", "HOST", "REGION", "CENTER", "REVISION", "CURRENT", "READY", "UPTIME", "SERVERS",
        "REASON",
    ];
    let rows = answers.iter().map(table_row);
    write_table(
        output.writer,
        std::iter::once(header.map(str::to_owned)).chain(rows),
    )?;
    write_summary(output, answers)
}

fn table_row(answer: &HostAnswer) -> [String; 10] {
    let mut row = std::array::from_fn(|_| "-".to_owned());
    row[0] = answer.address.to_string();
    let Some(status) = &answer.status else {
        row[9] = answer.error.clone().unwrap_or_default();
        return row;
    };
    row[1] = status.host.to_string();
    row[2] = status.region.to_string();
    row[3] = status.center.to_string();
    row[4] = status.revision.to_string();
    row[5] = yes_or_no(status.current);
    row[6] = yes_or_no(status.ready);
    row[7] = format!("{}s", status.uptime_seconds);
    row[8] = whole_servers(status);
    row[9].clone_from(&status.reason);
    row
}

fn yes_or_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}

/// How many servers have their whole weight, of all.
fn whole_servers(status: &StatusReport) -> String {
    let whole = status
        .servers
        .iter()
        .filter(|server| server.weight >= WHOLE_WEIGHT)
        .count();
    format!("{whole}/{}", status.servers.len())
}

fn write_summary(output: &mut CommandOutput<'_>, answers: &[HostAnswer]) -> eyre::Result<()> {
    let mut revisions: BTreeMap<TreeRevision, usize> = BTreeMap::new();
    for status in answers.iter().filter_map(|answer| answer.status.as_ref()) {
        *revisions.entry(status.revision).or_default() += 1;
    }
    let answered: usize = revisions.values().sum();
    writeln!(output.writer, "answered: {answered} of {}", answers.len())?;
    for (revision, hosts) in revisions.iter().rev() {
        writeln!(output.writer, "revision {revision}: {hosts}")?;
    }
    Ok(())
}
