//! `key`: keys of callers and their digests.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::{Args, Subcommand};
use rand::{TryRng, rngs::SysRng};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// The random bytes of a key.
const KEY_BYTES: usize = 32;
/// What a key starts with, so that scanners for leaked secrets can find it.
const KEY_PREFIX: &str = "kws_";

/// Make keys for callers
#[derive(Args, Debug)]
pub(crate) struct KeyCommand {
    #[command(subcommand)]
    action: KeyAction,
}

#[derive(Debug, Subcommand)]
enum KeyAction {
    /// Print a new key once, with the digest to publish
    #[command(after_help = "Examples:
  knapweedseam key new
  knapweedseam key new --json

Hand the key to the team and publish the digest under `keys` of the team. The key is stored
nowhere: it cannot be printed again.")]
    New,
}

#[derive(Serialize)]
struct KeyReport {
    key: String,
    digest: String,
}

impl KeyCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        match self.action {
            KeyAction::New => write_key(output),
        }
    }
}

fn write_key(output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
    let mut bytes = [0; KEY_BYTES];
    SysRng.try_fill_bytes(&mut bytes)?;
    let key = format!("{KEY_PREFIX}{}", hex::encode(bytes));
    let digest = format!("sha256:{}", hex::encode(Sha256::digest(&key)));
    let report = KeyReport { key, digest };
    match output.format {
        OutputFormat::Human => {
            writeln!(output.writer, "key:    {}", report.key)?;
            writeln!(output.writer, "digest: {}", report.digest)?;
        }
        OutputFormat::Json => output.json(&report)?,
    }
    Ok(ExitStatus::Success)
}
