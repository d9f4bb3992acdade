//! Slot requests of other hosts that this host places.

use kws_protocol::{HostName, ServerName};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// First key of other hosts' requests; the tickets of this host are smaller.
const FIRST_KEY: u64 = 1 << 63;

/// Key of a request that this host did not place.
pub(super) const UNKNOWN_KEY: u64 = u64::MAX;

/// Time without confirmation after which a request counts as ended, since the report of its end may
/// have been lost. Up to four confirmations in a row may be lost before.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

struct ForeignTicket {
    host: HostName,
    ticket: u64,
    granted: Option<(ServerName, SocketAddr)>,
    heard: Instant,
}

/// Slot requests of other hosts, by key and by ticket.
#[derive(Default)]
pub(super) struct ForeignTickets {
    keys: HashMap<(HostName, u64), u64>,
    tickets: HashMap<u64, ForeignTicket>,
    next: u64,
}

impl ForeignTickets {
    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the key of a host's ticket and whether the ticket was known; confirms a known ticket
    /// and adds a new one.
    pub(super) fn key(&mut self, host: &HostName, ticket: u64, now: Instant) -> (u64, bool) {
        if let Some(key) = self.confirm(host, ticket, now) {
            return (key, true);
        }
        let key = FIRST_KEY + self.next;
        self.next += 1;
        self.keys.insert((host.clone(), ticket), key);
        let foreign = ForeignTicket {
            host: host.clone(),
            ticket,
            granted: None,
            heard: now,
        };
        self.tickets.insert(key, foreign);
        (key, false)
    }

    /// Records that a host confirmed its request as still queued or running. Returns the key, or
    /// `None` if the ticket is unknown.
    pub(super) fn confirm(&mut self, host: &HostName, ticket: u64, now: Instant) -> Option<u64> {
        let key = *self.keys.get(&(host.clone(), ticket))?;
        if let Some(foreign) = self.tickets.get_mut(&key) {
            foreign.heard = now;
        }
        Some(key)
    }

    /// Records a grant. Returns the host and its ticket, or `None` if this host requested the slot.
    pub(super) fn grant(
        &mut self,
        key: u64,
        server: &ServerName,
        address: SocketAddr,
        now: Instant,
    ) -> Option<(HostName, u64)> {
        let foreign = self.tickets.get_mut(&key)?;
        foreign.granted = Some((server.clone(), address));
        foreign.heard = now;
        Some((foreign.host.clone(), foreign.ticket))
    }

    /// The host that requested the slot, and its ticket there.
    pub(super) fn owner(&self, key: u64) -> Option<(&HostName, u64)> {
        let foreign = self.tickets.get(&key)?;
        Some((&foreign.host, foreign.ticket))
    }

    /// The server granted for a key, and its address.
    pub(super) fn granted(&self, key: u64) -> Option<(ServerName, SocketAddr)> {
        self.tickets.get(&key)?.granted.clone()
    }

    /// Removes a key. Returns the host and its ticket.
    pub(super) fn take(&mut self, key: u64) -> Option<(HostName, u64)> {
        let foreign = self.tickets.remove(&key)?;
        self.keys.remove(&(foreign.host.clone(), foreign.ticket));
        Some((foreign.host, foreign.ticket))
    }

    /// Removes a host's ticket. Returns its key.
    pub(super) fn remove(&mut self, host: &HostName, ticket: u64) -> Option<u64> {
        let key = self.keys.remove(&(host.clone(), ticket))?;
        self.tickets.remove(&key);
        Some(key)
    }

    /// Removes the tickets of hosts that are no longer `known`. Returns their keys.
    pub(super) fn drop_hosts(&mut self, known: impl Fn(&HostName) -> bool) -> Vec<u64> {
        self.drop_if(|one| !known(&one.host))
    }

    /// Removes the tickets that were not confirmed in time. Returns their keys.
    pub(super) fn take_silent(&mut self, now: Instant) -> Vec<u64> {
        self.drop_if(|one| now.saturating_duration_since(one.heard) >= SILENCE_LIMIT)
    }

    fn drop_if(&mut self, gone: impl Fn(&ForeignTicket) -> bool) -> Vec<u64> {
        let tickets = self.tickets.iter();
        let keys: Vec<u64> = tickets
            .filter(|(_, one)| gone(one))
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.take(*key);
        }
        keys
    }
}
