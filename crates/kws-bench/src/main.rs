//! Prints tables of measurements.

use clap::{Parser, Subcommand};
use kws_bench::{
    backends::BackendsArgs, capacity::CapacityArgs, control::ControlArgs, fleet::FleetArgs,
    forward::ForwardArgs, limits::LimitsArgs, placing::PlacingArgs,
};

/// Measurements over the product and its baselines.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArgs {
    #[command(subcommand)]
    table: BenchTable,
}

#[derive(Debug, Subcommand)]
enum BenchTable {
    /// Backend servers: detection, false ejections, bad answers, the worst-served team.
    Backends(BackendsArgs),
    /// Every role at the size to design for: processor time, memory, messages, margins.
    Capacity(CapacityArgs),
    /// Control: traffic, processor time and memory of whole daemons.
    Control(ControlArgs),
    /// Forwarding: added latency, requests for a core's second, memory of idle connections.
    Forward(ForwardArgs),
    /// Limits: admitted over entitled, refusals within the rate, loans, waits.
    Limits(LimitsArgs),
    /// Placing: served, refused and failed requests of one service under load and failures.
    Placing(PlacingArgs),
    /// Freshness: time until a withdrawal is in force, and control traffic.
    Fleet(FleetArgs),
}

fn main() -> eyre::Result<()> {
    match BenchArgs::parse().table {
        BenchTable::Backends(args) => args.run(),
        BenchTable::Capacity(args) => args.run(),
        BenchTable::Control(args) => args.run(),
        BenchTable::Forward(args) => args.run(),
        BenchTable::Limits(args) => args.run(),
        BenchTable::Placing(args) => args.run(),
        BenchTable::Fleet(args) => args.run(),
    }
}
