//! The token account of one team on this host.

use crate::{
    AdmitTicket, LimitsPolicy,
    lease::LeaseState,
    loan::{BorrowedLoan, DemandRate, FulfilledShare, LenderCooldown, LentLoans, PendingLoan},
    window::{Allotment, RevisionWindow, ShareCache},
};
use kws_protocol::{HostName, TeamName, TreeRevision};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Rounding error tolerated when a whole token is spent, in tokens; the level may fall below 0 by
/// as much.
const TOKEN_EPSILON: f64 = 1e-9;

/// How many loan requests to one lender of another region may be open at a time. A lender of
/// the own region replies so soon that one is enough.
const MAX_REMOTE_LOANS: usize = 4;

/// The least fraction that the own region must lately have lent for several requests to wait for
/// it.
const MIN_REGION_FULFILLED: f64 = 0.25;

/// A request that waits for a loan.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: AdmitTicket,
    pub(crate) arrived: Instant,
    /// When the request is refused.
    pub(crate) deadline: Instant,
}

/// A host that may be asked for a loan.
#[derive(Debug)]
pub(crate) struct LoanSource {
    pub(crate) lender: HostName,
    /// Whether the lender is in the own region.
    pub(crate) in_region: bool,
    /// The lender's share of the burst, in tokens.
    pub(crate) burst: f64,
    /// The cooldown after the lender lent less than requested.
    pub(crate) cooldown: Duration,
}

/// The hosts that may be asked for a loan.
#[derive(Debug)]
pub(crate) struct LenderList {
    /// The revision from which the list was computed.
    pub(crate) revision: TreeRevision,
    pub(crate) sources: Arc<[LoanSource]>,
}

impl LenderList {
    fn new() -> Self {
        Self {
            revision: TreeRevision::default(),
            sources: Arc::new([]),
        }
    }
}

/// Everything outside the account that its tokens depend on.
#[derive(Clone, Copy)]
pub(crate) struct AccountContext<'a> {
    pub(crate) team: &'a TeamName,
    /// The revisions that some host may still use.
    pub(crate) window: &'a RevisionWindow,
    pub(crate) lease: &'a LeaseState,
}

/// One team's token bucket, loans and waiting requests.
#[derive(Debug)]
pub(crate) struct TeamAccount {
    level: f64,
    updated: Instant,
    epoch: u64,
    generation: u64,
    allotment: Allotment,
    shares: ShareCache,
    /// Granted loans.
    pub(crate) lent: LentLoans,
    /// Received loans, in the order of their ends.
    pub(crate) borrowed: Vec<BorrowedLoan>,
    /// Loan requests without a reply.
    pub(crate) pending: Vec<PendingLoan>,
    /// Lenders in cooldown.
    pub(crate) cooldowns: Vec<LenderCooldown>,
    /// Requests that wait for a loan.
    pub(crate) waiting: VecDeque<WaitingRequest>,
    /// The measured demand.
    pub(crate) demand: DemandRate,
    /// Hosts of the own region that may be asked for a loan.
    pub(crate) region_lenders: LenderList,
    /// Hosts of other regions that may be asked for a loan.
    pub(crate) remote_lenders: LenderList,
    /// How much of the requested tokens the own region lends.
    region_fulfilled: FulfilledShare,
    /// How much of the requested tokens other regions lend.
    remote_fulfilled: FulfilledShare,
    /// The lender asked last, as a counter for round robin.
    pub(crate) lender_cursor: usize,
}

impl TeamAccount {
    /// An account that has been empty since the current lease epoch began; [`Self::advance`] fills
    /// it.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            updated: now,
            epoch: 0,
            generation: 0,
            allotment: Allotment::default(),
            shares: ShareCache::new(),
            lent: LentLoans::default(),
            borrowed: Vec::new(),
            pending: Vec::new(),
            cooldowns: Vec::new(),
            waiting: VecDeque::new(),
            demand: DemandRate::new(now),
            region_lenders: LenderList::new(),
            remote_lenders: LenderList::new(),
            region_fulfilled: FulfilledShare::new(),
            remote_fulfilled: FulfilledShare::new(),
            lender_cursor: 0,
        }
    }

    /// Fills the bucket up to `now` and drops expired loans. The host must be current.
    pub(crate) fn advance(&mut self, context: AccountContext<'_>, now: Instant) {
        self.reset_if_invalid(context);
        if self.generation == context.window.generation() {
            self.fill(now, context.window.min_clock_rate());
        } else {
            self.fill_stepwise(context, now);
        }
        self.lent.expire(now);
        self.borrowed.retain(|loan| loan.until > now);
    }

    /// Empties the bucket if the lease was interrupted since the last update, or if the window's
    /// history no longer reaches back to it.
    fn reset_if_invalid(&mut self, context: AccountContext<'_>) {
        let since = context.lease.since().unwrap_or(self.updated);
        let start = since.max(context.window.history_start());
        if self.epoch == context.lease.epoch() && self.updated >= start {
            return;
        }
        self.level = 0.0;
        self.updated = start;
        self.epoch = context.lease.epoch();
        // The window never reaches this generation, so the allotment is recomputed.
        self.generation = u64::MAX;
    }

    /// Fills the bucket step by step through the window's changes since the last update.
    fn fill_stepwise(&mut self, context: AccountContext<'_>, now: Instant) {
        let window = context.window;
        let floor = window.min_clock_rate();
        loop {
            self.allotment = window.allotment(self.updated, context.team, &mut self.shares);
            self.cap_level();
            let change = window
                .next_change(self.updated)
                .filter(|change| *change <= now);
            let Some(change) = change else { break };
            self.fill(change, floor);
        }
        self.fill(now, floor);
        self.generation = window.generation();
    }

    fn fill(&mut self, now: Instant, min_clock_rate: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level += self.allotment.rate * min_clock_rate * elapsed;
        self.updated = self.updated.max(now);
        self.cap_level();
    }

    /// Limits the level to the capacity. Lent tokens lower the capacity, because their borrowers
    /// may spend them at any time.
    fn cap_level(&mut self) {
        let capacity = (self.allotment.burst - self.lent.total()).max(0.0);
        self.level = self.level.min(capacity);
    }

    /// The host's own tokens, without borrowed ones.
    pub(crate) fn level(&self) -> f64 {
        self.level.max(0.0)
    }

    /// The rate and burst that the host may use without loans.
    pub(crate) fn allotment(&self) -> Allotment {
        self.allotment
    }

    /// Own and borrowed tokens.
    pub(crate) fn available(&self) -> f64 {
        self.level + self.borrowed.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Spends one token, borrowed ones first because they expire.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        if self.available() < 1.0 - TOKEN_EPSILON {
            return false;
        }
        let mut missing = 1.0;
        for loan in &mut self.borrowed {
            let part = loan.tokens.min(missing);
            loan.tokens -= part;
            loan.last_used = now;
            missing -= part;
            if missing <= 0.0 {
                return true;
            }
        }
        self.level -= missing;
        true
    }

    /// Takes up to `wanted` own tokens for a loan.
    pub(crate) fn lend(&mut self, wanted: f64) -> f64 {
        let tokens = wanted.min(self.level());
        self.level -= tokens;
        tokens
    }

    /// Adds the unspent tokens of a loan that has just been closed.
    pub(crate) fn refund(&mut self, tokens: f64) {
        self.level += tokens;
        self.cap_level();
    }

    /// Requested tokens whose replies are still expected.
    pub(crate) fn expected_tokens(&self, now: Instant) -> f64 {
        let pending = self.pending.iter().filter(|loan| loan.expected_until > now);
        pending.map(|loan| loan.tokens).sum()
    }

    /// Until when the last reply is expected; `None` if no reply is.
    pub(crate) fn last_expected_until(&self, now: Instant) -> Option<Instant> {
        let expected_until = self.pending.iter().map(|loan| loan.expected_until);
        expected_until.max().filter(|until| *until > now)
    }

    /// Whether the lender must not be asked now: it is in cooldown, or has enough open
    /// requests.
    pub(crate) fn is_unavailable(&self, source: &LoanSource, now: Instant) -> bool {
        let lender = &source.lender;
        let open_loans = self
            .pending
            .iter()
            .filter(|loan| &loan.lender == lender && loan.expected_until > now)
            .count();
        let max_loans = if source.in_region {
            1
        } else {
            MAX_REMOTE_LOANS
        };
        open_loans >= max_loans
            || self
                .cooldowns
                .iter()
                .any(|cooldown| &cooldown.lender == lender && cooldown.until > now)
    }

    /// Whether a reply from the own region is expected.
    pub(crate) fn expects_region_reply(&self, now: Instant) -> bool {
        self.pending
            .iter()
            .any(|loan| loan.in_region && loan.expected_until > now)
    }

    /// Whether all waiting requests and `more` further ones may still get tokens. A single request
    /// may always wait for an expected reply of the own region, because other regions can still be
    /// asked in time after it, or for enough requested tokens. For several requests, expected loans
    /// count by the fraction that was lately lent, and a reply of the own region is enough if
    /// that lent at least [`MIN_REGION_FULFILLED`] lately.
    pub(crate) fn covers(&self, more: usize, now: Instant) -> bool {
        let wanted = (self.waiting.len() + more) as f64;
        let region_expected = self.expects_region_reply(now);
        if wanted <= 1.0 {
            return region_expected
                || self.available() + self.expected_tokens(now) >= wanted - TOKEN_EPSILON;
        }
        let pending = self.pending.iter().filter(|loan| loan.expected_until > now);
        let likely = |loan: &PendingLoan| {
            let share = if loan.in_region {
                &self.region_fulfilled
            } else {
                &self.remote_fulfilled
            };
            loan.tokens * share.value()
        };
        self.available() + pending.map(likely).sum::<f64>() >= wanted - TOKEN_EPSILON
            || region_expected && self.region_fulfilled.value() >= MIN_REGION_FULFILLED
    }

    /// The fraction of requested tokens that the own region, or other regions, lately lent.
    pub(crate) fn fulfilled(&mut self, in_region: bool) -> &mut FulfilledShare {
        if in_region {
            &mut self.region_fulfilled
        } else {
            &mut self.remote_fulfilled
        }
    }

    /// Whether no lender of the own region may be asked now.
    pub(crate) fn is_region_unavailable(&self, now: Instant) -> bool {
        let mut lenders = self.region_lenders.sources.iter();
        lenders.all(|source| self.is_unavailable(source, now))
    }

    /// Starts a cooldown of `length` for a lender. If the previous cooldown ended less than its own
    /// length ago, the new one is twice as long, up to `max_length`.
    pub(crate) fn start_cooldown(
        &mut self,
        lender: &HostName,
        length: Duration,
        max_length: Duration,
        now: Instant,
    ) {
        let marked = self
            .cooldowns
            .iter()
            .find(|cooldown| &cooldown.lender == lender);
        if marked.is_some_and(|cooldown| now < cooldown.until) {
            // Further replies to requests sent before the cooldown do not extend it.
            return;
        }
        let again = marked.filter(|cooldown| now < cooldown.until + cooldown.length);
        let length = again.map_or(length, |cooldown| {
            (cooldown.length * 2).min(max_length).max(length)
        });
        self.cooldowns.retain(|cooldown| {
            now < cooldown.until + cooldown.length && &cooldown.lender != lender
        });
        self.cooldowns.push(LenderCooldown {
            lender: lender.clone(),
            until: now + length,
            length,
        });
    }

    /// Whether loans or waiting requests need to be checked on each tick.
    pub(crate) fn is_busy(&self) -> bool {
        !(self.waiting.is_empty() && self.pending.is_empty() && self.borrowed.is_empty())
    }

    /// Whether the account can be dropped: its bucket is full and no loan is outstanding, so a new
    /// account would not hold more tokens.
    pub(crate) fn is_droppable(&self, policy: &LimitsPolicy, now: Instant) -> bool {
        let idle = self.demand.value(now) * policy.remote_ahead.as_secs_f64() < TOKEN_EPSILON;
        idle && !self.is_busy() && self.lent.is_empty() && self.level >= self.allotment.burst
    }
}
