//! The table of placing: one service in two regions under the loads and failures that fleets meet,
//! on virtual time, with one placer in each region.

pub mod cost;
pub mod floor;
pub mod load;
pub mod run;
pub mod scenario;
pub mod score;
pub mod world;

use clap::Args;
use run::PlacingRun;
use scenario::LoadScenario;
use score::PlacingScore;
use std::thread;

/// What to measure.
#[derive(Args, Clone, Debug)]
pub struct PlacingArgs {
    /// The scenarios; all when absent.
    #[arg(long, value_enum)]
    scenario: Vec<LoadScenario>,
    /// The number of seeds; each row is their mean.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Print the processor time of placing instead.
    #[arg(long)]
    cost: bool,
}

/// Servers of a service in one region whose cost is measured.
const COST_SERVERS: [usize; 4] = [37, 431, 1_700, 6_800];
/// Queued requests whose cost is measured.
const COST_QUEUES: [usize; 3] = [0, 100, 500];

impl PlacingArgs {
    /// Prints a row for each scenario.
    ///
    /// # Errors
    /// When a run panicked.
    pub fn run(&self) -> eyre::Result<()> {
        if self.cost {
            print_costs();
            return Ok(());
        }
        println!("{}", PlacingScore::HEADER);
        let scenarios: Vec<LoadScenario> = if self.scenario.is_empty() {
            LoadScenario::ALL.to_vec()
        } else {
            self.scenario.clone()
        };
        for scenario in scenarios {
            let runs: Vec<_> = (1..=self.seeds)
                .map(|seed| thread::spawn(move || PlacingRun::new(scenario.load(), seed).score()))
                .collect();
            let mut sum = PlacingScore::default();
            for run in runs {
                let score = run.join().map_err(|_| eyre::eyre!("a run panicked"))?;
                sum.add(&score);
            }
            println!("{}", sum.row(&scenario.to_string()));
        }
        Ok(())
    }
}

fn print_costs() {
    println!("servers  queued  microseconds_a_request");
    for servers in COST_SERVERS {
        for queue in COST_QUEUES {
            let time = cost::request_time(servers, queue).as_secs_f64() * 1e6;
            println!("{servers:>7} {queue:>7} {time:>23.1}");
        }
    }
}
