//! Remembers which requests were sent to which backend server, so that none is sent twice on one
//! connection.

use std::{
    collections::{HashSet, hash_map::RandomState},
    hash::BuildHasher,
    mem,
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// The requests sent to backend servers, each remembered for at least a period.
///
/// Only hashes are kept: two requests with the same hash count as one.
#[derive(Debug)]
pub(crate) struct SentRequests {
    period: Duration,
    latest: HashSet<u64>,
    previous: HashSet<u64>,
    /// When `latest` began.
    since: Instant,
    hasher: RandomState,
}

impl SentRequests {
    /// Creates an empty record.
    pub(crate) fn new(period: Duration, now: Instant) -> Self {
        Self {
            period,
            latest: HashSet::new(),
            previous: HashSet::new(),
            since: now,
            hasher: RandomState::new(),
        }
    }

    /// Records that a request is sent to `server`. Returns whether a request with this id was sent
    /// there before.
    pub(crate) fn record(&mut self, server: SocketAddr, request_id: &str, now: Instant) -> bool {
        self.forget_old(now);
        let hash = self.hasher.hash_one((server, request_id));
        !self.latest.insert(hash) || self.previous.contains(&hash)
    }

    fn forget_old(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < self.period {
            return;
        }
        self.previous = mem::take(&mut self.latest);
        if age >= 2 * self.period {
            self.previous.clear();
        }
        self.since = now;
    }
}
