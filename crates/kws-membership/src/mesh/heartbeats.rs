//! Which hosts get a heartbeat, and when.

use super::{
    MeshView,
    readers::{READERS_PER_REGION, STANDBY_RANKS},
    seed_name,
};
use crate::FleetAction;
use kws_protocol::{HostName, MeshMember, MeshMessage};
use rand::RngExt;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// The interval between heartbeats of a host that knows peers: three heartbeats fit into a lease of
/// 3 s.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The heartbeat interval during discovery.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// The heartbeat interval of a host that has just started and knows no peer: its seeds may start
/// slightly later.
const FIRST_DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its start a host uses the short heartbeat intervals.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Every n-th heartbeat also goes to a seed, so that a partitioned fleet merges again.
const SEED_ROUNDS: u64 = 10;

/// Heartbeats that all hosts together send to seeds without a live member, in each round. A seed that
/// starts anew is found by one of them, and the hosts of a large fleet don't all dial one that is down.
const MISSING_SEED_CONTACTS: f64 = 4.0;

impl MeshView {
    /// The targets of this round of heartbeats: a reader, which has the most recent data, and a
    /// random host of the region. The hosts that would read next contact all readers; readers also
    /// contact a random host of another region.
    pub(super) fn heartbeat_targets(&mut self, now: Instant) -> Vec<HostName> {
        let own = self.table.own().clone();
        let live: Vec<MeshMember> = self.table.live(now).cloned().collect();
        let (local, remote): (Vec<&MeshMember>, Vec<&MeshMember>) =
            live.iter().partition(|member| member.region == own.region);
        let order: Vec<HostName> = self.reader_order(now).collect();
        let readers = &order[..order.len().min(READERS_PER_REGION)];
        let is_standby = order
            .iter()
            .take(STANDBY_RANKS)
            .any(|name| *name == own.name);
        let asked = if is_standby { READERS_PER_REGION } else { 1 };
        let others = readers.iter().filter(|name| **name != own.name);
        let mut targets: Vec<HostName> = others.take(asked).cloned().collect();
        targets.extend(self.pick_random(&local));
        if readers.contains(&own.name) {
            targets.extend(self.pick_random(&remote));
        }
        let contacts_seed =
            live.len() < READERS_PER_REGION || self.round.is_multiple_of(SEED_ROUNDS);
        if contacts_seed && !self.seeds.is_empty() {
            let index = self.rng.random_range(0..self.seeds.len());
            let known = |address| live.iter().find(|member| member.address == address);
            let seed = self.seeds[index];
            targets.push(known(seed).map_or(seed_name(seed), |member| member.name.clone()));
        }
        targets.extend(self.pick_missing_seed(&live, now));
        targets.sort();
        targets.dedup();
        targets
    }

    /// A seed at whose address no member answers, for this host's part of the contacts with such seeds. A
    /// daemon that started anew there has another name, and may know others that started with it only.
    fn pick_missing_seed(&mut self, live: &[MeshMember], now: Instant) -> Option<HostName> {
        let answers = |seed: &SocketAddr| {
            let mut members = live.iter().filter(|member| member.address == *seed);
            members.any(|member| !self.table.is_silent(&member.name, now))
        };
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !answers(seed))
            .collect();
        let share = MISSING_SEED_CONTACTS / (live.len() + 1) as f64;
        if missing.is_empty() || self.rng.random::<f64>() >= share {
            return None;
        }
        let index = self.rng.random_range(0..missing.len());
        Some(seed_name(missing[index]))
    }

    pub(super) fn pick_random(&mut self, members: &[&MeshMember]) -> Option<HostName> {
        if members.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..members.len());
        Some(members[index].name.clone())
    }

    pub(super) fn send_due_heartbeat(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.next_heartbeat {
            return;
        }
        let is_starting = now < self.started_at + DISCOVERY_TIME;
        let period = match self.table.is_alone() {
            true if is_starting => FIRST_DISCOVERY_INTERVAL,
            alone if alone || is_starting => DISCOVERY_INTERVAL,
            _ => HEARTBEAT_INTERVAL,
        };
        self.next_heartbeat = now + period;
        self.last_heartbeat = now;
        self.round += 1;
        let targets = self.heartbeat_targets(now);
        self.send_heartbeat(&targets, now, actions);
    }

    /// Asks further hosts when readers are silent, without waiting for the next round.
    pub(super) fn ask_next_readers(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let targets = self.next_readers(now);
        self.send_heartbeat(&targets, now, actions);
    }

    /// Sends one heartbeat, with a common nonce, to all `targets`.
    pub(super) fn send_heartbeat(
        &mut self,
        targets: &[HostName],
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        if targets.is_empty() {
            return;
        }
        for target in targets {
            self.table.mark_asked(target, now);
        }
        let nonce = self.queries.open(now, self.lease());
        let message = MeshMessage::Heartbeat {
            nonce,
            view: self.view(now),
            members_digest: self.table.digest(),
            member_count: self.table.count() as u32,
        };
        let sent = targets.iter().map(|to| Self::send(to, message.clone()));
        actions.extend(sent);
    }

    pub(super) fn notify_region(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let region = self.table.own().region.clone();
        let local = self
            .table
            .live(now)
            .filter(|member| member.region == region);
        let names: Vec<HostName> = local.map(|member| member.name.clone()).collect();
        self.send_heartbeat(&names, now, actions);
    }
}
