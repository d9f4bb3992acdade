//! What the owner of a service tells other hosts about its servers.
//!
//! The hosts that would own the service next, and its owners in the other regions, get the loads of
//! all servers. Every other host places requests only while an owner doesn't reply; for a request
//! that is shorter than the period, a load is outdated by then, and only the servers that fail are of
//! use. In calm nothing is sent to them.

use super::PlacementThread;
use kws_membership::SharedTask;
use kws_protocol::{HostName, PeerMessage, ServerLoad, ServiceName, TicketMessage};
use std::collections::BTreeSet;
use tokio::time::Instant;

/// Hosts of the region, besides the owner, that get the loads of all servers. Two, because an owner
/// and its successor may fail together.
const SUCCESSOR_COUNT: usize = 2;

/// The services for which the last message that was sent wasn't empty.
#[derive(Debug, Default)]
pub(super) struct LoadsSent {
    all: BTreeSet<ServiceName>,
    suspects: BTreeSet<ServiceName>,
}

impl PlacementThread {
    /// Sends the loads of the services that this host owns. A new owner gets those of the host that
    /// it follows, once.
    pub(super) fn send_loads(&mut self, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        for service in snapshot.settings.services.keys() {
            let owner = self.owner(service, now);
            let loads = self.placer.loads(service, now);
            if owner == self.shared.identity.host {
                self.send_all(service, loads, now);
                self.send_suspects(service, now);
            } else if self.loads_sent.all.remove(service) {
                self.loads_sent.suspects.remove(service);
                self.peers.send(&owner, loads_message(service, loads));
            }
        }
    }

    /// Sends the loads of all servers to the next owners and to the other regions' owners.
    fn send_all(&mut self, service: &ServiceName, loads: Vec<ServerLoad>, now: Instant) {
        if !is_due(&mut self.loads_sent.all, service, &loads) {
            return;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let mut recipients = self.successors(service);
        for region in snapshot.settings.regions.keys() {
            if region != &self.shared.identity.region {
                recipients.extend(self.owner_in(region, service, now));
            }
        }
        let message = loads_message(service, loads);
        for name in recipients {
            self.peers.send(&name, message.clone());
        }
    }

    /// Sends the servers that are suspected of failing to the other hosts of the region.
    fn send_suspects(&mut self, service: &ServiceName, now: Instant) {
        let suspects = self.placer.suspects(service, now);
        if !is_due(&mut self.loads_sent.suspects, service, &suspects) {
            return;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let identity = &self.shared.identity;
        let successors = self.successors(service);
        let message = loads_message(service, suspects);
        for host in snapshot.hosts.in_region(&identity.region) {
            if host.name != identity.host && !successors.contains(&host.name) {
                self.peers.send(&host.name, message.clone());
            }
        }
    }

    fn successors(&self, service: &ServiceName) -> Vec<HostName> {
        let region = &self.shared.identity.region;
        let task = SharedTask {
            name: service.as_str(),
            millicores: self.needed_millicores(region, service),
        };
        self.owners.successors(region, task, SUCCESSOR_COUNT)
    }
}

/// Whether `loads` are sent: an empty list only once, after one that wasn't.
fn is_due(sent: &mut BTreeSet<ServiceName>, service: &ServiceName, loads: &[ServerLoad]) -> bool {
    if loads.is_empty() {
        return sent.remove(service);
    }
    sent.insert(service.clone());
    true
}

fn loads_message(service: &ServiceName, loads: Vec<ServerLoad>) -> PeerMessage {
    PeerMessage::Ticket(TicketMessage::Loads {
        service: service.clone(),
        loads,
    })
}
