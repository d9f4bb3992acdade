//! The table of freshness: a withdrawal and the control traffic, in virtual time.

pub mod fault;
pub mod meter;
pub mod overlay;

use clap::Args;
use eyre::eyre;
use fault::{FaultKind, PUBLISH_SECONDS, trace};
use kws_replay::{FleetModel, TraceModel};
use meter::{FleetMeter, FleetTotals, MeteredNode};
use std::{sync::Arc, time::Duration};

/// What to measure.
#[derive(Args, Clone, Debug)]
pub struct FleetArgs {
    /// Hosts of the fleet, half of them in each region.
    #[arg(long, default_values_t = [40, 570])]
    hosts: Vec<usize>,
    /// The faults; all when absent.
    #[arg(long, value_enum)]
    fault: Vec<FaultKind>,
    /// Measure a greedy overlay in place of the table.
    #[arg(long)]
    overlay: bool,
    /// The seed of the overlay.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl FleetArgs {
    /// Prints the table.
    ///
    /// # Errors
    /// When a trace does not parse.
    pub fn run(&self) -> eyre::Result<()> {
        if self.overlay {
            self.print_overlays();
            return Ok(());
        }
        println!(
            "hosts  fault          in_force_ms  last_old_ms  lagging  msgs/host/s  bytes/host/s  busiest_bytes/s  cross_kbit/s  change_bytes/host  platform_calls/s"
        );
        for hosts in &self.hosts {
            for fault in self.faults() {
                print_row(*hosts, fault, &measure(*hosts, fault)?);
            }
        }
        Ok(())
    }

    fn print_overlays(&self) {
        println!("hosts  links/host  most_links  hops/message  lost");
        for hosts in &self.hosts {
            let totals = overlay::measure(*hosts, self.seed);
            println!(
                "{hosts:<6} {:>10.1}  {:>10}  {:>12.2}  {:>4.2}",
                totals.links, totals.most_links, totals.hops, totals.lost
            );
        }
    }

    fn faults(&self) -> Vec<FaultKind> {
        if self.fault.is_empty() {
            return FaultKind::ALL.to_vec();
        }
        self.fault.clone()
    }
}

/// Runs one fleet under one fault.
pub(crate) fn measure(hosts: usize, fault: FaultKind) -> eyre::Result<FleetTotals> {
    let meter = Arc::new(FleetMeter::default());
    let shared = Arc::clone(&meter);
    let factory = move |node: &_| MeteredNode::boxed(node, Arc::clone(&shared));
    FleetModel::new(Box::new(factory))
        .replay(&trace(hosts, fault))
        .map_err(|error| eyre!("{error}"))?;
    Ok(meter.totals())
}

fn print_row(hosts: usize, fault: FaultKind, totals: &FleetTotals) {
    println!(
        "{hosts:<6} {:<14} {:>11}  {:>11}  {:>7}  {:>11.1}  {:>12.0}  {:>15.0}  {:>12.1}  {:>17.0}  {:>16.1}",
        fault.name(),
        since_publish(totals.last_adopted),
        since_publish(totals.last_old),
        totals.lagging,
        totals.messages_per_host,
        totals.bytes_per_host,
        totals.busiest_bytes,
        totals.cross_bits / 1e3,
        totals.change_bytes_per_host,
        totals.platform_calls,
    );
}

/// Milliseconds from the withdrawal to `at`; a dash when it never came to that.
fn since_publish(at: Option<Duration>) -> String {
    let publish = Duration::from_secs(PUBLISH_SECONDS);
    at.and_then(|at| at.checked_sub(publish))
        .map_or_else(|| String::from("-"), |time| time.as_millis().to_string())
}
