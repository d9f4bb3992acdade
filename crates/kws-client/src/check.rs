//! `check`: everything that is wrong with a tree, and with settings of entry hosts.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::Args;
use kws_protocol::FleetSnapshot;
use kws_tree::{Finding, Problem, SourcePlace, parse_host, read_directory, review};
use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Report everything that is wrong with a tree
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam check examples/farm/tree
  knapweedseam check examples/farm/tree --host examples/farm/host.yaml
  knapweedseam check --json tree | jq '.findings[].message'")]
pub(crate) struct CheckCommand {
    /// The directory of the tree
    #[arg(value_name = "DIR")]
    directory: PathBuf,
    /// The settings of an entry host to check besides; may be given more than once
    #[arg(long = "host", value_name = "FILE")]
    hosts: Vec<PathBuf>,
}

impl CheckCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let mut findings = Vec::new();
        for file in &self.hosts {
            findings.extend(check_host(file));
        }
        let mut accepted = None;
        match read_directory(&self.directory) {
            Ok(published) => {
                let review = review(&published);
                findings.extend(review.findings);
                accepted = review.snapshot;
            }
            Err(unreadable) => findings.extend(unreadable),
        }
        let status = output.findings(&findings)?;
        if let (OutputFormat::Human, Some(snapshot)) = (output.format, accepted) {
            write_sizes(output, &snapshot)?;
        }
        Ok(status)
    }
}

fn check_host(file: &Path) -> Vec<Finding> {
    let name = file.display().to_string();
    match fs::read_to_string(file) {
        Ok(text) => parse_host(&text, &name).err().unwrap_or_default(),
        Err(error) => vec![Finding {
            place: SourcePlace::whole_file(&name),
            path: String::new(),
            problem: Problem::Unreadable(error.to_string()),
        }],
    }
}

fn write_sizes(output: &mut CommandOutput<'_>, snapshot: &FleetSnapshot) -> io::Result<()> {
    let settings = &snapshot.settings;
    let servers: usize = settings
        .services
        .values()
        .map(|service| service.servers.len())
        .sum();
    writeln!(
        output.writer,
        "revision {}: {} regions, {} services, {servers} servers, {} routes, {} teams, {} listed \
         hosts",
        snapshot.revision,
        settings.regions.len(),
        settings.services.len(),
        settings.routes.len(),
        settings.teams.len(),
        snapshot.hosts.hosts.len(),
    )
}
