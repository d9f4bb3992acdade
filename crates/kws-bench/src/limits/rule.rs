//! Two naive rules, behind the interface of the product's ledger.

use kws_limits::{AdmitDecision, AdmitTicket, LedgerAction, RefusalCause};
use kws_protocol::{
    FleetSnapshot, HostName, HostState, LoanId, LoanMessage, TeamName, rendezvous_order,
};
use kws_replay::limits::LimitRule;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// A borrowed answer that takes longer counts as refused.
const OWNER_TIMEOUT: Duration = Duration::from_millis(80);

/// A bucket that starts full.
#[derive(Debug)]
struct FullBucket {
    level: f64,
    updated: Instant,
}

impl FullBucket {
    fn take(&mut self, rate: f64, burst: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(burst);
        self.updated = now;
        let whole = self.level >= 1.0;
        if whole {
            self.level -= 1.0;
        }
        whole
    }
}

/// The buckets of a naive rule and the revision that it believes.
#[derive(Debug, Default)]
struct NaiveState {
    newest: Option<Arc<FleetSnapshot>>,
    buckets: HashMap<TeamName, FullBucket>,
}

impl NaiveState {
    fn live(&self) -> Vec<&str> {
        let hosts = self.newest.iter().flat_map(|newest| &newest.hosts.hosts);
        hosts
            .filter(|host| host.state == HostState::Live)
            .map(|host| host.name.as_str())
            .collect()
    }

    fn take(&mut self, team: &TeamName, share: f64, now: Instant) -> bool {
        let newest = self.newest.as_ref();
        let Some(settings) = newest.and_then(|newest| newest.settings.teams.get(team)) else {
            return false;
        };
        let burst = settings.burst * share;
        let start = || FullBucket {
            level: burst,
            updated: now,
        };
        let bucket = self.buckets.entry(team.clone()).or_insert_with(start);
        bucket.take(settings.rate * share, burst, now)
    }
}

fn refused() -> AdmitDecision {
    AdmitDecision::Refused {
        cause: RefusalCause::RateExceeded,
        retry_after: Duration::ZERO,
    }
}

fn decided(admitted: bool) -> AdmitDecision {
    if admitted {
        AdmitDecision::Admitted
    } else {
        refused()
    }
}

/// Every listed host has an equal share.
#[derive(Debug, Default)]
pub struct StaticSplit {
    state: NaiveState,
}

impl LimitRule for StaticSplit {
    fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, _now: Instant) {
        self.state.newest = Some(Arc::clone(snapshot));
    }

    fn admit(&mut self, team: &TeamName, now: Instant) -> AdmitDecision {
        let share = 1.0 / self.state.live().len().max(1) as f64;
        decided(self.state.take(team, share, now))
    }
}

/// The first host in rendezvous order decides for the whole fleet.
#[derive(Debug)]
pub struct SingleOwner {
    host: HostName,
    state: NaiveState,
    asked: HashMap<LoanId, Instant>,
    next: u64,
    actions: Vec<LedgerAction>,
}

impl SingleOwner {
    /// The rule on one host.
    pub fn new(host: HostName) -> Self {
        Self {
            host,
            state: NaiveState::default(),
            asked: HashMap::new(),
            next: 0,
            actions: Vec::new(),
        }
    }

    fn owner(&self, team: &TeamName) -> Option<HostName> {
        let order = rendezvous_order(team.as_str(), self.state.live());
        order.first().map(|owner| HostName::new(owner))
    }

    fn settle(&mut self, id: LoanId, admitted: bool) {
        if self.asked.remove(&id).is_some() {
            self.actions.push(LedgerAction::Settle {
                ticket: AdmitTicket(id.0),
                decision: decided(admitted),
            });
        }
    }
}

impl LimitRule for SingleOwner {
    fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, _now: Instant) {
        self.state.newest = Some(Arc::clone(snapshot));
    }

    fn admit(&mut self, team: &TeamName, now: Instant) -> AdmitDecision {
        let Some(owner) = self.owner(team) else {
            return refused();
        };
        if owner == self.host {
            return decided(self.state.take(team, 1.0, now));
        }
        self.next += 1;
        let id = LoanId(self.next);
        self.asked.insert(id, now);
        self.actions.push(LedgerAction::Send {
            to: owner,
            message: LoanMessage::Borrow {
                id,
                team: team.clone(),
                tokens: 1.0,
            },
        });
        AdmitDecision::Waiting(AdmitTicket(id.0))
    }

    fn receive(&mut self, from: &HostName, message: &LoanMessage, now: Instant) {
        match message {
            LoanMessage::Borrow { id, team, .. } => {
                let tokens = f64::from(u8::from(self.state.take(team, 1.0, now)));
                let (id, team) = (*id, team.clone());
                let message = LoanMessage::Lend { id, team, tokens };
                let to = from.clone();
                self.actions.push(LedgerAction::Send { to, message });
            }
            LoanMessage::Lend { id, tokens, .. } => self.settle(*id, *tokens >= 1.0),
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let late = self
            .asked
            .iter()
            .filter(|(_, sent)| now >= **sent + OWNER_TIMEOUT);
        let late: Vec<LoanId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.settle(id, false);
        }
    }

    fn take_actions(&mut self) -> Vec<LedgerAction> {
        std::mem::take(&mut self.actions)
    }
}
