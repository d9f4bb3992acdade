//! Token thread: obtains a token for each request of a team from the host that owns the team's
//! tokens in this region, or from a small share of its own if the owner does not reply.

use crate::{
    ledger::{AdmitReply, LedgerEvent},
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
};
use eyre::Result;
use kws_forward::Refusal;
use kws_limits::{TokenDecision, TokenOwner, TokenPartition};
use kws_membership::{OwnerTable, SharedTask};
use kws_protocol::{
    FleetSettings, FleetSnapshot, HostName, PeerMessage, RefusalReason, RegionName, TeamName,
    TicketMessage,
};
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

/// Processor share that the owner of a partition of the teams needs, in thousandths of a processor.
const OWNER_MILLICORES: u32 = 200;

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
    /// Whether another owner did not reply before.
    is_second: bool,
    /// Decision to use if the other region lends no token; `None` for a request within the region.
    refusal: Option<TokenDecision>,
}

struct TokenThread {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    snapshot: Option<Arc<FleetSnapshot>>,
    owners: OwnerTable,
    owned: TokenOwner,
    /// Buckets that this host uses while an owner does not reply.
    uncoordinated: TokenOwner,
    pending: HashMap<u64, PendingToken>,
    next_id: u64,
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
        owners: OwnerTable::default(),
        shared,
        peers,
        snapshot: None,
        owned: TokenOwner::new(region.clone(), now),
        uncoordinated: TokenOwner::new(region, now),
        pending: HashMap::new(),
        next_id: 0,
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
            _ = ticks.tick(), if !thread.pending.is_empty() => {
                // Replies that arrived while this thread had no processor are not late.
                for _ in 0..events.len() {
                    if let Ok(event) = events.try_recv() {
                        thread.handle_event(event, Instant::now());
                    }
                }
                thread.handle_tick(Instant::now());
            }
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
        if self.owners.set_hosts(&snapshot.hosts) {
            let count = self.owners.host_count(&self.shared.identity.region);
            self.owned.record_hosts(count, now);
            self.update_owned(now);
        }
        self.snapshot = Some(snapshot);
    }

    /// Updates the partitions that this host owns.
    fn update_owned(&mut self, now: Instant) {
        let identity = &self.shared.identity;
        let owners = &mut self.owners;
        let owned: Vec<bool> = TokenPartition::all()
            .map(|partition| {
                let owner = partition_owner(owners, &identity.region, partition, now);
                owner.is_none_or(|owner| owner == identity.host)
            })
            .collect();
        self.owned
            .set_owned(|partition| owned[partition.index()], now);
        let count = owned.iter().filter(|is_owned| **is_owned).count();
        log::info!(
            partitions = count,
            hosts = self.owners.host_count(&self.shared.identity.region);
            "owned token partitions"
        );
        self.shared.metrics.set_token_partitions(count);
    }

    /// Takes a token from the buckets of this host, which owns the team's tokens or was asked as if it
    /// did.
    fn take_owned(
        &mut self,
        settings: &FleetSettings,
        team: &TeamName,
        now: Instant,
    ) -> TokenDecision {
        let role = if self.owned.owns(TokenPartition::of(team)) {
            "owner"
        } else {
            "asked"
        };
        let decision = self.owned.take(settings, team, 1.0, now);
        self.record_decision(role, decision);
        decision
    }

    fn record_decision(&self, role: &str, decision: TokenDecision) {
        let granted = match decision {
            TokenDecision::Granted | TokenDecision::GrantedAfter(_) => true,
            TokenDecision::Refused { .. } => false,
            TokenDecision::UnknownTeam => return,
        };
        self.shared.metrics.record_token(role, granted);
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
        let waiter = TokenWaiter::Own(waiter);
        let Some(owner) = self.other_owner(&team, now) else {
            let decision = self.take_owned(&snapshot.settings, &team, now);
            return self.handle_decision(decision, &team, waiter, now);
        };
        self.send_request(PendingToken {
            team,
            waiter,
            owner,
            sent: now,
            is_second: false,
            refusal: None,
        });
    }

    fn send_request(&mut self, pending: PendingToken) {
        self.next_id += 1;
        let message = TicketMessage::RequestToken {
            id: self.next_id,
            team: pending.team.clone(),
            loan: pending.refusal.is_some(),
        };
        self.peers
            .send(&pending.owner, PeerMessage::Ticket(message));
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
            Some(owner) => self.send_request(PendingToken {
                team: team.clone(),
                waiter,
                owner,
                sent: now,
                is_second: false,
                refusal: Some(decision),
            }),
            None => self.deliver(decision, team, waiter, self.shared.identity.host.as_str()),
        }
    }

    /// Owner of the team's tokens in another region, which is chosen at random.
    fn remote_owner(&mut self, team: &TeamName, now: Instant) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let own = &self.shared.identity.region;
        let others = snapshot.settings.regions.keys().filter(|name| *name != own);
        let regions: Vec<_> = others.collect();
        let region = regions.get(rand::random_range(0..regions.len().max(1)))?;
        partition_owner(&mut self.owners, region, TokenPartition::of(team), now)
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

    /// Owner of the team's tokens in this region, unless this host is the owner.
    fn other_owner(&mut self, team: &TeamName, now: Instant) -> Option<HostName> {
        let identity = &self.shared.identity;
        let partition = TokenPartition::of(team);
        let owner = partition_owner(&mut self.owners, &identity.region, partition, now);
        owner.filter(|owner| *owner != identity.host)
    }

    fn handle_message(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.owners.record_message(from);
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
        let decision = self.take_owned(&snapshot.settings, team, now);
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
                self.handle_timeout(pending, now);
            }
        }
    }

    /// Asks the next owner if the first one did not reply; decides without one otherwise. While no
    /// owner replies, each host may use an equal part of the region's share.
    fn handle_timeout(&mut self, mut pending: PendingToken, now: Instant) {
        self.owners.record_timeout(&pending.owner, now);
        log::warn!(
            team = pending.team.as_str(),
            keeper = pending.owner.as_str(),
            second = pending.is_second;
            "no answer on a token"
        );
        if let Some(refusal) = pending.refusal {
            return self.deliver(refusal, &pending.team, pending.waiter, UNCOORDINATED);
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if !pending.is_second {
            if let Some(owner) = self.other_owner(&pending.team, now) {
                pending.owner = owner;
                pending.sent = now;
                pending.is_second = true;
                return self.send_request(pending);
            }
            let decision = self.take_owned(&snapshot.settings, &pending.team, now);
            return self.handle_decision(decision, &pending.team, pending.waiter, now);
        }
        let share = 1.0 / self.owners.host_count(&self.shared.identity.region).max(1) as f64;
        let decision = self
            .uncoordinated
            .take(&snapshot.settings, &pending.team, share, now);
        self.record_decision(UNCOORDINATED, decision);
        self.deliver(decision, &pending.team, pending.waiter, UNCOORDINATED);
    }
}

/// Owner of a partition's tokens in `region`; `None` if no host is known there.
fn partition_owner(
    owners: &mut OwnerTable,
    region: &RegionName,
    partition: TokenPartition,
    now: Instant,
) -> Option<HostName> {
    let name = partition.task_name();
    let task = SharedTask {
        name: &name,
        millicores: OWNER_MILLICORES,
    };
    owners.owner(region, task, now)
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
