//! Token thread: obtains a token for each request of a team from the host that owns the team's
//! tokens in this region, or from a small share of its own if the owner does not reply.

use crate::{
    ledger::{AdmitReply, LedgerEvent},
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
    unresponsive::UnresponsiveHosts,
};
use eyre::Result;
use kws_forward::Refusal;
use kws_limits::{TokenDecision, TokenOwner};
use kws_protocol::{FleetSnapshot, HostName, PeerMessage, RefusalReason, TeamName, TicketMessage};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Receiver,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

/// Interval between checks of pending token requests, while there are any.
const PENDING_TICK: Duration = Duration::from_millis(20);
/// Time without a reply after which an owner counts as unresponsive. It exceeds the longest time by
/// which an owner delays a grant, plus the round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Value of the log key `decider` when the owner did not reply.
const UNCOORDINATED: &str = "alone";

/// Time for which no loan is requested for a team after another region had no token to lend.
const LOAN_COOLDOWN: Duration = Duration::from_millis(200);

/// Starts the token thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_tokens(
    shared: Arc<DaemonShared>,
    events: Receiver<LedgerEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_async_thread("tokens", move || run_tokens(shared, events, peers))
}

/// Receiver of the decision on a token.
enum TokenWaiter {
    /// A request of this host.
    Own(OwnWaiter),
    /// A token request of another host of the region, with its identifier there.
    Peer(HostName, u64),
}

struct OwnWaiter {
    reply: AdmitReply,
    request_id: String,
    since: Instant,
}

struct PendingToken {
    team: TeamName,
    waiter: TokenWaiter,
    owner: HostName,
    sent: Instant,
    /// Decision to use if the other region lends no token; `None` for a request within the region.
    refusal: Option<TokenDecision>,
}

struct TokenThread {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    snapshot: Option<Arc<FleetSnapshot>>,
    hosts: Vec<HostName>,
    owned: TokenOwner,
    /// Buckets that this host uses while an owner does not reply.
    uncoordinated: TokenOwner,
    pending: HashMap<u64, PendingToken>,
    next_id: u64,
    unresponsive: UnresponsiveHosts,
    /// Teams for which another region had no token to lend, with the end of their cooldown.
    loan_cooldowns: HashMap<TeamName, Instant>,
}

async fn run_tokens(
    shared: Arc<DaemonShared>,
    mut events: Receiver<LedgerEvent>,
    peers: PeerSender,
) {
    let now = Instant::now();
    let region = shared.identity.region.clone();
    let mut thread = TokenThread {
        hosts: Vec::new(),
        shared,
        peers,
        snapshot: None,
        owned: TokenOwner::new(region.clone(), now),
        uncoordinated: TokenOwner::new(region, now),
        pending: HashMap::new(),
        next_id: 0,
        unresponsive: UnresponsiveHosts::default(),
        loan_cooldowns: HashMap::new(),
    };
    let mut ticks = interval(PENDING_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => thread.handle_event(event, Instant::now()),
                None => return,
            },
            _ = ticks.tick(), if !thread.pending.is_empty() => thread.handle_tick(Instant::now()),
        }
    }
}

impl TokenThread {
    fn handle_event(&mut self, event: LedgerEvent, now: Instant) {
        match event {
            LedgerEvent::Admit {
                request_id,
                team,
                reply,
            } => {
                let waiter = OwnWaiter {
                    reply,
                    request_id,
                    since: now,
                };
                self.admit(team, waiter, now);
            }
            LedgerEvent::ApplySettings(snapshot) => self.apply_settings(snapshot, now),
            LedgerEvent::Token { from, message } => self.handle_message(&from, message, now),
            LedgerEvent::Lease(_)
            | LedgerEvent::Loan { .. }
            | LedgerEvent::PeerRevision { .. }
            | LedgerEvent::RejectRevision(_)
            | LedgerEvent::Stop => {}
        }
    }

    fn apply_settings(&mut self, snapshot: Arc<FleetSnapshot>, now: Instant) {
        let local = snapshot.hosts.in_region(&self.shared.identity.region);
        let hosts: Vec<HostName> = local.map(|host| host.name.clone()).collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.owned.record_host_change(now);
        }
        self.snapshot = Some(snapshot);
    }

    fn admit(&mut self, team: TeamName, waiter: OwnWaiter, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            let _ = waiter.reply.send(Err(RefusalReason::NotCurrent.into()));
            return;
        };
        if TokenOwner::is_unlimited(&snapshot.settings, &team) {
            let _ = waiter.reply.send(Ok(()));
            return;
        }
        let owner = self.owner_of(&team, now);
        if owner == self.shared.identity.host {
            let decision = self.owned.take(&snapshot.settings, &team, 1.0, now);
            return self.handle_decision(decision, &team, TokenWaiter::Own(waiter), now);
        }
        self.send_request(team, TokenWaiter::Own(waiter), owner, None, now);
    }

    fn send_request(
        &mut self,
        team: TeamName,
        waiter: TokenWaiter,
        owner: HostName,
        refusal: Option<TokenDecision>,
        now: Instant,
    ) {
        self.next_id += 1;
        let message = TicketMessage::RequestToken {
            id: self.next_id,
            team: team.clone(),
            loan: refusal.is_some(),
        };
        self.peers.send(&owner, PeerMessage::Ticket(message));
        let pending = PendingToken {
            team,
            waiter,
            owner,
            sent: now,
            refusal,
        };
        self.pending.insert(self.next_id, pending);
    }

    /// Handles a decision of this host as owner. Before a refusal, another region is asked for a
    /// loan, since the team's rate applies to all regions together.
    fn handle_decision(
        &mut self,
        decision: TokenDecision,
        team: &TeamName,
        waiter: TokenWaiter,
        now: Instant,
    ) {
        let refused = matches!(decision, TokenDecision::Refused { .. });
        let in_cooldown = self
            .loan_cooldowns
            .get(team)
            .is_some_and(|until| now < *until);
        let remote_owner = (refused && !in_cooldown).then(|| self.remote_owner(team, now));
        match remote_owner.flatten() {
            Some(owner) => self.send_request(team.clone(), waiter, owner, Some(decision), now),
            None => self.deliver(decision, team, waiter, self.shared.identity.host.as_str()),
        }
    }

    /// Owner of the team's tokens in another region, which is chosen at random.
    fn remote_owner(&self, team: &TeamName, now: Instant) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let own = &self.shared.identity.region;
        let others = snapshot.settings.regions.keys().filter(|name| *name != own);
        let regions: Vec<_> = others.collect();
        let region = regions.get(rand::random_range(0..regions.len().max(1)))?;
        let hosts = snapshot.hosts.in_region(region);
        self.unresponsive
            .first_responsive((team.as_str(), 0), hosts, now)
    }

    /// Delivers the decision of `decider`, which is a host or [`UNCOORDINATED`].
    fn deliver(
        &self,
        decision: TokenDecision,
        team: &TeamName,
        waiter: TokenWaiter,
        decider: &str,
    ) {
        match waiter {
            TokenWaiter::Own(own) => {
                log_refused(decision, team, &own, decider);
                send_decision(decision, own.reply);
            }
            TokenWaiter::Peer(host, id) => self.send_reply(&host, id, decision),
        }
    }

    fn send_reply(&self, host: &HostName, id: u64, decision: TokenDecision) {
        let (wait, retry_after) = match decision {
            TokenDecision::Granted => (Duration::ZERO, None),
            TokenDecision::GrantedAfter(wait) => (wait, None),
            TokenDecision::Refused { retry_after } => (Duration::ZERO, Some(retry_after)),
            // The asker may have newer settings, which contain the team: it gets no reply and
            // decides itself after its time-out.
            TokenDecision::UnknownTeam => return,
        };
        let message = PeerMessage::Ticket(TicketMessage::TokenReply { id, retry_after });
        if wait.is_zero() {
            self.peers.send(host, message);
            return;
        }
        let (peers, to) = (self.peers.clone(), host.clone());
        tokio::spawn(async move {
            sleep(wait).await;
            peers.send(&to, message);
        });
    }

    /// Owner of the team's tokens in this region; this host if no other is known.
    fn owner_of(&self, team: &TeamName, now: Instant) -> HostName {
        let identity = &self.shared.identity;
        let hosts = self.snapshot.iter();
        let hosts = hosts.flat_map(|snapshot| snapshot.hosts.in_region(&identity.region));
        let owner = self
            .unresponsive
            .first_responsive((team.as_str(), 0), hosts, now);
        owner.unwrap_or_else(|| identity.host.clone())
    }

    fn handle_message(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.unresponsive.record_message(from);
        match message {
            TicketMessage::RequestToken { id, team, loan } => {
                self.handle_token_request(from, id, &team, loan, now);
            }
            TicketMessage::TokenReply { id, retry_after } => {
                let Some(pending) = self.pending.remove(&id) else {
                    return;
                };
                let decision = match (retry_after, pending.refusal) {
                    (None, _) => TokenDecision::Granted,
                    (Some(retry_after), None) => TokenDecision::Refused { retry_after },
                    (Some(_), Some(refusal)) => {
                        self.loan_cooldowns
                            .insert(pending.team.clone(), now + LOAN_COOLDOWN);
                        refusal
                    }
                };
                self.deliver(decision, &pending.team, pending.waiter, from.as_str());
            }
            _ => {}
        }
    }

    fn handle_token_request(
        &mut self,
        from: &HostName,
        id: u64,
        team: &TeamName,
        loan: bool,
        now: Instant,
    ) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if loan {
            let decision = self.owned.lend(&snapshot.settings, team, now);
            return self.send_reply(from, id, decision);
        }
        let decision = self.owned.take(&snapshot.settings, team, 1.0, now);
        self.handle_decision(decision, team, TokenWaiter::Peer(from.clone(), id), now);
    }

    fn handle_tick(&mut self, now: Instant) {
        let timed_out: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now.saturating_duration_since(pending.sent) >= REPLY_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            if let Some(pending) = self.pending.remove(&id) {
                self.decide_uncoordinated(pending, now);
            }
        }
    }

    /// Decides without the owner: while it does not reply, each host may use an equal part of the
    /// region's share.
    fn decide_uncoordinated(&mut self, pending: PendingToken, now: Instant) {
        log::warn!(
            team = pending.team.as_str(),
            keeper = pending.owner.as_str();
            "no answer on a token, decided alone"
        );
        self.unresponsive.record_timeout(&pending.owner, now);
        if let Some(refusal) = pending.refusal {
            return self.deliver(refusal, &pending.team, pending.waiter, UNCOORDINATED);
        }
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let share = 1.0 / self.hosts.len().max(1) as f64;
        let decision = self
            .uncoordinated
            .take(&snapshot.settings, &pending.team, share, now);
        self.deliver(decision, &pending.team, pending.waiter, UNCOORDINATED);
    }
}

/// Logs a refused token with the host that decided and the time that the decision took.
fn log_refused(decision: TokenDecision, team: &TeamName, waiter: &OwnWaiter, decider: &str) {
    let retry_after = match decision {
        TokenDecision::Refused { retry_after } => retry_after,
        TokenDecision::UnknownTeam => Duration::ZERO,
        TokenDecision::GrantedAfter(_) | TokenDecision::Granted => return,
    };
    log::info!(
        request_id = waiter.request_id.as_str(),
        team = team.as_str(),
        decider = decider,
        waited_us = waiter.since.elapsed().as_micros() as u64,
        retry_after_ms = retry_after.as_millis() as u64;
        "token refused"
    );
}

/// Sends the decision to the request: a granted token once it is available, a refusal at once.
fn send_decision(decision: TokenDecision, reply: AdmitReply) {
    let result = match decision {
        TokenDecision::Granted => Ok(()),
        TokenDecision::GrantedAfter(wait) => {
            tokio::spawn(async move {
                sleep(wait).await;
                let _ = reply.send(Ok(()));
            });
            return;
        }
        TokenDecision::Refused { retry_after } => Err(Refusal {
            reason: RefusalReason::RateExceeded,
            retry_after: Some(retry_after),
        }),
        TokenDecision::UnknownTeam => Err(RefusalReason::KeyUnknown.into()),
    };
    let _ = reply.send(result);
}
