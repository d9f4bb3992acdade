//! Which members a peer is sent when its set of members differs.
//!
//! While members change, sets differ at nearly every heartbeat: a reader that answered each of a
//! large region's hosts with all members would send megabytes a second. Hosts that know few members
//! get all; the others get what was added lately, and one of them at a time gets all, so that sets
//! agree in the end whatever was lost.

use kws_protocol::HostName;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// How far back a list reaches for a peer that got none lately. Longer than members take to become
/// known to all.
const RECENT_PERIOD: Duration = Duration::from_secs(4);

/// The interval between lists of all members to peers that know most of them.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(4);

/// The interval between lists of all members to the same peer.
const REPEATED_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// What a peer is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListScope {
    /// All members.
    All,
    /// The members that were added since.
    Since(Instant),
}

#[derive(Clone, Copy, Debug)]
struct SentList {
    at: Instant,
    all_at: Option<Instant>,
}

/// The lists sent to each peer.
#[derive(Debug)]
pub(super) struct ListSchedule {
    sent: HashMap<HostName, SentList>,
    next_full: Instant,
}

impl ListSchedule {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            sent: HashMap::new(),
            next_full: now,
        }
    }

    /// Chooses what `peer`, which knows `peer_count` members, is sent by a host that knows
    /// `own_count`, and records it as sent. Versions that don't tell their count pass 0.
    pub(super) fn choose(
        &mut self,
        peer: &HostName,
        peer_count: usize,
        own_count: usize,
        now: Instant,
    ) -> ListScope {
        self.sent.retain(|_, sent| now < sent.at + RECENT_PERIOD);
        let sent = self.sent.get(peer).copied();
        let all_at = sent.and_then(|sent| sent.all_at);
        let knows_few = peer_count * 2 < own_count;
        let is_due = if knows_few {
            all_at.is_none_or(|at| now >= at + REPEATED_LIST_INTERVAL)
        } else {
            now >= self.next_full
        };
        if is_due && !knows_few {
            self.next_full = now + FULL_LIST_INTERVAL;
        }
        let record = SentList {
            at: now,
            all_at: if is_due { Some(now) } else { all_at },
        };
        self.sent.insert(peer.clone(), record);
        if is_due {
            return ListScope::All;
        }
        let recent = now.checked_sub(RECENT_PERIOD);
        let since = sent.map(|sent| sent.at).or(recent);
        since.map_or(ListScope::All, ListScope::Since)
    }
}
