//! Lookup of keys by their digests.

use kws_protocol::{FleetSnapshot, KeyDigest, TeamName};
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};
use subtle::ConstantTimeEq;

/// The teams of one snapshot by the digests of their keys.
#[derive(Debug)]
struct KeyIndex {
    snapshot: Arc<FleetSnapshot>,
    teams: HashMap<[u8; 8], Vec<(KeyDigest, TeamName)>>,
}

impl KeyIndex {
    fn new(snapshot: Arc<FleetSnapshot>) -> Self {
        let mut teams: HashMap<[u8; 8], Vec<_>> = HashMap::new();
        for team in snapshot.settings.teams.values() {
            for digest in &team.keys {
                let bucket = teams.entry(bucket_of(*digest)).or_default();
                bucket.push((*digest, team.name.clone()));
            }
        }
        Self { snapshot, teams }
    }

    /// Compares with the whole bucket, each digest in constant time.
    fn team(&self, digest: KeyDigest) -> Option<&TeamName> {
        let bucket = self.teams.get(&bucket_of(digest))?;
        bucket.iter().fold(None, |found, (known, team)| {
            if bool::from(known.0.ct_eq(&digest.0)) {
                Some(team)
            } else {
                found
            }
        })
    }
}

fn bucket_of(digest: KeyDigest) -> [u8; 8] {
    std::array::from_fn(|at| digest.0[at])
}

/// Looks keys up; the index is made anew when the snapshot changes.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    index: RefCell<Option<Rc<KeyIndex>>>,
}

impl KeyTable {
    /// The team of a key in `snapshot`.
    pub(crate) fn team(
        &self,
        snapshot: &Arc<FleetSnapshot>,
        digest: KeyDigest,
    ) -> Option<TeamName> {
        self.index_of(snapshot).team(digest).cloned()
    }

    fn index_of(&self, snapshot: &Arc<FleetSnapshot>) -> Rc<KeyIndex> {
        let mut cached = self.index.borrow_mut();
        if let Some(index) = cached.as_ref()
            && Arc::ptr_eq(&index.snapshot, snapshot)
        {
            return Rc::clone(index);
        }
        let index = Rc::new(KeyIndex::new(Arc::clone(snapshot)));
        *cached = Some(Rc::clone(&index));
        index
    }
}
