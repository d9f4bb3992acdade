//! Tokens that a host granted without owning them, until an owner has charged them.

use kws_protocol::TeamName;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// How long tokens are still told to an owner after the latest of a team. By then the users' window over
/// which a rate is judged has passed.
const DEBT_PERIOD: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct TokenDebt {
    count: u32,
    latest: Instant,
    /// The request that tells of them and has no reply yet.
    told_by: Option<u64>,
}

impl TokenDebt {
    fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.latest) < DEBT_PERIOD
    }
}

/// The debts of one host, by team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenDebts {
    debts: HashMap<TeamName, TokenDebt>,
}

impl TokenDebts {
    /// Adds `count` tokens that this host granted, or that another told it of.
    pub(crate) fn add(&mut self, team: &TeamName, count: u32, now: Instant) {
        self.debts.retain(|_, debt| debt.is_due(now));
        let debt = self.debts.entry(team.clone()).or_insert(TokenDebt {
            count: 0,
            latest: now,
            told_by: None,
        });
        debt.count = debt.count.saturating_add(count);
        debt.latest = now;
    }

    /// The tokens that the request `id` tells of; 0 if another request tells of them already.
    pub(crate) fn tell(&mut self, team: &TeamName, id: u64, now: Instant) -> u32 {
        let debt = self.debts.get_mut(team);
        let debt = debt.filter(|debt| debt.told_by.is_none() && debt.is_due(now));
        debt.map_or(0, |debt| {
            debt.told_by = Some(id);
            debt.count
        })
    }

    /// Ends the telling by the request `id`: `count` tokens have been charged.
    pub(crate) fn settle(&mut self, team: &TeamName, id: u64, count: u32) {
        let debt = self.debts.get_mut(team);
        if let Some(debt) = debt.filter(|debt| debt.told_by == Some(id)) {
            debt.told_by = None;
            debt.count = debt.count.saturating_sub(count);
        }
    }
}
