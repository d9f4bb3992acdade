//! The command line.

use crate::{
    ExitStatus,
    check::CheckCommand,
    completions::CompletionsCommand,
    diff::DiffCommand,
    explain::ExplainCommand,
    explain_request::ExplainRequestCommand,
    key::KeyCommand,
    output::{CommandOutput, OutputFormat},
    replay::ReplayCommand,
    status::StatusCommand,
};
use clap::{Parser, Subcommand};
use std::{ffi::OsString, io::Write};

/// Checks, explains and compares the settings of a proxy fleet, and shows the state of its hosts.
#[derive(Debug, Parser)]
#[command(
    name = "knapweedseam",
    version,
    after_help = "Exit codes:
  0  done
  1  the settings have findings, or an outcome of a trace does not hold
  2  the command line is wrong, or the output cannot be written
  3  a host gave no answer"
)]
pub(crate) struct ClientArguments {
    /// Write one JSON document in place of text
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: ClientCommand,
}

#[derive(Debug, Subcommand)]
enum ClientCommand {
    Check(CheckCommand),
    Completions(CompletionsCommand),
    Diff(DiffCommand),
    Explain(ExplainCommand),
    ExplainRequest(ExplainRequestCommand),
    Key(KeyCommand),
    Replay(ReplayCommand),
    Status(StatusCommand),
}

/// Runs the client; `arguments` start with the name of the program.
pub fn run_client<I>(arguments: I, writer: &mut dyn Write, errors: &mut dyn Write) -> ExitStatus
where
    I: IntoIterator<Item = OsString>,
{
    let parsed = match ClientArguments::try_parse_from(arguments) {
        Ok(parsed) => parsed,
        Err(error) => return show_usage(&error, writer, errors),
    };
    match run_command(&parsed, writer) {
        Ok(status) => status,
        Err(error) => {
            // Nothing is left to be told when the errors cannot be written either.
            let _ = writeln!(errors, "error: {error:#}");
            ExitStatus::Usage
        }
    }
}

fn run_command(parsed: &ClientArguments, writer: &mut dyn Write) -> eyre::Result<ExitStatus> {
    let format = if parsed.json {
        OutputFormat::Json
    } else {
        OutputFormat::Human
    };
    let mut output = CommandOutput { writer, format };
    let status = match &parsed.command {
        ClientCommand::Check(command) => command.run(&mut output),
        ClientCommand::Completions(command) => command.run(&mut output),
        ClientCommand::Diff(command) => command.run(&mut output),
        ClientCommand::Explain(command) => command.run(&mut output),
        ClientCommand::ExplainRequest(command) => command.run(&mut output),
        ClientCommand::Key(command) => command.run(&mut output),
        ClientCommand::Replay(command) => command.run(&mut output),
        ClientCommand::Status(command) => command.run(&mut output),
    }?;
    output.writer.flush()?;
    Ok(status)
}

/// Help and the version are output that was asked for; all else is a fault of the command line.
fn show_usage(error: &clap::Error, writer: &mut dyn Write, errors: &mut dyn Write) -> ExitStatus {
    let text = error.render();
    if error.use_stderr() {
        // Nothing is left to be told when the errors cannot be written either.
        let _ = write!(errors, "{text}");
        return ExitStatus::Usage;
    }
    let written = write!(writer, "{text}").and_then(|()| writer.flush());
    match written {
        Ok(()) => ExitStatus::Success,
        Err(_) => ExitStatus::Usage,
    }
}
