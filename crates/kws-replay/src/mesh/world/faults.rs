//! Starts, ends and faults of hosts.

use super::{SEEDS, Scheduled, World};
use crate::mesh::{
    host::{HostFaults, OrderHost, host_region},
    plan::HostFault,
};
use kws_membership::FleetProtocol;
use kws_protocol::HostName;
use rand::RngExt;
use std::{collections::BTreeSet, time::Duration};

impl World {
    pub(super) fn start_host(&mut self, number: usize) {
        self.starts += 1;
        let seed = self.rng.random();
        let host = OrderHost::start(number, self.starts, seed, self.now);
        self.note(&format!("host {number} starts as {}", host.name));
        self.hosts.insert(number, host);
    }

    pub(super) fn impair(&mut self, fault: HostFault, time: Duration) {
        if matches!(fault, HostFault::ReadersKilled) {
            let reading = |host: &&OrderHost| host.view.reads_platform(self.now);
            let readers = self.hosts.values().filter(reading).map(|host| host.number);
            let readers: Vec<usize> = readers.collect();
            let region = self.rng.random_range(0..2);
            for number in readers {
                if host_region(number) == host_region(region) {
                    self.end_host(number, HostFault::Killed, time);
                }
            }
            return;
        }
        let numbers: Vec<usize> = self.hosts.keys().copied().collect();
        let Some(number) = numbers
            .get(self.rng.random_range(0..numbers.len()))
            .copied()
        else {
            return;
        };
        if matches!(fault, HostFault::Killed | HostFault::Stopped) {
            self.end_host(number, fault, time);
            return;
        }
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        if host.is_impaired() {
            return;
        }
        match fault {
            HostFault::StoreCut => host.cut_store(),
            HostFault::PeersCut => host.faults.peers_cut = true,
            HostFault::BothCut => {
                host.cut_store();
                host.faults.peers_cut = true;
            }
            _ => host.faults.suspended = true,
        }
        host.impaired = self.now;
        let name = host.name.clone();
        self.note(&format!("host {number}: {fault:?}"));
        self.schedule(time, Scheduled::Heal { name, fault });
    }

    /// Ends a host, unless it is the last one or the last seed.
    fn end_host(&mut self, number: usize, fault: HostFault, time: Duration) {
        let others: BTreeSet<usize> = self
            .hosts
            .keys()
            .copied()
            .filter(|other| *other != number)
            .collect();
        if others.first().is_none_or(|first| *first >= SEEDS) {
            return;
        }
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        if matches!(fault, HostFault::Stopped) && !host.faults.suspended {
            let actions = host.view.leave(self.now);
            self.carry_out(number, actions);
        }
        self.hosts.remove(&number);
        self.note(&format!("host {number}: {fault:?}"));
        self.schedule(time, Scheduled::StartHost(number));
    }

    pub(super) fn heal(&mut self, name: &HostName, fault: HostFault) {
        let Some(host) = self.hosts.values_mut().find(|host| host.name == *name) else {
            return;
        };
        if matches!(
            fault,
            HostFault::Suspended {
                keeps_messages: false
            }
        ) {
            host.inbox.clear();
        }
        host.faults = HostFaults::default();
        host.impaired = self.now;
        let number = host.number;
        self.note(&format!("host {number} is without fault again"));
    }
}
