//! Prints tables of measurements.

use clap::{Parser, Subcommand};
use kws_bench::fleet::FleetArgs;

/// Measurements over the product and its baselines.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArgs {
    #[command(subcommand)]
    table: BenchTable,
}

#[derive(Debug, Subcommand)]
enum BenchTable {
    /// Freshness: time until a withdrawal is in force, and control traffic.
    Fleet(FleetArgs),
}

fn main() -> eyre::Result<()> {
    match BenchArgs::parse().table {
        BenchTable::Fleet(args) => args.run(),
    }
}
