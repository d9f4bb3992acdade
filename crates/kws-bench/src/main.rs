//! Prints tables of measurements.

use clap::{Parser, Subcommand};
use kws_bench::limits::LimitsArgs;

/// Measurements over the product and its baselines.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArgs {
    #[command(subcommand)]
    table: BenchTable,
}

#[derive(Debug, Subcommand)]
enum BenchTable {
    /// Limits: admitted over entitled, refusals within the rate, loans, waits.
    Limits(LimitsArgs),
}

fn main() -> eyre::Result<()> {
    match BenchArgs::parse().table {
        BenchTable::Limits(args) => args.run(),
    }
}
