//! Which team a key digest belongs to, at one revision.

use kws_protocol::{FleetSettings, KeyDigest, TeamName};
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;

/// What an index says of one digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyMatch<'a> {
    /// The key of this team.
    Team(&'a TeamName),
    /// No team's key, or withdrawn.
    Unknown,
    /// Listed under more than one team, so it opens nothing.
    Shared,
}

/// A digest that more than one team lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// The digest.
    pub digest: KeyDigest,
    /// The teams, in the order of their names.
    pub teams: Vec<TeamName>,
}

/// The teams of one digest.
#[derive(Clone, Debug)]
struct KeyEntry {
    digest: KeyDigest,
    teams: Vec<TeamName>,
}

/// The keys of one tree. Build one from each published snapshot and ask it at each decision: when a
/// request arrives, again when it leaves the queue, and on every request of an open connection.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Entries by the first bytes of their digest, which tell nothing of the key.
    buckets: BTreeMap<u64, Vec<KeyEntry>>,
}

impl KeyIndex {
    /// Indexes the keys of every team; the order of the teams changes nothing.
    pub fn new(settings: &FleetSettings) -> Self {
        let mut index = Self::default();
        for team in settings.teams.values() {
            for digest in &team.keys {
                index.insert(*digest, &team.name);
            }
        }
        index
    }

    /// The team of `digest`; digests of one bucket are compared in constant time.
    pub fn find(&self, digest: &KeyDigest) -> KeyMatch<'_> {
        let mut found = KeyMatch::Unknown;
        for entry in self.buckets.get(&bucket_of(digest)).into_iter().flatten() {
            if bool::from(entry.digest.0.ct_eq(&digest.0)) {
                found = entry.verdict();
            }
        }
        found
    }

    /// Digests that more than one team lists.
    pub fn shared(&self) -> Vec<SharedKey> {
        self.buckets
            .values()
            .flatten()
            .filter(|entry| entry.teams.len() > 1)
            .map(|entry| SharedKey {
                digest: entry.digest,
                teams: entry.teams.clone(),
            })
            .collect()
    }

    fn insert(&mut self, digest: KeyDigest, team: &TeamName) {
        let bucket = self.buckets.entry(bucket_of(&digest)).or_default();
        match bucket.iter_mut().find(|entry| entry.digest == digest) {
            Some(entry) => entry.teams.push(team.clone()),
            None => bucket.push(KeyEntry {
                digest,
                teams: vec![team.clone()],
            }),
        }
    }
}

impl KeyEntry {
    fn verdict(&self) -> KeyMatch<'_> {
        match self.teams.as_slice() {
            [team] => KeyMatch::Team(team),
            _ => KeyMatch::Shared,
        }
    }
}

/// The first 8 bytes of a digest.
fn bucket_of(digest: &KeyDigest) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(prefix)
}
