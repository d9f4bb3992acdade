//! The figures of the capacity page, printed in its own format.

mod configuration;
mod dispatch;
pub mod fit;
mod freshness;
mod health;
mod limits;
mod links;
mod listener;
mod metrics;
mod overlay;
mod probe;
mod report;
mod synthetic;
mod target;

use clap::Args;
use report::{RoleReport, print_totals};

/// Nothing to choose: one run prints every figure.
#[derive(Args, Clone, Debug)]
pub struct CapacityArgs {}

impl CapacityArgs {
    /// Prints all tables.
    ///
    /// # Errors
    /// When a trace does not parse.
    pub fn run(&self) -> eyre::Result<()> {
        // The first one looks at the peak of the process, which never falls.
        let mut reports: Vec<RoleReport> = Vec::new();
        for report in configuration::measure() {
            take(&mut reports, report);
        }
        take(&mut reports, listener::measure());
        take(&mut reports, freshness::measure()?);
        for report in limits::measure() {
            take(&mut reports, report);
        }
        take(&mut reports, health::measure());
        take(&mut reports, dispatch::measure());
        take(&mut reports, metrics::measure());
        let messages = reports.iter().map(|report| report.cost.messages).sum();
        take(&mut reports, links::measure(messages));
        overlay::print();
        print_totals(&reports);
        Ok(())
    }
}

/// Prints a role at once, since a whole run takes a while.
fn take(reports: &mut Vec<RoleReport>, report: RoleReport) {
    report.print();
    reports.push(report);
}
