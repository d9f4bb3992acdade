//! The state of the servers for the admin address.

use super::PlacementThread;
use kws_dispatch::ServerHealth;
use kws_protocol::ServerStatus;
use std::collections::BTreeMap;
use tokio::time::Instant;

impl PlacementThread {
    /// Publishes the state of each server and the queue lengths for the admin address.
    pub(super) fn publish_status(&self, now: Instant) {
        let mut statuses = Vec::new();
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (service, server, health) in self.placer.server_health(now) {
            let state = health_state(health);
            for name in ["serving", "suspect", "ejected"] {
                let count = counts.entry((service.as_str(), name)).or_default();
                *count += usize::from(name == state);
            }
            statuses.push(ServerStatus {
                service: service.clone(),
                server: server.clone(),
                weight: if health == ServerHealth::Unhealthy {
                    0.0
                } else {
                    1.0
                },
                state: state.to_owned(),
            });
        }
        for ((service, state), count) in counts {
            self.shared.metrics.set_servers(service, state, count);
        }
        for (service, length) in self.placer.queue_lengths() {
            self.shared.metrics.set_queue(service.as_str(), length);
        }
        self.shared.set_servers(statuses);
    }
}

pub(super) fn health_state(health: ServerHealth) -> &'static str {
    match health {
        ServerHealth::Healthy => "serving",
        ServerHealth::Suspect => "suspect",
        ServerHealth::Unhealthy => "ejected",
    }
}
