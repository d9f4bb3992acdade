//! `check`: everything that is wrong with a tree.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::Args;
use kws_tree::{check, read_directory, resolve};
use std::path::PathBuf;

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
        let status = output.findings(&check(&published))?;
        if let (OutputFormat::Human, Ok(snapshot)) = (output.format, resolve(&published)) {
            let settings = &snapshot.settings;
            let servers: usize = settings
                .services
                .values()
                .map(|service| service.servers.len())
                .sum();
            writeln!(
                output.writer,
                "revision {}: {} regions, {} services, {servers} servers, {} routes, {} teams, \
                 {} listed hosts",
                snapshot.revision,
                settings.regions.len(),
                settings.services.len(),
                settings.routes.len(),
                settings.teams.len(),
                snapshot.hosts.hosts.len(),
            )?;
        }
        Ok(status)
    }
}
