//! The simulated backend servers.

use super::load::ServiceLoad;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Longest time until a failing server reports its error.
const MAX_ERROR_TIME: Duration = Duration::from_millis(8);

/// Time until a crashed server's host refuses a connection.
const REFUSE_TIME: Duration = Duration::from_millis(2);

/// How a try ends at its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerVerdict {
    /// A good response.
    Good,
    /// An error.
    Error,
    /// The server rejected the request without running it.
    NotRun,
    /// The connection was refused.
    Unreachable,
}

/// The servers of one service.
#[derive(Debug)]
pub struct ServerWorld {
    load: ServiceLoad,
    /// Start of each server's first window.
    offsets: Vec<Duration>,
    /// The windows in which each server fails.
    sick: Vec<Vec<bool>>,
    running: Vec<u32>,
    rng: SmallRng,
}

impl ServerWorld {
    /// Creates idle servers.
    pub fn new(load: ServiceLoad, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let windows = 2 + (load.length.as_secs_f64() / load.spells.window.as_secs_f64()) as usize;
        let offsets = (0..load.servers)
            .map(|_| load.spells.window.mul_f64(rng.random()))
            .collect();
        let sick = (0..load.servers)
            .map(|_| {
                let draws = (0..=windows).map(|_| rng.random::<f64>() < load.spells.share);
                draws.collect()
            })
            .collect();
        Self {
            offsets,
            sick,
            running: vec![0; load.servers],
            load,
            rng,
        }
    }

    /// Whether the server at `index` fails most requests at `at`.
    pub fn is_sick(&self, index: usize, at: Duration) -> bool {
        let shifted = at + self.offsets[index];
        let window = (shifted.as_secs_f64() / self.load.spells.window.as_secs_f64()) as usize;
        self.sick[index].get(window).copied().unwrap_or_default()
    }

    /// Whether the server at `index` refuses connections at `at`.
    pub fn is_gone(&self, index: usize, at: Duration) -> bool {
        self.load.crash.is_some_and(|(from, share)| {
            let gone = (self.load.servers as f64 * share) as usize;
            at >= from && index < gone
        })
    }

    /// How often servers began to fail, counted from the start.
    pub fn spells(&self) -> u64 {
        let begins = |windows: &Vec<bool>| {
            let first = u64::from(windows.first().copied().unwrap_or_default());
            let pairs = windows.windows(2);
            first + pairs.filter(|pair| !pair[0] && pair[1]).count() as u64
        };
        self.sick.iter().map(begins).sum()
    }

    /// Starts a try at a server. Returns how it ends and after what time.
    pub fn start(&mut self, index: usize, at: Duration) -> (ServerVerdict, Duration) {
        if self.is_gone(index, at) {
            return (ServerVerdict::Unreachable, REFUSE_TIME);
        }
        let shed = self.load.shed_share(at);
        if shed > 0.0 && self.rng.random::<f64>() < shed {
            return (ServerVerdict::NotRun, self.error_time());
        }
        let queued = self.running[index] >= self.load.slots;
        self.running[index] += 1;
        if self.is_sick(index, at) && self.rng.random::<f64>() < self.load.spells.fails {
            return (ServerVerdict::Error, self.error_time());
        }
        let mut time = self.service_time();
        if queued {
            time += self.load.service_time / self.load.slots.max(1);
        }
        if self.rng.random::<f64>() < self.load.error_share {
            return (ServerVerdict::Error, time);
        }
        (ServerVerdict::Good, time)
    }

    /// Frees the slot of a try that ran.
    pub fn end(&mut self, index: usize) {
        self.running[index] = self.running[index].saturating_sub(1);
    }

    fn error_time(&mut self) -> Duration {
        MAX_ERROR_TIME.mul_f64(self.rng.random())
    }

    /// Draws from a lognormal distribution with the load's mean.
    fn service_time(&mut self) -> Duration {
        let spread = self.load.spread;
        let uniform: f64 = self.rng.random::<f64>().max(f64::MIN_POSITIVE);
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();
        let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
        let factor = (spread * normal - spread * spread / 2.0).exp();
        self.load.service_time.mul_f64(factor)
    }
}
