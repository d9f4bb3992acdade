//! `explain`: the value in force of a field, and who set it.

use crate::{
    ExitStatus,
    output::{CommandOutput, OutputFormat},
    table::write_table,
};
use clap::Args;
use kws_tree::{EffectiveValue, Finding, ValueOrigin, explain, read_directory};
use serde::Serialize;
use std::path::PathBuf;

/// Show the value in force of a field, with the file and line that set it
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  knapweedseam explain tree teams.shop.rate
  knapweedseam explain tree services.till
  knapweedseam explain tree")]
pub(crate) struct ExplainCommand {
    /// The directory of the tree
    #[arg(value_name = "DIR")]
    directory: PathBuf,
    /// The path of a field, or of a part of the tree; the whole tree when absent
    #[arg(default_value = "", hide_default_value = true)]
    path: String,
}

impl ExplainCommand {
    /// Runs the command.
    pub fn run(&self, output: &mut CommandOutput<'_>) -> eyre::Result<ExitStatus> {
        let values = match self.values() {
            Ok(values) => values,
            Err(findings) => return output.findings(&findings),
        };
        match output.format {
            OutputFormat::Human => write_table(output.writer, values.iter().map(table_row))?,
            OutputFormat::Json => {
                let values: Vec<ValueReport<'_>> = values.iter().map(ValueReport::from).collect();
                output.json(&values)?;
            }
        }
        Ok(ExitStatus::Success)
    }

    fn values(&self) -> Result<Vec<EffectiveValue>, Vec<Finding>> {
        explain(&read_directory(&self.directory)?, &self.path)
    }
}

fn table_row(value: &EffectiveValue) -> [String; 3] {
    let text = value.value.as_deref().unwrap_or("absent");
    [
        value.path.clone(),
        text.to_owned(),
        value.origin.to_string(),
    ]
}

#[derive(Serialize)]
struct ValueReport<'a> {
    path: &'a str,
    value: Option<&'a str>,
    file: Option<&'a str>,
    line: Option<u64>,
    column: Option<u64>,
}

impl<'a> From<&'a EffectiveValue> for ValueReport<'a> {
    fn from(value: &'a EffectiveValue) -> Self {
        let place = match &value.origin {
            ValueOrigin::Written(place) => Some(place),
            ValueOrigin::BuiltIn => None,
        };
        Self {
            path: &value.path,
            value: value.value.as_deref(),
            file: place.map(|place| &*place.file),
            line: place.map(|place| place.line),
            column: place.map(|place| place.column),
        }
    }
}
