//! Ledger thread: enforces the rate and burst of each team.

use crate::{
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
};
use eyre::Result;
use kws_forward::Refusal;
use kws_limits::{AdmitDecision, AdmitTicket, LedgerAction, LimitsLedger, RefusalCause};
use kws_protocol::{
    FleetSnapshot, HostName, LoanMessage, RefusalReason, TeamName, TicketMessage, TreeRevision,
};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc::Receiver, oneshot},
    time::{Instant, sleep_until},
};

/// Interval between ticks of the ledger while requests wait for a loan.
const WAITING_TICK: Duration = Duration::from_millis(1);
/// Interval between ticks while teams are active, so that loans are requested and returned.
const ACTIVE_TICK: Duration = Duration::from_millis(10);
/// Interval between ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Channel for the decision on a request.
pub(crate) type AdmitReply = oneshot::Sender<Result<(), Refusal>>;

/// Input of the ledger thread and of the token thread.
pub(crate) enum LedgerEvent {
    Admit {
        /// Identifier of the request, for the log.
        request_id: String,
        team: TeamName,
        reply: AdmitReply,
    },
    ApplySettings(Arc<FleetSnapshot>),
    Lease(Option<Instant>),
    /// The link to a host was lost.
    LostLink(HostName),
    Loan {
        from: HostName,
        message: LoanMessage,
    },
    PeerRevision {
        peer: HostName,
        revision: TreeRevision,
    },
    RejectRevision(TreeRevision),
    Stop,
    Token {
        from: HostName,
        message: TicketMessage,
    },
}

/// Starts the ledger thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_ledger(
    shared: Arc<DaemonShared>,
    events: Receiver<LedgerEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_async_thread("ledger", move || run_ledger(shared, events, peers))
}

struct LedgerThread {
    ledger: LimitsLedger,
    waiting: HashMap<AdmitTicket, AdmitReply>,
    peers: PeerSender,
}

async fn run_ledger(
    shared: Arc<DaemonShared>,
    mut events: Receiver<LedgerEvent>,
    peers: PeerSender,
) {
    let identity = &shared.identity;
    let mut thread = LedgerThread {
        ledger: LimitsLedger::new(
            identity.host.clone(),
            identity.region.clone(),
            shared.started_at,
        ),
        waiting: HashMap::new(),
        peers,
    };
    let mut last_tick = Instant::now();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => thread.handle_event(event, Instant::now()),
                None => return,
            },
            () = sleep_until(last_tick + thread.tick_interval()) => {
                last_tick = Instant::now();
                thread.ledger.tick(last_tick);
            }
        }
        thread.run_actions();
    }
}

impl LedgerThread {
    /// Time until the next tick.
    fn tick_interval(&self) -> Duration {
        if !self.waiting.is_empty() {
            return WAITING_TICK;
        }
        if self.ledger.active_teams() > 0 {
            return ACTIVE_TICK;
        }
        IDLE_TICK
    }

    fn handle_event(&mut self, event: LedgerEvent, now: Instant) {
        match event {
            LedgerEvent::Admit { team, reply, .. } => self.admit(&team, reply, now),
            LedgerEvent::ApplySettings(snapshot) => self.ledger.adopt(&snapshot, now),
            LedgerEvent::Lease(until) => self.ledger.set_lease_end(until.unwrap_or(now), now),
            LedgerEvent::Loan { from, message } => self.ledger.receive(&from, &message, now),
            LedgerEvent::PeerRevision { peer, revision } => {
                self.ledger.record_peer_revision(&peer, revision, now);
            }
            LedgerEvent::RejectRevision(revision) => self.ledger.reject_revision(revision, now),
            LedgerEvent::Stop => self.ledger.stop(now),
            // Only hosts that discover each other request single tokens, from the token thread.
            LedgerEvent::LostLink(_) | LedgerEvent::Token { .. } => {}
        }
    }

    fn admit(&mut self, team: &TeamName, reply: AdmitReply, now: Instant) {
        match self.ledger.admit(team, now) {
            AdmitDecision::Waiting(ticket) => {
                self.waiting.insert(ticket, reply);
            }
            decision => send_decision(decision, reply),
        }
    }

    fn run_actions(&mut self) {
        for action in self.ledger.take_actions() {
            match action {
                LedgerAction::Send { to, message } => self.peers.send_loan(&to, message),
                LedgerAction::Settle { ticket, decision } => {
                    if let Some(reply) = self.waiting.remove(&ticket) {
                        send_decision(decision, reply);
                    }
                }
            }
        }
    }
}

/// Sends the decision to the request. The token is lost if the caller has disconnected.
fn send_decision(decision: AdmitDecision, reply: AdmitReply) {
    let result = match decision {
        AdmitDecision::Admitted => Ok(()),
        AdmitDecision::Refused { cause, retry_after } => Err(Refusal {
            reason: refusal_reason(cause),
            retry_after: Some(retry_after),
        }),
        AdmitDecision::Waiting(_) => Err(RefusalReason::RateExceeded.into()),
    };
    let _ = reply.send(result);
}

fn refusal_reason(cause: RefusalCause) -> RefusalReason {
    match cause {
        RefusalCause::NotCurrent => RefusalReason::NotCurrent,
        RefusalCause::RateExceeded => RefusalReason::RateExceeded,
        RefusalCause::UnknownTeam => RefusalReason::KeyUnknown,
    }
}
