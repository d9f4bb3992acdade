//! The operator, who writes configurations and writes lost ones again.

use super::{
    store::OrderStore,
    values::{CONFIG_KEY, Configuration},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// The numbers of the keys that configurations hold.
const KEYS: std::ops::Range<u8> = 1..12;

struct WrittenVersion {
    keys: BTreeSet<u8>,
    /// When the store confirmed it; none while the store doesn't hold it or a higher one.
    confirmed: Option<Instant>,
}

pub(super) struct Operator {
    /// What every configuration has beside the keys.
    teams: String,
    versions: BTreeMap<u64, WrittenVersion>,
    next_write: Option<Instant>,
}

impl Operator {
    /// An operator whose configurations have this number of teams beside the one that is checked.
    pub(super) fn new(teams: usize, store: &mut OrderStore, now: Instant) -> Self {
        let mut operator = Self {
            teams: teams_text(teams),
            versions: BTreeMap::new(),
            next_write: None,
        };
        operator.write(1, [1, 2, 3].into(), store, now);
        operator
    }

    fn latest(&self) -> (u64, BTreeSet<u8>) {
        let latest = self.versions.last_key_value();
        latest.map_or_else(Default::default, |(version, written)| {
            (*version, written.keys.clone())
        })
    }

    fn write(&mut self, version: u64, keys: BTreeSet<u8>, store: &mut OrderStore, now: Instant) {
        let configuration = Configuration { version, keys };
        let text = format!("{configuration}{}", self.teams);
        store.put(CONFIG_KEY, &text, now);
        let written = WrittenVersion {
            keys: configuration.keys,
            confirmed: Some(now),
        };
        self.versions.insert(version, written);
    }

    /// Writes a higher version with a key added or revoked, or both. Returns what was written; none
    /// while the store is away.
    pub(super) fn configure(
        &mut self,
        store: &mut OrderStore,
        rng: &mut StdRng,
        now: Instant,
    ) -> Option<String> {
        if store.is_away() {
            return None;
        }
        let (version, mut keys) = self.latest();
        let change = rng.random_range(0..3);
        if change != 0 {
            keys.insert(rng.random_range(KEYS));
        }
        if change != 1 && keys.len() > 1 {
            let index = rng.random_range(0..keys.len());
            let revoked = keys.iter().nth(index).copied();
            keys.retain(|key| Some(*key) != revoked);
        }
        let version = version + rng.random_range(1..=9);
        self.write(version, keys.clone(), store, now);
        Some(Configuration { version, keys }.to_string())
    }

    /// The store is back, perhaps without the latest versions.
    pub(super) fn handle_return(&mut self, store: &OrderStore, rng: &mut StdRng, now: Instant) {
        let held = store.version();
        for (_, lost) in self.versions.range_mut(held + 1..) {
            lost.confirmed = None;
        }
        let is_lost = held < self.latest().0;
        let delay = Duration::from_millis(rng.random_range(200..=2_000));
        self.next_write = is_lost.then(|| now + delay);
    }

    /// Writes a lost configuration again, or a higher one. Returns what was written.
    pub(super) fn tick(
        &mut self,
        store: &mut OrderStore,
        rng: &mut StdRng,
        now: Instant,
    ) -> Option<String> {
        self.next_write.filter(|at| now >= *at)?;
        self.next_write = None;
        let (version, keys) = self.latest();
        if store.is_away() || store.version() >= version {
            return None;
        }
        if rng.random() {
            return self.configure(store, rng, now);
        }
        self.write(version, keys.clone(), store, now);
        Some(format!("{} again", Configuration { version, keys }))
    }

    /// The highest version confirmed at `at` or earlier.
    pub(super) fn confirmed_by(&self, at: Instant) -> u64 {
        let mut newest = self.versions.iter().rev();
        let confirmed = newest.find(|(_, written)| written.confirmed.is_some_and(|by| by <= at));
        confirmed.map_or(0, |(version, _)| *version)
    }

    /// The keys of a version; none if it was never written.
    pub(super) fn keys(&self, version: u64) -> Option<&BTreeSet<u8>> {
        self.versions.get(&version).map(|written| &written.keys)
    }
}

/// The text of teams, each with a key that doesn't compress; about as long as in a platform's configuration.
fn teams_text(teams: usize) -> String {
    let mut rng = StdRng::seed_from_u64(teams as u64);
    let mut text = String::new();
    for number in 0..teams {
        let key = rng.random::<u128>();
        let team = format!(
            ",\"team-{number}\":{{\"keys\":[\"{key:032x}\"],\"priority\":1,\"rate_per_second\":100,\"burst\":200}}"
        );
        text.push_str(if number == 0 { " " } else { "" });
        text.push_str(&team);
    }
    text
}
