//! Several health monitors that exchange reports and use the same servers.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use kws_fixture::{SampleFleet, host_name, server_name};
use kws_health::{
    AvailabilitySource, HealthMonitor, ResponseOutcome, ServerAvailability, UnavailableReason,
};
use kws_protocol::{HealthMessage, ServerName, ServiceName};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// The interval between rounds.
pub const ROUND: Duration = Duration::from_millis(500);

/// A good response of normal latency.
pub const USUAL: (ResponseOutcome, Duration) =
    (ResponseOutcome::Succeeded, Duration::from_millis(20));

/// One try, as input to the script that gives the response.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub round: usize,
    pub host: usize,
    pub server: usize,
}

impl Attempt {
    /// Whether the try belongs to `share` tenths of all tries, evenly distributed.
    pub fn tenths(&self, share: usize) -> bool {
        (self.round * 7 + self.host * 3 + self.server) % 10 < share
    }
}

pub type Response = (ResponseOutcome, Duration);

/// The health monitors of a fleet.
pub struct FleetMonitors {
    pub fleet: SampleFleet,
    pub hosts: Vec<HealthMonitor>,
    pub round: usize,
}

impl FleetMonitors {
    pub fn new(fleet: SampleFleet) -> Self {
        let mut monitors: Vec<HealthMonitor> = (0..fleet.hosts)
            .map(|at| HealthMonitor::new(host_name(at)))
            .collect();
        let snapshot = fleet.snapshot();
        for monitor in &mut monitors {
            monitor.apply_settings(&snapshot, Instant::now());
        }
        Self {
            fleet,
            hosts: monitors,
            round: 0,
        }
    }

    /// In each round, every host tries each server that it may use; then the hosts exchange reports
    /// and evaluate.
    pub async fn run(&mut self, rounds: usize, script: impl Fn(Attempt) -> Response) {
        for _ in 0..rounds {
            advance(ROUND).await;
            self.round += 1;
            self.send_attempts(&script);
            self.exchange();
        }
    }

    fn send_attempts(&mut self, script: &impl Fn(Attempt) -> Response) {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            for server in 0..self.fleet.services[0].1 {
                let availability = self.availability(host, server);
                if availability.weight == 0.0 && !availability.probe_only {
                    continue;
                }
                let (outcome, latency) = script(Attempt {
                    round: self.round,
                    host,
                    server,
                });
                let name = server_name("listing", server);
                self.hosts[host].record_outcome(&listing(), &name, outcome, latency, now);
            }
        }
    }

    /// All hosts exchange reports and evaluate.
    pub fn exchange(&mut self) {
        let now = Instant::now();
        let messages: Vec<HealthMessage> = self
            .hosts
            .iter_mut()
            .map(|monitor| HealthMessage::Reports(monitor.take_reports(now)))
            .collect();
        for (to, monitor) in self.hosts.iter_mut().enumerate() {
            for (from, message) in messages.iter().enumerate() {
                if from != to {
                    monitor.receive(&host_name(from), message, now);
                }
            }
            monitor.tick(now);
        }
    }

    /// Applies the changed fleet on all hosts.
    pub fn apply_fleet(&mut self) {
        let snapshot = self.fleet.snapshot();
        for monitor in &mut self.hosts {
            monitor.apply_settings(&snapshot, Instant::now());
        }
    }

    pub fn availability(&self, host: usize, server: usize) -> ServerAvailability {
        let name = server_name("listing", server);
        self.hosts[host].availability(&listing(), &name, Instant::now())
    }

    /// The servers that `host` has ejected or probes.
    pub fn ejected(&self, host: usize) -> Vec<usize> {
        (0..self.fleet.services[0].1)
            .filter(|server| {
                self.availability(host, *server).unavailable == Some(UnavailableReason::Ejected)
            })
            .collect()
    }

    /// The number of hosts that have ejected each server; servers that none has ejected are left
    /// out.
    pub fn ejections(&self) -> Vec<(usize, usize)> {
        let count = |server: &usize| {
            (0..self.hosts.len())
                .filter(|host| self.ejected(*host).contains(server))
                .count()
        };
        (0..self.fleet.services[0].1)
            .map(|server| (server, count(&server)))
            .filter(|(_, hosts)| *hosts > 0)
            .collect()
    }

    /// The capacity that `host` uses, in slots.
    pub fn capacity(&self, host: usize) -> f64 {
        (0..self.fleet.services[0].1)
            .map(|server| self.availability(host, server).weight * f64::from(self.fleet.slots))
            .sum()
    }
}

pub fn listing() -> ServiceName {
    ServiceName::new("listing")
}

pub fn server(at: usize) -> ServerName {
    server_name("listing", at)
}
