//! The table of limits: the product against naive rules, in virtual time.

pub mod cost;
pub mod rule;
pub mod scenario;

pub use kws_replay::limits::{model, score};

use clap::Args;
use kws_limits::LimitsPolicy;
use scenario::{ArrivalKind, FaultKind, RuleKind, SCORED_SECONDS, TableRun};
use std::{thread, time::Duration};

const ARRIVALS: [ArrivalKind; 3] = [ArrivalKind::Even, ArrivalKind::Skewed, ArrivalKind::Single];

const FAULTS: [FaultKind; 6] = [
    FaultKind::Calm,
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::OneWay,
    FaultKind::ListChange,
    FaultKind::Flood,
];

/// What to measure.
#[derive(Args, Clone, Debug)]
pub struct LimitsArgs {
    /// Hosts of the fleet.
    #[arg(long, default_value_t = 40)]
    hosts: usize,
    /// The share of its rate that each team sends.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// The rules; all when absent.
    #[arg(long, value_enum)]
    rule: Vec<RuleKind>,
    /// Requests a second for which a region has one more holder.
    #[arg(long, default_value_t = LimitsPolicy::default().rate_per_holder)]
    rate_per_holder: f64,
    /// The least number of holders in a region.
    #[arg(long, default_value_t = LimitsPolicy::default().min_holders)]
    min_holders: usize,
    /// Milliseconds of demand that are borrowed ahead within a region.
    #[arg(long, default_value_t = LimitsPolicy::default().region_ahead.as_millis() as u64)]
    region_ahead: u64,
    /// Milliseconds of demand that are borrowed ahead from other regions.
    #[arg(long, default_value_t = LimitsPolicy::default().remote_ahead.as_millis() as u64)]
    remote_ahead: u64,
    /// Milliseconds for which a lender of the region that was short is spared.
    #[arg(long, default_value_t = LimitsPolicy::default().max_region_cooldown.as_millis() as u64)]
    near_pause: u64,
    /// Measure the cost of the ledger with 570 hosts and 54,000 teams instead.
    #[arg(long)]
    cost: bool,
}

impl LimitsArgs {
    /// Prints the table.
    ///
    /// # Errors
    /// None; the signature is that of every table.
    pub fn run(&self) -> eyre::Result<()> {
        if self.cost {
            println!("{:#?}", cost::measure());
            return Ok(());
        }
        println!(
            "{:8} {:7} {:11} {:>9} {:>10} {:>8} {:>11} {:>11} {:>8} {:>8} {:>8}",
            "rule",
            "arrival",
            "fault",
            "largest",
            "refused %",
            "worst %",
            "msg/host/s",
            "link kbit/s",
            "p50 ms",
            "p99 ms",
            "max ms"
        );
        for rule in self.rules() {
            for arrival in ARRIVALS {
                let runs = FAULTS.map(|fault| self.table_run(rule, arrival, fault));
                let lines = thread::scope(|scope| {
                    let runs = runs.each_ref().map(|run| scope.spawn(|| line(run)));
                    runs.map(|run| run.join().unwrap_or_default())
                });
                for line in lines {
                    println!("{line}");
                }
            }
        }
        Ok(())
    }

    fn rules(&self) -> Vec<RuleKind> {
        if self.rule.is_empty() {
            return vec![RuleKind::Product, RuleKind::Split, RuleKind::Owner];
        }
        self.rule.clone()
    }

    fn table_run(&self, rule: RuleKind, arrival: ArrivalKind, fault: FaultKind) -> TableRun {
        TableRun {
            rule,
            policy: LimitsPolicy {
                rate_per_holder: self.rate_per_holder,
                min_holders: self.min_holders,
                region_ahead: Duration::from_millis(self.region_ahead),
                max_region_cooldown: Duration::from_millis(self.near_pause),
                remote_ahead: Duration::from_millis(self.remote_ahead),
                ..LimitsPolicy::default()
            },
            arrival,
            fault,
            hosts: self.hosts,
            load: self.load,
        }
    }
}

fn line(run: &TableRun) -> String {
    let score = run.run();
    let messages = score.messages as f64 / run.hosts as f64 / SCORED_SECONDS;
    format!(
        "{:8} {:7} {:11} {:>9.3} {:>10.2} {:>8.2} {:>11.1} {:>11.1} {:>8.2} {:>8.2} {:>8.2}",
        format!("{:?}", run.rule),
        format!("{:?}", run.arrival),
        format!("{:?}", run.fault),
        score.largest_ratio(),
        score.refused_percent(),
        score.worst_percent(),
        messages,
        score.link_bytes as f64 * 8e-3 / SCORED_SECONDS,
        score.wait(50.0),
        score.wait(99.0),
        score.wait(100.0)
    )
}
