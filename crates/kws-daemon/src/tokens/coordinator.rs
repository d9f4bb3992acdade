//! Decides which host grants a token: the owner of the team's tokens in the region, a stand-in while the
//! owner does not reply, or this host alone within an equal part of the region's share.
//!
//! Only a host that owns the team's partition by its own list of hosts grants the region's share. A host
//! that is asked without owning passes the request on, so that a lost message or a list that is a moment
//! older doesn't make a second owner.

use super::debts::TokenDebts;
use kws_limits::{PARTITION_COUNT, TokenDecision, TokenOwner, TokenPartition};
use kws_membership::{OwnerTable, SharedTask};
use kws_protocol::{
    FleetSnapshot, HostName, RegionName, TeamName, TicketMessage, TokenRequestKind,
};
use std::{collections::HashMap, mem, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time without a reply after which an owner counts as unresponsive. It exceeds the longest time by
/// which an owner delays a grant, plus the round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The same for a request that is passed on to the owner.
const PASSED_TIMEOUT: Duration = Duration::from_millis(220);

/// The same for the second host that is asked, which may have to wait for [`PASSED_TIMEOUT`] first.
const SECOND_TIMEOUT: Duration = Duration::from_millis(350);

/// Interval at which a stand-in passes a request on to the owner, to find out whether it replies again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the request of another host shows that the owner doesn't reply to others either.
const WITNESS_PERIOD: Duration = Duration::from_secs(1);

/// How long after its start a host that was told of others lets requests wait until it meets one: seeds
/// that are up answer within it, and before it this host could grant next to nothing.
const MEETING_WAIT: Duration = Duration::from_millis(600);

/// Time for which no loan is requested for a team after another region had no token to lend.
const LOAN_COOLDOWN: Duration = Duration::from_millis(200);

/// Processor share that the owner of a partition of the teams needs, in thousandths of a processor.
const OWNER_MILLICORES: u32 = 200;

/// As what a host decides on a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TokenRole {
    /// It uses an equal part of the region's share, since no owner replies.
    Alone,
    /// It owns the team's partition.
    Owner,
    /// It is next in the list after the owner, which replies neither to it nor to another host.
    StandIn,
}

impl TokenRole {
    /// The role in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Owner => "owner",
            Self::StandIn => "stand_in",
        }
    }
}

/// What the token thread has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TokenAction {
    /// Counts a decision that this host made.
    Count {
        /// As what it decided.
        role: TokenRole,
        /// Whether the token was granted.
        granted: bool,
    },
    /// Delivers the decision on a request of this host.
    Deliver {
        /// Identifier that [`TokenCoordinator::request`] was given.
        key: u64,
        /// Team of the request.
        team: TeamName,
        /// The decision.
        decision: TokenDecision,
        /// The host that decided, or the role `alone`.
        decider: String,
    },
    /// Sends a message to another host after a delay.
    Send {
        /// Receiver.
        to: HostName,
        /// The message.
        message: TicketMessage,
        /// Delay before it is sent.
        delay: Duration,
    },
}

/// Receiver of the decision on a token.
#[derive(Clone, Debug)]
enum TokenWaiter {
    /// A request of this host.
    Own(u64),
    /// A token request of another host of the region, with its identifier there.
    Peer(HostName, u64),
}

/// Why a host was asked, and so what follows if it doesn't reply.
#[derive(Clone, Copy, Debug)]
enum AskStage {
    /// The owner, for a request of this host.
    First,
    /// The next host, since the owner did not reply.
    Second,
    /// The owner, for another host or to find out whether it replies again.
    Passed,
    /// The owner in another region, with the decision if it lends no token.
    Loan(TokenDecision),
}

impl AskStage {
    fn timeout(self) -> Duration {
        match self {
            Self::First | Self::Loan(_) => REPLY_TIMEOUT,
            Self::Second => SECOND_TIMEOUT,
            Self::Passed => PASSED_TIMEOUT,
        }
    }

    fn kind(self) -> TokenRequestKind {
        match self {
            Self::First | Self::Second => TokenRequestKind::Own,
            Self::Passed => TokenRequestKind::Passed,
            Self::Loan(_) => TokenRequestKind::Loan,
        }
    }
}

#[derive(Clone, Debug)]
struct PendingToken {
    team: TeamName,
    waiter: TokenWaiter,
    owner: HostName,
    sent: Instant,
    stage: AskStage,
    /// The debt that it tells of.
    owed: u32,
    /// Whether it was sent again after the link was lost.
    is_repeated: bool,
}

/// A host, and how many others its region may have.
#[derive(Clone, Debug)]
pub(crate) struct TokenHost {
    /// Name of the host.
    pub(crate) name: HostName,
    /// Region of the host.
    pub(crate) region: RegionName,
    /// The most hosts that the region may have, assumed while this host has met no other; 1 if it is told
    /// of none.
    pub(crate) most_hosts: usize,
}

/// State machine of one host. Each event takes `now` and adds to the actions, which
/// [`TokenCoordinator::take_actions`] returns in order.
#[derive(Debug)]
pub(crate) struct TokenCoordinator {
    host: TokenHost,
    snapshot: Option<Arc<FleetSnapshot>>,
    owners: OwnerTable,
    owned: TokenOwner,
    /// Buckets that this host uses while no owner replies.
    alone: TokenOwner,
    pending: HashMap<u64, PendingToken>,
    /// Requests of this host that wait until it meets another.
    waiting: Vec<(u64, TeamName)>,
    /// Until when such requests wait; none once it has met one.
    meeting_end: Option<Instant>,
    next_id: u64,
    debts: TokenDebts,
    /// By partition, when another host last asked this one as the owner.
    witnessed: [Option<Instant>; PARTITION_COUNT as usize],
    /// When a request may next be passed on to an owner that does not reply.
    next_probes: HashMap<HostName, Instant>,
    /// Teams for which another region had no token to lend, with the end of their cooldown.
    loan_cooldowns: HashMap<TeamName, Instant>,
    actions: Vec<TokenAction>,
}

impl TokenCoordinator {
    pub(crate) fn new(host: TokenHost, now: Instant) -> Self {
        Self {
            snapshot: None,
            owners: OwnerTable::default(),
            owned: TokenOwner::new(host.region.clone(), host.most_hosts, now),
            alone: TokenOwner::new(host.region.clone(), 1, now),
            pending: HashMap::new(),
            waiting: Vec::new(),
            meeting_end: (host.most_hosts > 1).then_some(now + MEETING_WAIT),
            next_id: 0,
            debts: TokenDebts::default(),
            witnessed: [None; PARTITION_COUNT as usize],
            next_probes: HashMap::new(),
            loan_cooldowns: HashMap::new(),
            actions: Vec::new(),
            host,
        }
    }

    /// The active snapshot; none before the first one.
    pub(crate) fn snapshot(&self) -> Option<&Arc<FleetSnapshot>> {
        self.snapshot.as_ref()
    }

    /// Whether requests wait for other hosts.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.waiting.is_empty()
    }

    /// The actions that the events since the last call led to.
    pub(crate) fn take_actions(&mut self) -> Vec<TokenAction> {
        mem::take(&mut self.actions)
    }

    /// Applies newer settings and hosts. Returns the number of partitions that this host owns if the hosts
    /// differ.
    pub(crate) fn apply_snapshot(
        &mut self,
        snapshot: Arc<FleetSnapshot>,
        now: Instant,
    ) -> Option<usize> {
        let differs = self.owners.set_hosts(&snapshot.hosts);
        let mut hosts = snapshot.hosts.hosts.iter();
        let has_met = hosts.any(|host| host.name != self.host.name);
        self.snapshot = Some(snapshot);
        if !differs {
            return None;
        }
        self.next_probes.retain(|_, next| now < *next);
        if has_met {
            self.owned.record_met(now);
            self.meeting_end = None;
        }
        self.owned.record_hosts(self.host_count(), now);
        let count = self.update_owned(now);
        self.resume_waiting(now);
        Some(count)
    }

    /// Goes on with the requests that waited until this host met another, once it has or is too late.
    fn resume_waiting(&mut self, now: Instant) {
        if self.meeting_end.is_some_and(|end| now < end) {
            return;
        }
        for (key, team) in mem::take(&mut self.waiting) {
            self.request(key, team, now);
        }
    }

    /// Number of hosts that this host knows in its region.
    pub(crate) fn host_count(&self) -> usize {
        self.owners.host_count(&self.host.region)
    }

    /// Updates the partitions that this host owns, which follow from the list of hosts alone.
    fn update_owned(&mut self, now: Instant) -> usize {
        let owned: Vec<bool> = TokenPartition::all()
            .map(|partition| {
                let listed = self.listed_owners(partition, 1);
                listed.iter().all(|owner| *owner == self.host.name)
            })
            .collect();
        self.owned
            .set_owned(|partition| owned[partition.index()], now);
        owned.iter().filter(|is_owned| **is_owned).count()
    }

    /// Obtains a token for a request of this host.
    pub(crate) fn request(&mut self, key: u64, team: TeamName, now: Instant) {
        if self.meeting_end.is_some_and(|end| now < end) {
            return self.waiting.push((key, team));
        }
        let waiter = TokenWaiter::Own(key);
        if self.owned.owns(TokenPartition::of(&team)) {
            return self.decide(TokenRole::Owner, &team, waiter, now);
        }
        match self.other_owner(&team, now) {
            Some(owner) => self.ask(team, waiter, owner, AskStage::First, now),
            None => self.stand_in(team, waiter, now),
        }
    }

    /// Handles a message of another host.
    pub(crate) fn receive(&mut self, from: &HostName, message: TicketMessage, now: Instant) {
        self.owners.record_message(from);
        match message {
            TicketMessage::RequestToken {
                id,
                team,
                kind,
                owed,
            } => {
                self.take_over_debt(&team, owed, now);
                let waiter = TokenWaiter::Peer(from.clone(), id);
                self.handle_request(team, waiter, kind, now);
            }
            TicketMessage::TokenReply { id, retry_after } => {
                self.handle_reply(from, id, retry_after, now);
            }
            _ => {}
        }
    }

    /// Charges the tokens that another host granted, or tells of them in its place if this host isn't the
    /// owner.
    fn take_over_debt(&mut self, team: &TeamName, count: u32, now: Instant) {
        if count == 0 {
            return;
        }
        if !self.owned.owns(TokenPartition::of(team)) {
            return self.debts.add(team, count, now);
        }
        if let Some(snapshot) = &self.snapshot {
            self.owned.charge(&snapshot.settings, team, count, now);
        }
    }

    fn handle_request(
        &mut self,
        team: TeamName,
        waiter: TokenWaiter,
        kind: TokenRequestKind,
        now: Instant,
    ) {
        let partition = TokenPartition::of(&team);
        let owns = self.owned.owns(partition);
        match kind {
            TokenRequestKind::Loan => self.lend(&team, waiter, now),
            TokenRequestKind::Own | TokenRequestKind::Passed if owns => {
                self.decide(TokenRole::Owner, &team, waiter, now);
            }
            // The asker takes this host for the owner; passing the request on again could form a loop.
            TokenRequestKind::Passed => self.decide(TokenRole::Alone, &team, waiter, now),
            TokenRequestKind::Own => {
                self.witnessed[partition.index()] = Some(now);
                match self.other_owner(&team, now) {
                    Some(owner) if !is_from(&waiter, &owner) => {
                        self.ask(team, waiter, owner, AskStage::Passed, now);
                    }
                    Some(_) => self.decide(TokenRole::Alone, &team, waiter, now),
                    None => self.stand_in(team, waiter, now),
                }
            }
        }
    }

    fn handle_reply(
        &mut self,
        from: &HostName,
        id: u64,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.debts.settle(&pending.team, id, pending.owed);
        let decision = match (retry_after, pending.stage) {
            (None, _) => TokenDecision::Granted,
            (Some(_), AskStage::Loan(refusal)) => {
                self.loan_cooldowns
                    .insert(pending.team.clone(), now + LOAN_COOLDOWN);
                refusal
            }
            (Some(retry_after), _) => TokenDecision::Refused { retry_after },
        };
        self.deliver(decision, &pending.team, pending.waiter, from.as_str());
    }

    /// Sends the requests again that a host may not have received, or not answered, before its link was
    /// lost. Their tokens may be taken twice, and are then granted once.
    pub(crate) fn handle_lost_link(&mut self, peer: &HostName) {
        let pending = self.pending.iter_mut();
        let lost = pending.filter(|(_, one)| one.owner == *peer && !one.is_repeated);
        for (id, one) in lost {
            one.is_repeated = true;
            self.actions.push(request_message(*id, one));
        }
    }

    /// Handles the requests that got no reply in time.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.resume_waiting(now);
        let pending = self.pending.iter();
        let overdue = pending
            .filter(|(_, one)| now.saturating_duration_since(one.sent) >= one.stage.timeout());
        let mut overdue: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        overdue.sort_unstable();
        for id in overdue {
            if let Some(pending) = self.pending.remove(&id) {
                self.debts.settle(&pending.team, id, 0);
                self.handle_timeout(pending, now);
            }
        }
    }

    fn handle_timeout(&mut self, pending: PendingToken, now: Instant) {
        self.owners.record_timeout(&pending.owner, now);
        log::warn!(
            team = pending.team.as_str(),
            keeper = pending.owner.as_str(),
            second = matches!(pending.stage, AskStage::Second);
            "no answer on a token"
        );
        let PendingToken {
            team,
            waiter,
            owner,
            stage,
            ..
        } = pending;
        match stage {
            AskStage::First => {
                // The owner was asked just now, so that a probe would tell nothing new.
                self.next_probes.insert(owner, now + PROBE_INTERVAL);
                match self.other_owner(&team, now) {
                    Some(next) => self.ask(team, waiter, next, AskStage::Second, now),
                    None => self.stand_in(team, waiter, now),
                }
            }
            AskStage::Second => self.decide(TokenRole::Alone, &team, waiter, now),
            AskStage::Passed => {
                self.next_probes.insert(owner, now + PROBE_INTERVAL);
                match self.other_owner(&team, now) {
                    Some(_) => self.decide(TokenRole::Alone, &team, waiter, now),
                    None => self.stand_in(team, waiter, now),
                }
            }
            AskStage::Loan(refusal) => {
                self.deliver(refusal, &team, waiter, TokenRole::Alone.as_str());
            }
        }
    }

    /// Decides on behalf of an owner that does not reply. Until another host shows that it gets no reply
    /// either, the loss may be of this host alone, and the owner may go on granting. Only the next host by
    /// the list stands in: others come to it in turn with each message that is lost.
    fn stand_in(&mut self, team: TeamName, waiter: TokenWaiter, now: Instant) {
        let partition = TokenPartition::of(&team);
        let listed = self.listed_owners(partition, 2);
        let owner = listed.first().filter(|owner| **owner != self.host.name);
        if let Some(owner) = owner {
            let next = self.next_probes.get(owner);
            if next.is_none_or(|next| now >= *next) {
                self.next_probes.insert(owner.clone(), now + PROBE_INTERVAL);
                return self.ask(team, waiter, owner.clone(), AskStage::Passed, now);
            }
        }
        let is_next = listed.get(1) == Some(&self.host.name);
        let witnessed = self.witnessed[partition.index()];
        let is_witnessed =
            witnessed.is_some_and(|at| now.saturating_duration_since(at) < WITNESS_PERIOD);
        let role = if is_next && is_witnessed {
            TokenRole::StandIn
        } else {
            TokenRole::Alone
        };
        self.decide(role, &team, waiter, now);
    }

    /// Decides with the buckets of this host. Before a refusal of the region's share, another region is
    /// asked for a loan, since the team's rate applies to all regions together.
    fn decide(&mut self, role: TokenRole, team: &TeamName, waiter: TokenWaiter, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let settings = &snapshot.settings;
        let decision = match role {
            TokenRole::Alone => {
                let share = 1.0 / self.host_count().max(1) as f64;
                self.alone.take(settings, team, share, now)
            }
            TokenRole::Owner | TokenRole::StandIn => self.owned.take(settings, team, 1.0, now),
        };
        let refused = matches!(decision, TokenDecision::Refused { .. });
        if decision != TokenDecision::UnknownTeam {
            self.actions.push(TokenAction::Count {
                role,
                granted: !refused,
            });
        }
        let granted = !refused && decision != TokenDecision::UnknownTeam;
        if role != TokenRole::Owner && granted {
            self.debts.add(team, 1, now);
        }
        if role == TokenRole::Alone {
            return self.deliver(decision, team, waiter, role.as_str());
        }
        let cooldown = self.loan_cooldowns.get(team);
        let may_borrow = refused && cooldown.is_none_or(|until| now >= *until);
        let lender = may_borrow.then(|| self.remote_owner(team, now)).flatten();
        if let Some(owner) = lender {
            return self.ask(team.clone(), waiter, owner, AskStage::Loan(decision), now);
        }
        let host = self.host.name.clone();
        self.deliver(decision, team, waiter, host.as_str());
    }

    /// Lends a token to the owner in another region, if this host is the owner in its own.
    fn lend(&mut self, team: &TeamName, waiter: TokenWaiter, now: Instant) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let decision = if self.owned.owns(TokenPartition::of(team)) {
            self.owned.lend(&snapshot.settings, team, now)
        } else {
            TokenDecision::Refused {
                retry_after: LOAN_COOLDOWN,
            }
        };
        let host = self.host.name.clone();
        self.deliver(decision, team, waiter, host.as_str());
    }

    fn ask(
        &mut self,
        team: TeamName,
        waiter: TokenWaiter,
        owner: HostName,
        stage: AskStage,
        now: Instant,
    ) {
        self.next_id += 1;
        let owed = match stage {
            AskStage::Loan(_) => 0,
            _ => self.debts.tell(&team, self.next_id, now),
        };
        let pending = PendingToken {
            team,
            waiter,
            owner,
            sent: now,
            stage,
            owed,
            is_repeated: false,
        };
        self.actions.push(request_message(self.next_id, &pending));
        self.pending.insert(self.next_id, pending);
    }

    /// Delivers the decision of `decider`, a host or the role `alone`.
    fn deliver(
        &mut self,
        decision: TokenDecision,
        team: &TeamName,
        waiter: TokenWaiter,
        decider: &str,
    ) {
        let (host, id) = match waiter {
            TokenWaiter::Own(key) => {
                return self.actions.push(TokenAction::Deliver {
                    key,
                    team: team.clone(),
                    decision,
                    decider: decider.to_owned(),
                });
            }
            TokenWaiter::Peer(host, id) => (host, id),
        };
        let (delay, retry_after) = match decision {
            TokenDecision::Granted => (Duration::ZERO, None),
            TokenDecision::GrantedAfter(wait) => (wait, None),
            TokenDecision::Refused { retry_after } => (Duration::ZERO, Some(retry_after)),
            // The asker may have newer settings, which contain the team: it gets no reply and
            // decides itself after its time-out.
            TokenDecision::UnknownTeam => return,
        };
        self.actions.push(TokenAction::Send {
            to: host,
            message: TicketMessage::TokenReply { id, retry_after },
            delay,
        });
    }

    /// Owner of the team's tokens in this region among the hosts that reply, unless it is this host.
    fn other_owner(&mut self, team: &TeamName, now: Instant) -> Option<HostName> {
        let partition = TokenPartition::of(team);
        let owner = partition_owner(&mut self.owners, &self.host.region, partition, now);
        owner.filter(|owner| *owner != self.host.name)
    }

    /// Owner of a partition in this region and the next ones, by the list of hosts, whether they reply or
    /// not.
    fn listed_owners(&self, partition: TokenPartition, count: usize) -> Vec<HostName> {
        let name = partition.task_name();
        self.owners
            .listed_owners(&self.host.region, partition_task(&name), count)
    }

    /// Owner of the team's tokens in another region, which is chosen at random.
    fn remote_owner(&mut self, team: &TeamName, now: Instant) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let others = snapshot.settings.regions.keys();
        let others = others.filter(|name| **name != self.host.region);
        let regions: Vec<_> = others.collect();
        let region = regions.get(rand::random_range(0..regions.len().max(1)))?;
        partition_owner(&mut self.owners, region, TokenPartition::of(team), now)
    }
}

/// Whether `waiter` is a request of `host`.
fn is_from(waiter: &TokenWaiter, host: &HostName) -> bool {
    matches!(waiter, TokenWaiter::Peer(from, _) if from == host)
}

fn request_message(id: u64, pending: &PendingToken) -> TokenAction {
    TokenAction::Send {
        to: pending.owner.clone(),
        message: TicketMessage::RequestToken {
            id,
            team: pending.team.clone(),
            kind: pending.stage.kind(),
            owed: pending.owed,
        },
        delay: Duration::ZERO,
    }
}

fn partition_task(name: &str) -> SharedTask<'_> {
    SharedTask {
        name,
        millicores: OWNER_MILLICORES,
    }
}

/// Owner of a partition's tokens in `region` among the hosts that reply; `None` if no host is known
/// there.
fn partition_owner(
    owners: &mut OwnerTable,
    region: &RegionName,
    partition: TokenPartition,
    now: Instant,
) -> Option<HostName> {
    let name = partition.task_name();
    owners.owner(region, partition_task(&name), now)
}
