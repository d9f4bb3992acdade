//! Token thread: obtains a token for each request of a team from the host that owns the team's
//! tokens in this region, or from a small share of its own if the owner does not reply.

use crate::{
    doubt::DoubtList,
    duty::start_duty,
    ledger::{AdmitReply, LedgerEvent},
    shared::{DaemonShared, PeerSender},
};
use eyre::Result;
use kws_forward::Refusal;
use kws_limits::{TokenAnswer, TokenOwner};
use kws_protocol::{FleetSnapshot, HostName, PeerMessage, RefusalReason, TeamName, TicketMessage};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Receiver,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

/// Interval between checks of pending token requests, while there are any.
const TICK: Duration = Duration::from_millis(20);
/// Time without a reply after which an owner counts as unresponsive. It exceeds the longest time by
/// which an owner delays a grant, plus the round trip.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Value of the log key `decider` when the owner did not reply.
const ALONE: &str = "alone";

/// Time for which no loan is requested for a team after another region had no token to lend.
const DRY_PAUSE: Duration = Duration::from_millis(200);

/// Starts the token thread; fails if the thread or its runtime can't be created.
pub(crate) fn start_tokens(
    shared: Arc<DaemonShared>,
    events: Receiver<LedgerEvent>,
    peers: PeerSender,
) -> Result<()> {
    start_duty("tokens", move || run_tokens(shared, events, peers))
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

struct AskedToken {
    team: TeamName,
    waiter: TokenWaiter,
    keeper: HostName,
    sent: Instant,
    /// Decision to use if the other region has no token to lend; `None` for a request within the
    /// region.
    refusal: Option<TokenAnswer>,
}

struct TokenDuty {
    shared: Arc<DaemonShared>,
    peers: PeerSender,
    snapshot: Option<Arc<FleetSnapshot>>,
    hosts: Vec<HostName>,
    keeper: TokenOwner,
    /// Buckets that this host uses while an owner does not reply.
    alone: TokenOwner,
    asked: HashMap<u64, AskedToken>,
    next: u64,
    doubts: DoubtList,
    /// Teams for which another region had no token to lend, with the end of their cooldown.
    dry: HashMap<TeamName, Instant>,
}

async fn run_tokens(
    shared: Arc<DaemonShared>,
    mut events: Receiver<LedgerEvent>,
    peers: PeerSender,
) {
    let now = Instant::now();
    let region = shared.identity.region.clone();
    let mut duty = TokenDuty {
        hosts: Vec::new(),
        shared,
        peers,
        snapshot: None,
        keeper: TokenOwner::new(region.clone(), now),
        alone: TokenOwner::new(region, now),
        asked: HashMap::new(),
        next: 0,
        doubts: DoubtList::default(),
        dry: HashMap::new(),
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => duty.take_event(event, Instant::now()),
                None => return,
            },
            _ = ticks.tick(), if !duty.asked.is_empty() => duty.pass_time(Instant::now()),
        }
    }
}

impl TokenDuty {
    fn take_event(&mut self, event: LedgerEvent, now: Instant) {
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
            LedgerEvent::Adopt(snapshot) => self.adopt(snapshot, now),
            LedgerEvent::Token { from, message } => self.hear(&from, message, now),
            LedgerEvent::Lease(_)
            | LedgerEvent::Loan { .. }
            | LedgerEvent::PeerRevision { .. }
            | LedgerEvent::RefuseRevision(_)
            | LedgerEvent::Stop => {}
        }
    }

    fn adopt(&mut self, snapshot: Arc<FleetSnapshot>, now: Instant) {
        let near = snapshot.hosts.in_region(&self.shared.identity.region);
        let hosts: Vec<HostName> = near.map(|host| host.name.clone()).collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.keeper.record_host_change(now);
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
        let keeper = self.keeper_of(&team, now);
        if keeper == self.shared.identity.host {
            let answer = self.keeper.take(&snapshot.settings, &team, 1.0, now);
            return self.answer(answer, &team, TokenWaiter::Own(waiter), now);
        }
        self.ask(team, TokenWaiter::Own(waiter), keeper, None, now);
    }

    fn ask(
        &mut self,
        team: TeamName,
        waiter: TokenWaiter,
        keeper: HostName,
        refusal: Option<TokenAnswer>,
        now: Instant,
    ) {
        self.next += 1;
        let message = TicketMessage::RequestToken {
            id: self.next,
            team: team.clone(),
            loan: refusal.is_some(),
        };
        self.peers.send(&keeper, PeerMessage::Ticket(message));
        let asked = AskedToken {
            team,
            waiter,
            keeper,
            sent: now,
            refusal,
        };
        self.asked.insert(self.next, asked);
    }

    /// Handles a decision of this host as owner. Before a refusal, another region is asked for a
    /// loan, since the team's rate applies to all regions together.
    fn answer(&mut self, answer: TokenAnswer, team: &TeamName, waiter: TokenWaiter, now: Instant) {
        let refused = matches!(answer, TokenAnswer::Refused { .. });
        let dry = self.dry.get(team).is_some_and(|until| now < *until);
        let far = (refused && !dry).then(|| self.far_keeper(team, now));
        match far.flatten() {
            Some(far) => self.ask(team.clone(), waiter, far, Some(answer), now),
            None => self.settle(answer, team, waiter, self.shared.identity.host.as_str()),
        }
    }

    /// Owner of the team's tokens in another region, which is chosen at random.
    fn far_keeper(&self, team: &TeamName, now: Instant) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let own = &self.shared.identity.region;
        let others = snapshot.settings.regions.keys().filter(|name| *name != own);
        let regions: Vec<_> = others.collect();
        let region = regions.get(rand::random_range(0..regions.len().max(1)))?;
        let hosts = snapshot.hosts.in_region(region);
        self.doubts.first_trusted((team.as_str(), 0), hosts, now)
    }

    /// Delivers the decision of `decider`, which is a host or [`ALONE`].
    fn settle(&self, answer: TokenAnswer, team: &TeamName, waiter: TokenWaiter, decider: &str) {
        match waiter {
            TokenWaiter::Own(own) => {
                write_refused(answer, team, &own, decider);
                settle_later(answer, own.reply);
            }
            TokenWaiter::Peer(host, id) => self.tell(&host, id, answer),
        }
    }

    fn tell(&self, host: &HostName, id: u64, answer: TokenAnswer) {
        let (wait, retry_after) = match answer {
            TokenAnswer::Granted => (Duration::ZERO, None),
            TokenAnswer::GrantedAfter(wait) => (wait, None),
            TokenAnswer::Refused { retry_after } => (Duration::ZERO, Some(retry_after)),
            // The asker may have newer settings, which contain the team: it gets no reply and
            // decides itself after its time-out.
            TokenAnswer::UnknownTeam => return,
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
    fn keeper_of(&self, team: &TeamName, now: Instant) -> HostName {
        let identity = &self.shared.identity;
        let hosts = self.snapshot.iter();
        let hosts = hosts.flat_map(|one| one.hosts.in_region(&identity.region));
        let first = self.doubts.first_trusted((team.as_str(), 0), hosts, now);
        first.unwrap_or_else(|| identity.host.clone())
    }

    fn hear(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.doubts.trust(from);
        match message {
            TicketMessage::RequestToken {
                id,
                team,
                loan: short,
            } => {
                self.hear_ask(from, id, &team, short, now);
            }
            TicketMessage::TokenReply { id, retry_after } => {
                let Some(asked) = self.asked.remove(&id) else {
                    return;
                };
                let answer = match (retry_after, asked.refusal) {
                    (None, _) => TokenAnswer::Granted,
                    (Some(retry_after), None) => TokenAnswer::Refused { retry_after },
                    (Some(_), Some(refusal)) => {
                        self.dry.insert(asked.team.clone(), now + DRY_PAUSE);
                        refusal
                    }
                };
                self.settle(answer, &asked.team, asked.waiter, from.as_str());
            }
            _ => {}
        }
    }

    fn hear_ask(&mut self, from: &HostName, id: u64, team: &TeamName, short: bool, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if short {
            let answer = self.keeper.lend(&snapshot.settings, team, now);
            return self.tell(from, id, answer);
        }
        let answer = self.keeper.take(&snapshot.settings, team, 1.0, now);
        self.answer(answer, team, TokenWaiter::Peer(from.clone(), id), now);
    }

    fn pass_time(&mut self, now: Instant) {
        let late: Vec<u64> = self
            .asked
            .iter()
            .filter(|(_, one)| now.saturating_duration_since(one.sent) >= ANSWER_LIMIT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(asked) = self.asked.remove(&id) {
                self.decide_alone(asked, now);
            }
        }
    }

    /// Decides without the owner: while it does not reply, each host may use an equal part of the
    /// region's share.
    fn decide_alone(&mut self, asked: AskedToken, now: Instant) {
        log::warn!(
            team = asked.team.as_str(),
            keeper = asked.keeper.as_str();
            "no answer on a token, decided alone"
        );
        self.doubts.doubt(&asked.keeper, now);
        if let Some(refusal) = asked.refusal {
            return self.settle(refusal, &asked.team, asked.waiter, ALONE);
        }
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let part = 1.0 / self.hosts.len().max(1) as f64;
        let answer = self.alone.take(&snapshot.settings, &asked.team, part, now);
        self.settle(answer, &asked.team, asked.waiter, ALONE);
    }
}

/// Logs a refused token with the host that decided and the time that the decision took.
fn write_refused(answer: TokenAnswer, team: &TeamName, waiter: &OwnWaiter, decider: &str) {
    let retry_after = match answer {
        TokenAnswer::Refused { retry_after } => retry_after,
        TokenAnswer::UnknownTeam => Duration::ZERO,
        TokenAnswer::GrantedAfter(_) | TokenAnswer::Granted => return,
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
fn settle_later(answer: TokenAnswer, reply: AdmitReply) {
    let result = match answer {
        TokenAnswer::Granted => Ok(()),
        TokenAnswer::GrantedAfter(wait) => {
            tokio::spawn(async move {
                sleep(wait).await;
                let _ = reply.send(Ok(()));
            });
            return;
        }
        TokenAnswer::Refused { retry_after } => Err(Refusal {
            reason: RefusalReason::RateExceeded,
            retry_after: Some(retry_after),
        }),
        TokenAnswer::UnknownTeam => Err(RefusalReason::KeyUnknown.into()),
    };
    let _ = reply.send(result);
}
