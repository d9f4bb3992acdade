//! `diff`: what a new tree changes.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
};
use clap::Args;
use kws_tree::{EffectChange, Finding, TreeEffect, diff, read_directory};
use serde::Serialize;
use std::path::PathBuf;

/// Show what a new tree changes, as effects
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam diff tree-in-force tree-to-publish")]
pub(crate) struct DiffCommand {
    /// The directory of the tree in force
    old: PathBuf,
    /// The directory of the tree to publish
    new: PathBuf,
}

impl DiffCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let effects = match self.effects() {
            Ok(effects) => effects,
            Err(findings) => return output.findings(&findings),
        };
        match output.format {
            OutputFormat::Human if effects.is_empty() => writeln!(output.writer, "no effects")?,
            OutputFormat::Human => {
                for effect in &effects {
                    writeln!(output.writer, "{effect}")?;
                }
            }
            OutputFormat::Json => {
                let effects: Vec<EffectReport<'_>> =
                    effects.iter().map(EffectReport::from).collect();
                output.json(&effects)?;
            }
        }
        Ok(ExitStatus::Success)
    }

    fn effects(&self) -> Result<Vec<TreeEffect>, Vec<Finding>> {
        diff(&read_directory(&self.old)?, &read_directory(&self.new)?)
    }
}

#[derive(Serialize)]
struct EffectReport<'a> {
    path: &'a str,
    subject: &'a str,
    #[serde(flatten)]
    change: ChangeReport<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
enum ChangeReport<'a> {
    Added,
    Changed {
        field: &'a str,
        old: &'a str,
        new: &'a str,
    },
    KeyIssued {
        digest: &'a str,
    },
    KeyWithdrawn {
        digest: &'a str,
    },
    Removed,
}

impl<'a> From<&'a TreeEffect> for EffectReport<'a> {
    fn from(effect: &'a TreeEffect) -> Self {
        let change = match &effect.change {
            EffectChange::Added => ChangeReport::Added,
            EffectChange::Changed { field, old, new } => ChangeReport::Changed { field, old, new },
            EffectChange::KeyIssued(digest) => ChangeReport::KeyIssued { digest },
            EffectChange::KeyWithdrawn(digest) => ChangeReport::KeyWithdrawn { digest },
            EffectChange::Removed => ChangeReport::Removed,
        };
        Self {
            path: &effect.path,
            subject: &effect.subject,
            change,
        }
    }
}
