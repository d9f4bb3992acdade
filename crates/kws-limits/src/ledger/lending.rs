//! The lender's side of loans.

use super::LimitsLedger;
use crate::LOAN_TERM;
use kws_protocol::{HostName, LoanId, LoanMessage, TeamName};
use tokio::time::Instant;

impl LimitsLedger {
    /// Lends own tokens, which are debited before the reply is sent. A repeated request gets the
    /// same reply.
    pub(super) fn lend(
        &mut self,
        borrower: &HostName,
        id: LoanId,
        team: &TeamName,
        wanted: f64,
        now: Instant,
    ) {
        let known = self.is_current(now) && self.window.team(team).is_some();
        let tokens = if known {
            self.lend_tokens(borrower, id, team, wanted, now)
        } else {
            0.0
        };
        let team = team.clone();
        self.send(borrower, LoanMessage::Lend { id, team, tokens });
    }

    fn lend_tokens(
        &mut self,
        borrower: &HostName,
        id: LoanId,
        team: &TeamName,
        wanted: f64,
        now: Instant,
    ) -> f64 {
        // The borrower's term began when it sent the request, so it ends before this instant by any
        // clock within the allowed drift.
        let until = now + self.window.drift_adjusted(LOAN_TERM);
        self.with_account(team, now, |_, account| {
            if let Some(tokens) = account.lent.find(borrower, id) {
                return tokens;
            }
            let tokens = account.lend(wanted);
            if tokens > 0.0 {
                account.lent.add(borrower, id, tokens, until);
            }
            tokens
        })
    }

    /// Closes a loan and takes back its unspent tokens, once and never more than were lent.
    pub(super) fn close_loan(
        &mut self,
        borrower: &HostName,
        id: LoanId,
        team: &TeamName,
        unspent: f64,
        now: Instant,
    ) {
        if !self.teams.contains_key(team) {
            return;
        }
        self.with_account(team, now, |_, account| {
            if let Some(lent) = account.lent.close(borrower, id) {
                account.refund(unspent.min(lent));
            }
        });
    }
}
