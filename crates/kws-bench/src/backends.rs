//! The table of backend servers: the product against naive rules, in virtual time.

pub mod fault;
pub mod model;
pub mod naive;
pub mod rule;

use clap::Args;
use fault::{Deployment, FaultKind};
use model::{RunScore, TableRun};
use rule::RuleKind;
use std::thread;

/// What to measure.
#[derive(Args, Clone, Debug)]
pub struct BackendsArgs {
    /// The deployments; both when absent.
    #[arg(long, value_enum)]
    deployment: Vec<Deployment>,
    /// The rules; all when absent.
    #[arg(long, value_enum)]
    rule: Vec<RuleKind>,
    /// The faults; all when absent.
    #[arg(long, value_enum)]
    fault: Vec<FaultKind>,
    /// The share of the service's capacity that callers ask for.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// The seed of arrivals, times in service and errors.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl BackendsArgs {
    /// Prints the table.
    ///
    /// # Errors
    /// When a run panicked.
    pub fn run(&self) -> eyre::Result<()> {
        println!(
            "deployment   servers fault         rule         detect_s  false  bad_%  refused_%  worst_team_%  p99_ms"
        );
        for deployment in chosen(&self.deployment, &Deployment::ALL) {
            for servers in [10, 20] {
                for fault in chosen(&self.fault, &FaultKind::ALL) {
                    self.print_rules(deployment, servers, fault)?;
                }
            }
        }
        Ok(())
    }

    /// Runs the rules beside each other, at most four at a time.
    fn print_rules(
        &self,
        deployment: Deployment,
        servers: usize,
        fault: FaultKind,
    ) -> eyre::Result<()> {
        let rules = chosen(&self.rule, &RuleKind::ALL);
        let runs: Vec<_> = rules
            .into_iter()
            .map(|rule| TableRun {
                deployment,
                servers,
                fault,
                rule,
                load: self.load,
                seed: self.seed,
            })
            .map(|run| (run, thread::spawn(move || run.score())))
            .collect();
        for (run, thread) in runs {
            let score = thread.join().map_err(|_| eyre::eyre!("a run panicked"))?;
            print_row(&run, &score);
        }
        Ok(())
    }
}

fn chosen<T: Copy>(given: &[T], all: &[T]) -> Vec<T> {
    if given.is_empty() { all } else { given }.to_vec()
}

fn print_row(run: &TableRun, score: &RunScore) {
    let detected = score
        .detected
        .map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64()));
    println!(
        "{:<12} {:>7} {:<13} {:<12} {:>8} {:>6} {:>6.2} {:>10.2} {:>13.1} {:>7}",
        run.deployment.name(),
        run.servers,
        run.fault.name(),
        run.rule.name(),
        detected,
        score.false_ejections,
        score.bad_share * 100.0,
        score.refused_share * 100.0,
        score.worst_team * 100.0,
        score.p99_ms,
    );
}
