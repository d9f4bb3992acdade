//! One team's tokens on this host.

use crate::{
    AdmitTicket, LimitsPolicy,
    lease::LeaseState,
    loan::{BorrowedLoan, DemandRate, DryLender, FulfilledShare, LentLoans, PendingLoan},
    window::{Allotment, RevisionWindow, ShareCache},
};
use kws_protocol::{HostName, TeamName, TreeRevision};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Rounding that may be missing from a whole token; the level then goes below 0 by as much.
const ROUNDING: f64 = 1e-9;

/// Requests for loans to one lender of another region that may be under way at once; one of the
/// own region answers so soon that the next can wait.
const MAX_FAR_LOANS: usize = 4;

/// Several requests wait for the own region only when so much of what is asked for is lent.
const MIN_FULFILLED: f64 = 0.25;

/// A request that waits.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    /// Its ticket.
    pub(crate) ticket: AdmitTicket,
    /// When it came.
    pub(crate) arrived: Instant,
    /// When it is refused.
    pub(crate) deadline: Instant,
}

/// A host that may be asked for a loan.
#[derive(Debug)]
pub(crate) struct LoanSource {
    /// The host.
    pub(crate) lender: HostName,
    /// Whether it is in the own region.
    pub(crate) near: bool,
    /// The most that it can hold, in tokens.
    pub(crate) burst: f64,
    /// How long it is spared after it was short.
    pub(crate) dry_pause: Duration,
}

/// Who may be asked for a loan.
#[derive(Debug)]
pub(crate) struct LenderList {
    /// The revision that named them.
    pub(crate) revision: TreeRevision,
    /// The hosts.
    pub(crate) sources: Arc<[LoanSource]>,
}

impl LenderList {
    fn new() -> Self {
        Self {
            revision: TreeRevision(0),
            sources: Arc::new([]),
        }
    }
}

/// What the account's tokens depend on.
#[derive(Clone, Copy)]
pub(crate) struct AccountContext<'a> {
    /// The team.
    pub(crate) team: &'a TeamName,
    /// The revisions in use.
    pub(crate) window: &'a RevisionWindow,
    /// The host's lease.
    pub(crate) lease: &'a LeaseState,
}

/// One team's bucket, loans and waiting requests.
#[derive(Debug)]
pub(crate) struct TeamAccount {
    level: f64,
    updated: Instant,
    epoch: u64,
    generation: u64,
    allotment: Allotment,
    shares: ShareCache,
    /// Loans given.
    pub(crate) lent: LentLoans,
    /// Loans received, in the order of their ends.
    pub(crate) borrowed: Vec<BorrowedLoan>,
    /// Loans asked for.
    pub(crate) pending: Vec<PendingLoan>,
    /// Lenders not to ask now.
    pub(crate) dry: Vec<DryLender>,
    /// Requests that wait.
    pub(crate) waiting: VecDeque<WaitingRequest>,
    /// The demand seen.
    pub(crate) demand: DemandRate,
    /// Who may lend in the own region.
    pub(crate) near: LenderList,
    /// Who may lend in other regions.
    pub(crate) far: LenderList,
    /// How much of what the own region is asked for it lends.
    fulfilled_near: FulfilledShare,
    /// How much of what other regions are asked for they lend.
    fulfilled_far: FulfilledShare,
    /// Whose turn it is to be asked.
    pub(crate) turn: usize,
}

impl TeamAccount {
    /// An account that has been empty since the host's epoch began; [`Self::advance`] fills it.
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
            dry: Vec::new(),
            waiting: VecDeque::new(),
            demand: DemandRate::new(now),
            near: LenderList::new(),
            far: LenderList::new(),
            fulfilled_near: FulfilledShare::new(),
            fulfilled_far: FulfilledShare::new(),
            turn: 0,
        }
    }

    /// Fills the bucket up to `now` and forgets loans that have run out. The host is current.
    pub(crate) fn advance(&mut self, context: AccountContext<'_>, now: Instant) {
        self.restart(context);
        if self.generation == context.window.generation() {
            self.fill(now, context.window.clock_floor());
        } else {
            self.replay(context, now);
        }
        self.lent.expire(now);
        self.borrowed.retain(|loan| loan.until > now);
    }

    /// Empties a bucket that an interruption of the lease or of the window's history makes void.
    fn restart(&mut self, context: AccountContext<'_>) {
        let since = context.lease.since().unwrap_or(self.updated);
        let start = since.max(context.window.history_start());
        if self.epoch == context.lease.epoch() && self.updated >= start {
            return;
        }
        self.level = 0.0;
        self.updated = start;
        self.epoch = context.lease.epoch();
        // No generation is the highest number, so the allotment is computed anew.
        self.generation = u64::MAX;
    }

    /// Fills the bucket through the changes of the window since the last update.
    fn replay(&mut self, context: AccountContext<'_>, now: Instant) {
        let window = context.window;
        let floor = window.clock_floor();
        loop {
            self.allotment = window.allotment(self.updated, context.team, &mut self.shares);
            self.clip();
            let change = window
                .next_change(self.updated)
                .filter(|change| *change <= now);
            let Some(change) = change else { break };
            self.fill(change, floor);
        }
        self.fill(now, floor);
        self.generation = window.generation();
    }

    fn fill(&mut self, now: Instant, clock_floor: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level += self.allotment.rate * clock_floor * elapsed;
        self.updated = self.updated.max(now);
        self.clip();
    }

    /// Lent tokens lower the capacity, since their borrower may spend them at any time.
    fn clip(&mut self) {
        let capacity = (self.allotment.burst - self.lent.total()).max(0.0);
        self.level = self.level.min(capacity);
    }

    /// The own tokens.
    pub(crate) fn level(&self) -> f64 {
        self.level.max(0.0)
    }

    /// What the host may use by itself.
    pub(crate) fn allotment(&self) -> Allotment {
        self.allotment
    }

    /// Own and borrowed tokens.
    pub(crate) fn in_hand(&self) -> f64 {
        self.level + self.borrowed.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Takes one token, of loans first since they run out.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        if self.in_hand() < 1.0 - ROUNDING {
            return false;
        }
        let mut missing = 1.0;
        for loan in &mut self.borrowed {
            let part = loan.tokens.min(missing);
            loan.tokens -= part;
            loan.used = now;
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

    /// Takes back unspent tokens of a loan that has just been closed.
    pub(crate) fn take_back(&mut self, tokens: f64) {
        self.level += tokens;
        self.clip();
    }

    /// Tokens asked for that may still be counted on.
    pub(crate) fn expected(&self, now: Instant) -> f64 {
        let pending = self.pending.iter().filter(|loan| loan.expected > now);
        pending.map(|loan| loan.tokens).sum()
    }

    /// Until when answers may still be counted on; nothing when none is.
    pub(crate) fn last_expected(&self, now: Instant) -> Option<Instant> {
        let expected = self.pending.iter().map(|loan| loan.expected);
        expected.max().filter(|expected| *expected > now)
    }

    /// Whether the lender is asked already or was short or silent lately.
    pub(crate) fn is_spared(&self, source: &LoanSource, now: Instant) -> bool {
        let lender = &source.lender;
        let asked = self
            .pending
            .iter()
            .filter(|loan| &loan.lender == lender && loan.expected > now)
            .count();
        let most = if source.near { 1 } else { MAX_FAR_LOANS };
        asked >= most
            || self
                .dry
                .iter()
                .any(|dry| &dry.lender == lender && dry.until > now)
    }

    /// Whether an answer from the own region may still be counted on.
    pub(crate) fn expects_near(&self, now: Instant) -> bool {
        self.pending
            .iter()
            .any(|loan| loan.near && loan.expected > now)
    }

    /// Whether all that wait and `more` requests may still get tokens. An answer from the own region
    /// is waited for in any case, since others can be asked in time after it; of other answers as
    /// much is counted on as lately came. One request may always wait for an answer.
    pub(crate) fn covers(&self, more: usize, now: Instant) -> bool {
        let wanted = (self.waiting.len() + more) as f64;
        let near = self.expects_near(now);
        if wanted <= 1.0 {
            return near || self.in_hand() + self.expected(now) >= wanted - ROUNDING;
        }
        let pending = self.pending.iter().filter(|loan| loan.expected > now);
        let likely = |loan: &PendingLoan| {
            let share = if loan.near {
                &self.fulfilled_near
            } else {
                &self.fulfilled_far
            };
            loan.tokens * share.value()
        };
        self.in_hand() + pending.map(likely).sum::<f64>() >= wanted - ROUNDING
            || near && self.fulfilled_near.value() >= MIN_FULFILLED
    }

    /// How much of what lenders near or far are asked for is lent, lately.
    pub(crate) fn fulfilled(&mut self, near: bool) -> &mut FulfilledShare {
        if near {
            &mut self.fulfilled_near
        } else {
            &mut self.fulfilled_far
        }
    }

    /// Whether every lender of the own region was short or silent lately.
    pub(crate) fn is_near_dry(&self, now: Instant) -> bool {
        let mut near = self.near.sources.iter();
        near.all(|source| self.is_spared(source, now))
    }

    /// Spares a lender for `pause`, or for longer, up to `most`, when it was marked just before.
    pub(crate) fn mark_dry(
        &mut self,
        lender: &HostName,
        pause: Duration,
        most: Duration,
        now: Instant,
    ) {
        let marked = self.dry.iter().find(|dry| &dry.lender == lender);
        if marked.is_some_and(|dry| now < dry.until) {
            // Another answer of the same round is no news.
            return;
        }
        let again = marked.filter(|dry| now < dry.until + dry.pause);
        let pause = again.map_or(pause, |dry| (dry.pause * 2).min(most).max(pause));
        self.dry
            .retain(|dry| now < dry.until + dry.pause && &dry.lender != lender);
        self.dry.push(DryLender {
            lender: lender.clone(),
            until: now + pause,
            pause,
        });
    }

    /// Whether loans or requests need attention as time passes.
    pub(crate) fn is_busy(&self) -> bool {
        !(self.waiting.is_empty() && self.pending.is_empty() && self.borrowed.is_empty())
    }

    /// Whether a new account would hold no more tokens than this one: it is full and owes nothing.
    pub(crate) fn is_droppable(&self, policy: &LimitsPolicy, now: Instant) -> bool {
        let idle = self.demand.value(now) * policy.remote_ahead.as_secs_f64() < ROUNDING;
        idle && !self.is_busy() && self.lent.is_empty() && self.level >= self.allotment.burst
    }
}
