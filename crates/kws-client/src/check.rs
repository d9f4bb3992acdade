//! `check`: everything that is wrong with a tree.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::Args;
use kws_protocol::FleetSnapshot;
use kws_tree::{read_directory, review};
use std::{io, path::PathBuf};

/// Report everything that is wrong with a tree
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam check examples/farm/tree
  knapweedseam check --json tree | jq '.findings[].message'")]
pub(crate) struct CheckCommand {
    /// The directory of the tree
    #[arg(value_name = "DIR")]
    directory: PathBuf,
}

impl CheckCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let published = match read_directory(&self.directory) {
            Ok(published) => published,
            Err(findings) => return output.findings(&findings),
        };
        let review = review(&published);
        let status = output.findings(&review.findings)?;
        if let (OutputFormat::Human, Some(snapshot)) = (output.format, review.snapshot) {
            write_sizes(output, &snapshot)?;
        }
        Ok(status)
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
