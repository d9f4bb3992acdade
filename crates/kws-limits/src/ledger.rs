//! The ledger of one host, which decides what the host admits, lends and borrows.

mod borrowing;
mod gossip;
mod lenders;
mod lending;

use crate::{
    AdmitDecision, AdmitTicket, LedgerAction, LimitsPolicy, RefusalCause,
    account::{AccountContext, TeamAccount, WaitingRequest},
    lease::LeaseState,
    window::RevisionWindow,
};
use gossip::RetainedGossip;
use kws_protocol::{
    FleetSnapshot, HostName, LoanMessage, RegionName, TeamName, TeamSettings, TreeRevision,
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How often idle accounts are dropped.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The shortest retry delay given with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The longest retry delay given with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The rate limits of all teams on one host. Methods never block and do little work. The caller
/// runs [`Self::tick`] every few milliseconds and carries out [`Self::take_actions`] after each
/// call.
#[derive(Debug)]
pub struct LimitsLedger {
    host: HostName,
    region: RegionName,
    policy: LimitsPolicy,
    window: RevisionWindow,
    lease: LeaseState,
    teams: HashMap<TeamName, TeamAccount>,
    busy: HashSet<TeamName>,
    actions: Vec<LedgerAction>,
    gossip: RetainedGossip,
    next_ticket: u64,
    next_loan: u64,
    next_sweep: Instant,
}

impl LimitsLedger {
    /// Creates the ledger of a host whose daemon started at `started`; it admits nothing yet.
    pub fn new(host: HostName, region: RegionName, started: Instant) -> Self {
        Self::with_policy(host, region, started, LimitsPolicy::default())
    }

    /// Creates a ledger with the given parameters, which must be the same on all hosts.
    pub fn with_policy(
        host: HostName,
        region: RegionName,
        started: Instant,
        policy: LimitsPolicy,
    ) -> Self {
        let window = RevisionWindow::new(host.clone(), region.clone(), policy.clone(), started);
        Self {
            host,
            region,
            policy,
            window,
            lease: LeaseState::new(),
            teams: HashMap::new(),
            busy: HashSet::new(),
            actions: Vec::new(),
            gossip: RetainedGossip::new(started),
            next_ticket: 0,
            next_loan: 0,
            next_sweep: started + SWEEP_PERIOD,
        }
    }

    /// Adopts a revision; call it as soon as the host holds the revision. Older revisions
    /// are ignored. Skipped revisions count as unknown, so the host's own share is 0 until no host
    /// can use them any more.
    pub fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) {
        self.window.adopt(snapshot, now);
    }

    /// Records that a newer revision failed its check, so that the content of the last valid one
    /// stays active under the new number.
    pub fn reject_revision(&mut self, revision: TreeRevision, now: Instant) {
        self.window.reject(revision, now);
    }

    /// Sets the end of the host's lease; the lease is valid before that instant only. If it had
    /// expired, all buckets start empty.
    pub fn set_lease_end(&mut self, until: Instant, now: Instant) {
        self.lease.set(until, now);
    }

    /// Records that a peer of the own region holds `revision`.
    pub fn record_peer_revision(&mut self, peer: &HostName, revision: TreeRevision, now: Instant) {
        self.window.record_peer_revision(peer, revision, now);
    }

    /// Decides on one request of a team.
    pub fn admit(&mut self, team: &TeamName, now: Instant) -> AdmitDecision {
        if !self.is_current(now) {
            return refuse(RefusalCause::NotCurrent, MIN_RETRY_AFTER);
        }
        if self.window.team(team).is_none() {
            return refuse(RefusalCause::UnknownTeam, MAX_RETRY_AFTER);
        }
        self.with_account(team, now, |ledger, account| {
            account.demand.record(now);
            if account.waiting.is_empty() && account.spend(now) {
                ledger.return_spent(team, account);
                ledger.borrow_ahead(team, account, now);
                return AdmitDecision::Admitted;
            }
            ledger.wait_for_loan(team, account, now)
        })
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, from: &HostName, message: &LoanMessage, now: Instant) {
        match message {
            LoanMessage::Borrow { id, team, tokens } => self.lend(from, *id, team, *tokens, now),
            LoanMessage::Lend { id, team, tokens } => {
                self.receive_loan(from, *id, team, *tokens, now);
            }
            LoanMessage::Return { id, team, tokens } => {
                self.close_loan(from, *id, team, *tokens, now);
            }
            LoanMessage::QueryRetained => self.send_retained(from),
            LoanMessage::Retained { region, oldest } => {
                self.record_retained(from, region, *oldest, now);
            }
        }
    }

    /// Handles what is due at `now`: ends waits, returns idle loans, and lets revisions leave the
    /// window.
    pub fn tick(&mut self, now: Instant) {
        self.window.refresh(now);
        self.gossip_retained(now);
        let busy: Vec<TeamName> = self.busy.iter().cloned().collect();
        for team in &busy {
            self.with_account(team, now, |ledger, account| {
                ledger.tick_loans(team, account, now);
            });
        }
        if now >= self.next_sweep {
            self.sweep(now);
        }
    }

    /// Returns all unspent loans and refuses the waiting requests, because the host is about to
    /// stop.
    pub fn stop(&mut self, now: Instant) {
        let busy: Vec<TeamName> = self.busy.iter().cloned().collect();
        for team in &busy {
            self.with_account(team, now, |ledger, account| {
                ledger.refuse_waiting(team, account, now, |_| true);
                ledger.return_loans(team, account, |_| true);
            });
        }
    }

    /// Hands over the actions that the caller must carry out, in order.
    pub fn take_actions(&mut self) -> Vec<LedgerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The number of teams with an account on this host.
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    /// Whether the host knows which earlier revisions may still be in use; it uses no share of its
    /// own before.
    pub fn is_synced(&self) -> bool {
        !self.window.is_unsynced()
    }

    fn is_current(&self, now: Instant) -> bool {
        self.lease.is_current(now) && !self.window.is_behind()
    }

    /// Runs `work` on the team's account, filled up to `now`.
    fn with_account<T>(
        &mut self,
        team: &TeamName,
        now: Instant,
        work: impl FnOnce(&mut Self, &mut TeamAccount) -> T,
    ) -> T {
        let mut account = self
            .teams
            .remove(team)
            .unwrap_or_else(|| TeamAccount::new(now));
        let context = AccountContext {
            team,
            window: &self.window,
            lease: &self.lease,
        };
        account.advance(context, now);
        let result = work(self, &mut account);
        if account.is_busy() {
            if !self.busy.contains(team) {
                self.busy.insert(team.clone());
            }
        } else {
            self.busy.remove(team);
        }
        self.teams.insert(team.clone(), account);
        result
    }

    fn new_ticket(&mut self) -> AdmitTicket {
        self.next_ticket += 1;
        AdmitTicket(self.next_ticket)
    }

    fn send(&mut self, to: &HostName, message: LoanMessage) {
        self.actions.push(LedgerAction::Send {
            to: to.clone(),
            message,
        });
    }

    fn settle(&mut self, waiting: &WaitingRequest, decision: AdmitDecision) {
        self.actions.push(LedgerAction::Settle {
            ticket: waiting.ticket,
            decision,
        });
    }

    /// Drops accounts that hold no more than a new one would.
    fn sweep(&mut self, now: Instant) {
        self.next_sweep = now + SWEEP_PERIOD;
        let policy = &self.policy;
        let (window, lease) = (&self.window, &self.lease);
        self.teams.retain(|team, account| {
            let context = AccountContext {
                team,
                window,
                lease,
            };
            account.advance(context, now);
            !account.is_droppable(policy, now)
        });
    }
}

fn refuse(cause: RefusalCause, retry_after: Duration) -> AdmitDecision {
    AdmitDecision::Refused { cause, retry_after }
}

/// Refuses because of the rate; the retry delay is the time in which the team's rate yields one
/// token.
fn refuse_rate(settings: Option<&TeamSettings>) -> AdmitDecision {
    let rate = settings.map_or(0.0, |settings| settings.rate);
    let seconds = (1.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_RETRY_AFTER.as_secs_f64());
    let retry_after = Duration::from_secs_f64(seconds).max(MIN_RETRY_AFTER);
    refuse(RefusalCause::RateExceeded, retry_after)
}
