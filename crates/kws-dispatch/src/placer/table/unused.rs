//! Counts the servers that got no request for a while.

use kws_protocol::ServerName;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// The servers without a request for a period, kept up to date by each use.
#[derive(Clone, Debug)]
pub(super) struct UnusedServers {
    period: Duration,
    last_used: HashMap<ServerName, Option<Instant>>,
    unused: HashSet<ServerName>,
    /// When servers will have been unused for the period, in ascending order.
    due: VecDeque<(Instant, ServerName)>,
}

impl UnusedServers {
    pub(super) fn new(period: Duration) -> Self {
        Self {
            period,
            last_used: HashMap::new(),
            unused: HashSet::new(),
            due: VecDeque::new(),
        }
    }

    /// Sets when a server last got a request.
    pub(super) fn set_used(&mut self, name: &ServerName, at: Option<Instant>, now: Instant) {
        if self.last_used.get(name) == Some(&at) {
            return;
        }
        self.last_used.insert(name.clone(), at);
        match at {
            Some(at) if now < at + self.period => {
                self.unused.remove(name);
                self.due.push_back((at + self.period, name.clone()));
            }
            _ => {
                self.unused.insert(name.clone());
            }
        }
    }

    pub(super) fn remove(&mut self, name: &ServerName) {
        self.last_used.remove(name);
        self.unused.remove(name);
    }

    /// Adds the servers whose period has ended by `now`.
    pub(super) fn refresh(&mut self, now: Instant) {
        while self.due.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.due.pop_front() else {
                return;
            };
            let last_used = self.last_used.get(&name).copied().flatten();
            if last_used.is_some_and(|at| now >= at + self.period) {
                self.unused.insert(name);
            }
        }
    }

    pub(super) fn count(&self) -> usize {
        self.unused.len()
    }
}
