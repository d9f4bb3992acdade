//! Token thread: obtains a token for each request of a team, as [`TokenCoordinator`] decides.

mod coordinator;
mod debts;

use crate::{
    ledger::{AdmitReply, LedgerEvent},
    shared::{DaemonShared, PeerSender},
    threads::start_async_thread,
};
use coordinator::{TokenAction, TokenCoordinator, TokenHost};
use eyre::Result;
use kws_forward::Refusal;
use kws_limits::{TokenDecision, TokenOwner};
use kws_protocol::{FleetSnapshot, PeerMessage, RefusalReason, TeamName};
use kws_tree::HostSettings;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Receiver,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

/// Interval between checks of pending token requests, while there are any.
const PENDING_TICK: Duration = Duration::from_millis(20);

/// The most entry hosts of one data centre that the fleet is designed for. `docs/CAPACITY.md` gives the
/// number at the design size.
const MAX_CENTER_HOSTS: usize = 64;

/// Starts the token thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_tokens(
    shared: Arc<DaemonShared>,
    settings: &HostSettings,
    events: Receiver<LedgerEvent>,
    peers: PeerSender,
) -> Result<()> {
    let host = TokenHost {
        name: shared.identity.host.clone(),
        region: shared.identity.region.clone(),
        most_hosts: most_region_hosts(settings),
    };
    start_async_thread("tokens", move || run_tokens(shared, host, events, peers))
}

/// The most hosts that the region may have; 1 if the settings name no other host as a seed.
fn most_region_hosts(settings: &HostSettings) -> usize {
    if settings.seeds.iter().all(|seed| *seed == settings.peer) {
        return 1;
    }
    let regions = settings.centers.values();
    let centers = regions.filter(|region| **region == settings.region).count();
    MAX_CENTER_HOSTS * centers.max(1)
}

/// A request of this host that waits for its token.
struct OwnWaiter {
    reply: AdmitReply,
    request_id: String,
    since: Instant,
}

struct TokenThread {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    coordinator: TokenCoordinator,
    waiters: HashMap<u64, OwnWaiter>,
    next_key: u64,
}

async fn run_tokens(
    shared: Arc<DaemonShared>,
    host: TokenHost,
    mut events: Receiver<LedgerEvent>,
    peers: PeerSender,
) {
    let mut thread = TokenThread {
        coordinator: TokenCoordinator::new(host, Instant::now()),
        shared,
        peers,
        waiters: HashMap::new(),
        next_key: 0,
    };
    let mut ticks = interval(PENDING_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => thread.handle_event(event, Instant::now()),
                None => return,
            },
            _ = ticks.tick(), if thread.coordinator.has_pending() => {
                // Replies that arrived while this thread had no processor are not late.
                for _ in 0..events.len() {
                    if let Ok(event) = events.try_recv() {
                        thread.handle_event(event, Instant::now());
                    }
                }
                thread.coordinator.tick(Instant::now());
                thread.run_actions();
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
            LedgerEvent::LostLink(peer) => self.coordinator.handle_lost_link(&peer),
            LedgerEvent::Token { from, message } => self.coordinator.receive(&from, message, now),
            LedgerEvent::Lease(_)
            | LedgerEvent::Loan { .. }
            | LedgerEvent::PeerRevision { .. }
            | LedgerEvent::RejectRevision(_)
            | LedgerEvent::Stop => {}
        }
        self.run_actions();
    }

    fn apply_settings(&mut self, snapshot: Arc<FleetSnapshot>, now: Instant) {
        let Some(count) = self.coordinator.apply_snapshot(snapshot, now) else {
            return;
        };
        log::info!(
            partitions = count,
            hosts = self.coordinator.host_count();
            "owned token partitions"
        );
        self.shared.metrics.set_token_partitions(count);
    }

    fn admit(&mut self, team: TeamName, waiter: OwnWaiter, now: Instant) {
        let Some(snapshot) = self.coordinator.snapshot() else {
            let _ = waiter.reply.send(Err(RefusalReason::NotCurrent.into()));
            return;
        };
        if TokenOwner::is_unlimited(&snapshot.settings, &team) {
            let _ = waiter.reply.send(Ok(()));
            return;
        }
        self.next_key += 1;
        self.waiters.insert(self.next_key, waiter);
        self.coordinator.request(self.next_key, team, now);
    }

    fn run_actions(&mut self) {
        for action in self.coordinator.take_actions() {
            match action {
                TokenAction::Count { role, granted } => {
                    self.shared.metrics.record_token(role.as_str(), granted);
                }
                TokenAction::Deliver {
                    key,
                    team,
                    decision,
                    decider,
                } => {
                    if let Some(waiter) = self.waiters.remove(&key) {
                        log_refused(decision, &team, &waiter, &decider);
                        send_decision(decision, waiter.reply);
                    }
                }
                TokenAction::Send { to, message, delay } => {
                    let message = PeerMessage::Ticket(message);
                    if delay.is_zero() {
                        self.peers.send(&to, message);
                        continue;
                    }
                    let peers = self.peers.clone();
                    tokio::spawn(async move {
                        sleep(delay).await;
                        peers.send(&to, message);
                    });
                }
            }
        }
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
