//! Outstanding queries to peers, by nonce.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// The increment of nonces, 2^64 divided by the golden ratio: it keeps the nonces of hosts with
/// adjacent seeds apart.
const NONCE_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Copy, Debug)]
struct QueryRound {
    nonce: u64,
    sent: Instant,
}

/// The rounds of queries whose replies can still renew the lease.
#[derive(Clone, Debug)]
pub(crate) struct QueryRounds {
    rounds: VecDeque<QueryRound>,
    next_nonce: u64,
}

impl QueryRounds {
    /// Starts without rounds; the nonces depend on `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rounds: VecDeque::new(),
            next_nonce: seed.wrapping_mul(NONCE_STEP),
        }
    }

    /// Opens a round at `now`, before its queries are sent, and returns their nonce. Drops rounds
    /// older than `lease`.
    pub(crate) fn open(&mut self, now: Instant, lease: Duration) -> u64 {
        self.rounds
            .retain(|round| now.saturating_duration_since(round.sent) < lease);
        self.next_nonce = self.next_nonce.wrapping_add(NONCE_STEP);
        self.rounds.push_back(QueryRound {
            nonce: self.next_nonce,
            sent: now,
        });
        self.next_nonce
    }

    /// Discards all rounds, so that replies to them no longer count.
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
    }

    /// When the latest round was opened; none if no round is open.
    pub(crate) fn last_sent(&self) -> Option<Instant> {
        self.rounds.back().map(|round| round.sent)
    }

    /// When the queries with `nonce` were sent; none if they are no longer open.
    pub(crate) fn sent(&self, nonce: u64) -> Option<Instant> {
        self.rounds
            .iter()
            .find(|round| round.nonce == nonce)
            .map(|round| round.sent)
    }
}
