//! Slot requests of other hosts that this host places.

use kws_protocol::{HostName, SlotGrant};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// First key of other hosts' requests; the tickets of this host are smaller.
const FIRST_REMOTE_KEY: u64 = 1 << 63;

/// Key of a request that this host did not place.
pub(super) const UNKNOWN_KEY: u64 = u64::MAX;

/// Time without confirmation after which a request counts as ended: it ended, and the message about
/// its end may have been lost. Up to four confirmations in a row may be lost.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);

struct RemoteTicket {
    host: HostName,
    ticket: u64,
    granted: Option<SlotGrant>,
    last_confirmed: Instant,
}

/// Slot requests of other hosts, by key and by ticket.
#[derive(Default)]
pub(super) struct RemoteTickets {
    keys: HashMap<(HostName, u64), u64>,
    tickets: HashMap<u64, RemoteTicket>,
    next_offset: u64,
}

impl RemoteTickets {
    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the key of a host's ticket and whether the ticket was known; confirms a known ticket
    /// and adds a new one.
    pub(super) fn key_for(&mut self, host: &HostName, ticket: u64, now: Instant) -> (u64, bool) {
        if let Some(key) = self.confirm(host, ticket, now) {
            return (key, true);
        }
        let key = FIRST_REMOTE_KEY + self.next_offset;
        self.next_offset += 1;
        self.keys.insert((host.clone(), ticket), key);
        let remote = RemoteTicket {
            host: host.clone(),
            ticket,
            granted: None,
            last_confirmed: now,
        };
        self.tickets.insert(key, remote);
        (key, false)
    }

    /// Records that a host confirmed its request as still queued or running. Returns the key, or
    /// `None` if the ticket is unknown.
    pub(super) fn confirm(&mut self, host: &HostName, ticket: u64, now: Instant) -> Option<u64> {
        let key = *self.keys.get(&(host.clone(), ticket))?;
        if let Some(remote) = self.tickets.get_mut(&key) {
            remote.last_confirmed = now;
        }
        Some(key)
    }

    /// Records a grant. Returns the host and its ticket, or `None` if this host requested the slot.
    pub(super) fn record_grant(
        &mut self,
        key: u64,
        grant: &SlotGrant,
        now: Instant,
    ) -> Option<(HostName, u64)> {
        let remote = self.tickets.get_mut(&key)?;
        remote.granted = Some(grant.clone());
        remote.last_confirmed = now;
        Some((remote.host.clone(), remote.ticket))
    }

    /// The host that requested the slot, and its ticket there.
    pub(super) fn asker(&self, key: u64) -> Option<(&HostName, u64)> {
        let remote = self.tickets.get(&key)?;
        Some((&remote.host, remote.ticket))
    }

    /// The slot granted for a key.
    pub(super) fn granted(&self, key: u64) -> Option<SlotGrant> {
        self.tickets.get(&key)?.granted.clone()
    }

    /// Removes a key. Returns the host and its ticket.
    pub(super) fn remove_key(&mut self, key: u64) -> Option<(HostName, u64)> {
        let remote = self.tickets.remove(&key)?;
        self.keys.remove(&(remote.host.clone(), remote.ticket));
        Some((remote.host, remote.ticket))
    }

    /// Removes a host's ticket. Returns its key.
    pub(super) fn remove_ticket(&mut self, host: &HostName, ticket: u64) -> Option<u64> {
        let key = self.keys.remove(&(host.clone(), ticket))?;
        self.tickets.remove(&key);
        Some(key)
    }

    /// Removes the tickets of hosts that no longer pass `is_listed`. Returns their keys.
    pub(super) fn remove_unlisted(&mut self, is_listed: impl Fn(&HostName) -> bool) -> Vec<u64> {
        self.remove_if(|ticket| !is_listed(&ticket.host))
    }

    /// Removes the tickets that were not confirmed in time. Returns their keys.
    pub(super) fn remove_unconfirmed(&mut self, now: Instant) -> Vec<u64> {
        self.remove_if(|ticket| {
            now.saturating_duration_since(ticket.last_confirmed) >= CONFIRM_TIMEOUT
        })
    }

    fn remove_if(&mut self, condition: impl Fn(&RemoteTicket) -> bool) -> Vec<u64> {
        let tickets = self.tickets.iter();
        let keys: Vec<u64> = tickets
            .filter(|(_, ticket)| condition(ticket))
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.remove_key(*key);
        }
        keys
    }
}
