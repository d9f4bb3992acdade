//! The store: linearizable, with a count of changes that goes back when the store returns from a copy.

use super::{
    CONTACT, ENTRY_EXPIRY,
    values::{CONFIG_KEY, Configuration, LifeId, Registration, SERVER_PREFIX},
};
use kws_protocol::{PublishedValues, TreeRevision};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How far back copies reach.
const COPY_RETENTION: Duration = Duration::from_secs(9);
const COPY_INTERVAL: Duration = Duration::from_millis(50);

type Values = BTreeMap<String, Arc<str>>;

#[derive(Clone)]
struct StoreCopy {
    at: Instant,
    count: u64,
    values: Arc<Values>,
    /// When each server was last heard.
    heard: BTreeMap<String, Instant>,
}

/// What a return from a copy has lost.
pub(super) struct LostWrites {
    pub(super) age: Duration,
    pub(super) count: u64,
}

pub(super) struct OrderStore {
    era: u64,
    count: u64,
    values: Arc<Values>,
    heard: BTreeMap<String, Instant>,
    copies: VecDeque<StoreCopy>,
    is_away: bool,
    impaired: Option<Instant>,
    /// When the values last changed or the store returned.
    changed: Instant,
}

impl OrderStore {
    pub(super) fn new(count: u64, now: Instant) -> Self {
        Self {
            era: 1,
            count,
            values: Arc::default(),
            heard: BTreeMap::new(),
            copies: VecDeque::new(),
            is_away: false,
            impaired: None,
            changed: now,
        }
    }

    pub(super) fn revision(&self) -> TreeRevision {
        TreeRevision::new(self.era, self.count)
    }

    pub(super) fn published(&self) -> PublishedValues {
        PublishedValues {
            revision: self.revision(),
            values: Values::clone(&self.values),
        }
    }

    pub(super) fn values(&self) -> &Arc<Values> {
        &self.values
    }

    pub(super) fn is_away(&self) -> bool {
        self.is_away
    }

    /// Whether the store has been without impairment for `contact`.
    pub(super) fn is_stable(&self, now: Instant) -> bool {
        !self.is_away && self.impaired.is_none_or(|at| now >= at + CONTACT)
    }

    pub(super) fn changed(&self) -> Instant {
        self.changed
    }

    pub(super) fn version(&self) -> u64 {
        let text = self.values.get(CONFIG_KEY);
        let configuration = text.and_then(|text| Configuration::parse(text));
        configuration.map_or(0, |configuration| configuration.version)
    }

    pub(super) fn entry(&self, id: &str) -> Option<Registration> {
        let text = self.values.get(&format!("{SERVER_PREFIX}{id}"))?;
        Registration::parse(text)
    }

    /// Whether the store holds a server in service.
    pub(super) fn serves(&self, (id, started): &LifeId) -> bool {
        let entry = self.entry(id);
        entry.is_some_and(|entry| entry.in_service && entry.started_at_ms == *started)
    }

    pub(super) fn put(&mut self, key: &str, text: &str, now: Instant) {
        self.count += 1;
        self.changed = now;
        Arc::make_mut(&mut self.values).insert(key.to_owned(), Arc::from(text));
    }

    /// Changes that concern none of the values which hosts read.
    pub(super) fn count_other_changes(&mut self, changes: u64, now: Instant) {
        self.count += changes;
        self.changed = now;
    }

    /// A server's heartbeat. Returns whether the entry has changed.
    pub(super) fn register(&mut self, id: &str, entry: &Registration, now: Instant) -> bool {
        self.heard.insert(id.to_owned(), now);
        let is_new = self.entry(id).as_ref() != Some(entry);
        if is_new {
            self.put(&format!("{SERVER_PREFIX}{id}"), &entry.to_string(), now);
        }
        is_new
    }

    pub(super) fn remove(&mut self, id: &str, now: Instant) {
        self.heard.remove(id);
        let key = format!("{SERVER_PREFIX}{id}");
        if Arc::make_mut(&mut self.values).remove(&key).is_some() {
            self.count += 1;
            self.changed = now;
        }
    }

    /// Removes the entries of silent servers, and keeps a copy from time to time. Returns the ids of the
    /// removed ones.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<String> {
        if self.is_away {
            self.impaired = Some(now);
            return Vec::new();
        }
        let silent = self
            .heard
            .iter()
            .filter(|(_, at)| now > **at + ENTRY_EXPIRY);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.remove(id, now);
        }
        let last = self.copies.back();
        if last.is_none_or(|copy| copy.count != self.count || now >= copy.at + COPY_INTERVAL) {
            self.copies.push_back(StoreCopy {
                at: now,
                count: self.count,
                values: Arc::clone(&self.values),
                heard: self.heard.clone(),
            });
        }
        while self
            .copies
            .front()
            .is_some_and(|copy| now > copy.at + COPY_RETENTION)
        {
            self.copies.pop_front();
        }
        silent
    }

    pub(super) fn go_away(&mut self, now: Instant) {
        self.is_away = true;
        self.impaired = Some(now);
    }

    /// Returns from the newest copy that was at least `age` old when the store went away. The silence of
    /// servers is counted from the return on, or from the copy on.
    pub(super) fn restore(
        &mut self,
        age: Duration,
        counts_from_return: bool,
        now: Instant,
    ) -> LostWrites {
        let gone = self.copies.back().map_or(now, |copy| copy.at);
        let fits = |copy: &&StoreCopy| copy.at + age <= gone;
        let copy = self.copies.iter().rev().find(fits).or(self.copies.front());
        let copy = copy.cloned();
        let lost = self.count;
        if let Some(copy) = &copy {
            self.count = copy.count;
            self.values = Arc::clone(&copy.values);
            self.heard.clone_from(&copy.heard);
            self.copies.retain(|kept| kept.at <= copy.at);
        }
        if counts_from_return {
            self.heard.values_mut().for_each(|at| *at = now);
        }
        self.era += 1;
        self.is_away = false;
        self.impaired = Some(now);
        self.changed = now;
        LostWrites {
            age: copy.map_or(Duration::ZERO, |copy| {
                gone.saturating_duration_since(copy.at)
            }),
            count: lost,
        }
    }
}
