//! Maps the digests of API keys to teams, for one revision of the settings.

use kws_protocol::{FleetSettings, KeyDigest, TeamName};
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;

/// The result of looking up one digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyMatch<'a> {
    /// The digest belongs to this team only.
    Team(&'a TeamName),
    /// No team lists the digest, or it was withdrawn.
    Unknown,
    /// More than one team lists the digest, so it grants no access.
    Shared,
}

/// A digest that more than one team lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// The teams that list it, ordered by name.
    pub teams: Vec<TeamName>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    digest: KeyDigest,
    teams: Vec<TeamName>,
}

/// The API keys of all teams at one revision. Build an index for each published snapshot and look a
/// key up at each decision: when a request arrives, again when it leaves the queue, and for every
/// request on an open connection.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Entries by the first bytes of their digest, which reveal nothing about the key.
    buckets: BTreeMap<u64, Vec<KeyEntry>>,
}

impl KeyIndex {
    /// Indexes the keys of all teams. The order of the teams does not affect lookups.
    pub fn new(settings: &FleetSettings) -> Self {
        let mut index = Self::default();
        for team in settings.teams.values() {
            for digest in &team.keys {
                index.insert(*digest, &team.name);
            }
        }
        index
    }

    /// Looks up `digest`. Digests of one bucket are compared in constant time.
    pub fn find(&self, digest: &KeyDigest) -> KeyMatch<'_> {
        let mut found = KeyMatch::Unknown;
        for entry in self.buckets.get(&bucket_of(digest)).into_iter().flatten() {
            if bool::from(entry.digest.0.ct_eq(&digest.0)) {
                found = entry.key_match();
            }
        }
        found
    }

    /// The digests that more than one team lists.
    pub fn shared_keys(&self) -> Vec<SharedKey> {
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
    fn key_match(&self) -> KeyMatch<'_> {
        match self.teams.as_slice() {
            [team] => KeyMatch::Team(team),
            _ => KeyMatch::Shared,
        }
    }
}

/// The bucket of a digest: its first 8 bytes.
fn bucket_of(digest: &KeyDigest) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(prefix)
}
