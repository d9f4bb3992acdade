//! `completions`: completion of the command line.

use crate::{ExitStatus, client::ClientArguments, output::CommandOutput};
use clap::{Args, CommandFactory};
use clap_complete::Shell;

/// Print a completion script for a shell
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam completions bash > /etc/bash_completion.d/knapweedseam")]
pub(crate) struct CompletionsCommand {
    /// The shell
    shell: Shell,
}

impl CompletionsCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let mut command = ClientArguments::command();
        let name = command.get_name().to_owned();
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut command, name, &mut script);
        output.writer.write_all(&script)?;
        Ok(ExitStatus::Success)
    }
}
