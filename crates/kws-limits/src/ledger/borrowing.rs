//! The borrower's side of loans.

use super::{LimitsLedger, MIN_RETRY_AFTER, refuse, refuse_rate};
use crate::{
    AdmitDecision, LOAN_TERM, RefusalCause,
    account::{LoanSource, TeamAccount, WaitingRequest},
    loan::{BorrowedLoan, PendingLoan},
};
use kws_protocol::{HostName, LoanId, LoanMessage, TeamName};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// The first cooldown of a lender that did not reply in time; it doubles each time.
const TIMEOUT_COOLDOWN: Duration = Duration::from_millis(500);

/// The longest cooldown of a lender that does not reply.
const MAX_TIMEOUT_COOLDOWN: Duration = Duration::from_secs(4);

/// The longest cooldown of a lender that repeatedly has no token.
const MAX_EMPTY_COOLDOWN: Duration = Duration::from_millis(400);

/// Each host may keep a token in reserve if the team's burst has this many tokens per host.
const RESERVE_PER_HOST: f64 = 2.0;

/// Cooldowns of the region's lenders grow as less is lent, at most by the inverse of this fraction.
const MIN_REGION_SHARE: f64 = 0.5;

/// The same for lenders of other regions; it is lower because messages between regions are charged.
const MIN_REMOTE_SHARE: f64 = 0.1;

/// Tokens are borrowed ahead from other regions when the available ones fall below this fraction of
/// the target.
const REMOTE_LOW_WATERMARK: f64 = 0.75;

impl LimitsLedger {
    /// Lets a request wait for expected loans, or refuses it if they cannot cover it and no lender
    /// is left to ask.
    pub(super) fn wait_for_loan(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        now: Instant,
    ) -> AdmitDecision {
        let missing = account.waiting.len() as f64 + 1.0 - account.available();
        self.borrow(team, account, missing, now);
        let Some(expected_until) = account
            .last_expected_until(now)
            .filter(|_| account.covers(1, now))
        else {
            return refuse_rate(self.window.team(team));
        };
        let ticket = self.new_ticket();
        account.waiting.push_back(WaitingRequest {
            ticket,
            arrived: now,
            deadline: expected_until,
        });
        AdmitDecision::Waiting(ticket)
    }

    /// Borrows tokens before they are needed, according to the measured demand. Other regions are
    /// asked earlier, because their replies take longer, but only while no lender of the own region
    /// may be asked.
    pub(super) fn borrow_ahead(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        now: Instant,
    ) {
        let measured = account.demand.value(now);
        let excess_demand = measured - account.allotment().rate;
        let reserve = if self.may_keep_reserve(team, measured) {
            1.0
        } else {
            0.0
        };
        let region_target = (excess_demand * self.policy.region_ahead.as_secs_f64()).max(reserve);
        let remote_target = excess_demand * self.policy.remote_ahead.as_secs_f64();
        let available = account.available() + account.expected_tokens(now);
        if region_target >= 1.0 && available < region_target {
            self.borrow(team, account, region_target, now);
        } else if remote_target >= 1.0
            && available < remote_target * REMOTE_LOW_WATERMARK
            && account.is_region_unavailable(now)
        {
            self.borrow_remote(team, account, remote_target, now);
        }
    }

    /// Whether the burst is large enough for every host to keep a token in reserve, and the demand
    /// high enough to use it soon.
    fn may_keep_reserve(&self, team: &TeamName, demand: f64) -> bool {
        let hosts = self
            .window
            .newest()
            .map_or(0, |newest| newest.hosts.hosts.len());
        let burst = self
            .window
            .team(team)
            .map_or(0.0, |settings| settings.burst);
        demand * self.policy.idle_return.as_secs_f64() >= 1.0
            && burst >= RESERVE_PER_HOST * hosts as f64
    }

    /// Asks lenders of the own region, and lenders of other regions only if the expected loans are
    /// too few and no reply from the own region is expected.
    fn borrow(&mut self, team: &TeamName, account: &mut TeamAccount, missing: f64, now: Instant) {
        let sources = self.sources(team, &mut account.region_lenders, |region| {
            region == &self.region
        });
        let ahead = account.demand.value(now) * self.policy.region_ahead.as_secs_f64();
        let wait = self.policy.region_wait;
        self.request_loans(team, account, &sources, (missing.max(ahead), wait), now);
        if account.expected_tokens(now) < missing && !account.expects_region_reply(now) {
            self.borrow_remote(team, account, missing, now);
        }
    }

    /// Asks lenders of other regions.
    fn borrow_remote(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        missing: f64,
        now: Instant,
    ) {
        let sources = self.sources(team, &mut account.remote_lenders, |region| {
            region != &self.region
        });
        let ahead = account.demand.value(now) * self.policy.remote_ahead.as_secs_f64();
        let wait = self.policy.remote_wait;
        self.request_loans(team, account, &sources, (missing.max(ahead), wait), now);
    }

    /// Asks lenders in round robin, each for no more than its burst, until `wanted` tokens are
    /// expected.
    fn request_loans(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        lenders: &[LoanSource],
        (wanted, wait): (f64, Duration),
        now: Instant,
    ) {
        for _ in 0..lenders.len() {
            let uncovered = wanted - account.expected_tokens(now);
            if uncovered <= 0.0 {
                return;
            }
            account.lender_cursor += 1;
            let source = &lenders[account.lender_cursor % lenders.len()];
            if account.is_unavailable(source, now) {
                continue;
            }
            self.next_loan += 1;
            let id = LoanId(self.next_loan);
            let tokens = uncovered.min(source.burst.max(1.0));
            account.pending.push(PendingLoan {
                id,
                lender: source.lender.clone(),
                tokens,
                sent: now,
                in_region: source.in_region,
                overdue: false,
                expected_until: now + wait,
                cooldown: source.cooldown,
            });
            let team = team.clone();
            self.send(&source.lender, LoanMessage::Borrow { id, team, tokens });
        }
    }

    /// Accepts a loan that this host requested; any other loan is ignored, so that a repeated
    /// message creates no tokens.
    pub(super) fn receive_loan(
        &mut self,
        lender: &HostName,
        id: LoanId,
        team: &TeamName,
        tokens: f64,
        now: Instant,
    ) {
        if !self.teams.contains_key(team) {
            return;
        }
        self.with_account(team, now, |ledger, account| {
            let found = account
                .pending
                .iter()
                .position(|loan| loan.id == id && &loan.lender == lender);
            let Some(index) = found else { return };
            let asked = account.pending.swap_remove(index);
            record_loan(account, &asked, tokens, now);
            ledger.admit_waiting(team, account, now);
        });
    }

    /// Admits as many waiting requests as there are tokens. For the others it asks further lenders,
    /// and refuses those that expected loans cannot cover.
    fn admit_waiting(&mut self, team: &TeamName, account: &mut TeamAccount, now: Instant) {
        if !self.is_current(now) {
            return self.refuse_waiting(team, account, now, |_| true);
        }
        while !account.waiting.is_empty() && account.spend(now) {
            if let Some(waiting) = account.waiting.pop_front() {
                self.settle(&waiting, AdmitDecision::Admitted);
            }
        }
        self.return_spent(team, account);
        let missing = account.waiting.len() as f64 - account.available();
        if account.waiting.is_empty() || account.expected_tokens(now) >= missing {
            return;
        }
        self.borrow(team, account, missing, now);
        while !account.waiting.is_empty() && !account.covers(0, now) {
            if let Some(waiting) = account.waiting.pop_back() {
                self.settle(&waiting, refuse_rate(self.window.team(team)));
            }
        }
        let Some(expected_until) = account.last_expected_until(now) else {
            return;
        };
        let max_wait = self.policy.remote_wait;
        for waiting in &mut account.waiting {
            let latest = waiting.arrived + max_wait;
            waiting.deadline = waiting.deadline.max(expected_until.min(latest));
        }
    }

    /// Ends waits, starts cooldowns of lenders that did not reply, and returns idle loans.
    pub(super) fn tick_loans(&mut self, team: &TeamName, account: &mut TeamAccount, now: Instant) {
        start_timeout_cooldowns(account, now);
        if !account.waiting.is_empty() {
            self.admit_waiting(team, account, now);
        }
        self.refuse_waiting(team, account, now, |waiting| waiting.deadline <= now);
        // Tokens that the measured demand will not use soon are returned at once, for other hosts
        // to use.
        let soon = account.demand.value(now) * self.policy.idle_return.as_secs_f64() >= 1.0;
        let idle_limit = if soon {
            self.policy.idle_return
        } else {
            Duration::ZERO
        };
        if account.waiting.is_empty() {
            self.return_loans(team, account, |loan| now >= loan.last_used + idle_limit);
        }
    }

    /// Refuses the waiting requests that `is_over` selects.
    pub(super) fn refuse_waiting(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        now: Instant,
        is_over: impl Fn(&WaitingRequest) -> bool,
    ) {
        let decision = if self.is_current(now) {
            refuse_rate(self.window.team(team))
        } else {
            refuse(RefusalCause::NotCurrent, MIN_RETRY_AFTER)
        };
        let waiting = std::mem::take(&mut account.waiting);
        let (refused, remaining): (VecDeque<_>, _) = waiting.into_iter().partition(is_over);
        account.waiting = remaining;
        for waiting in &refused {
            self.settle(waiting, decision);
        }
    }

    /// Closes fully spent loans, so that their lenders regain the capacity before the term ends.
    pub(super) fn return_spent(&mut self, team: &TeamName, account: &mut TeamAccount) {
        self.return_loans(team, account, |loan| loan.tokens <= 0.0);
    }

    /// Returns the loans that `is_over` selects; they cannot be spent any more.
    pub(super) fn return_loans(
        &mut self,
        team: &TeamName,
        account: &mut TeamAccount,
        is_over: impl Fn(&BorrowedLoan) -> bool,
    ) {
        let closed: Vec<BorrowedLoan> = account
            .borrowed
            .extract_if(.., |loan| is_over(loan))
            .collect();
        for loan in closed {
            let message = LoanMessage::Return {
                id: loan.id,
                team: team.clone(),
                tokens: loan.tokens.max(0.0),
            };
            self.send(&loan.lender, message);
        }
    }
}

fn record_loan(account: &mut TeamAccount, asked: &PendingLoan, tokens: f64, now: Instant) {
    let until = asked.sent + LOAN_TERM;
    if tokens > 0.0 && now < until {
        account.borrowed.push(BorrowedLoan {
            id: asked.id,
            lender: asked.lender.clone(),
            tokens,
            until,
            last_used: now,
        });
    }
    let fulfilled = account.fulfilled(asked.in_region);
    fulfilled.record(tokens, asked.tokens);
    let min_share = if asked.in_region {
        MIN_REGION_SHARE
    } else {
        MIN_REMOTE_SHARE
    };
    let share = fulfilled.value().max(min_share);
    if tokens < asked.tokens {
        // Without a cooldown, a team over its rate would ask every lender for each fraction of a
        // token.
        let cooldown = asked.cooldown.div_f64(share);
        let max_cooldown = if tokens > 0.0 {
            cooldown
        } else {
            MAX_EMPTY_COOLDOWN
        };
        account.start_cooldown(&asked.lender, cooldown, max_cooldown, now);
    }
}

/// Starts cooldowns of lenders whose replies are overdue; the replies are still accepted within the
/// term.
fn start_timeout_cooldowns(account: &mut TeamAccount, now: Instant) {
    let overdue: Vec<HostName> = account
        .pending
        .iter_mut()
        .filter(|loan| loan.expected_until <= now && !loan.overdue)
        .map(|loan| {
            loan.overdue = true;
            loan.lender.clone()
        })
        .collect();
    for lender in &overdue {
        account.start_cooldown(lender, TIMEOUT_COOLDOWN, MAX_TIMEOUT_COOLDOWN, now);
    }
    account.pending.retain(|loan| now < loan.sent + LOAN_TERM);
}
