//! Membership and configuration values among hosts that discover each other through seeds.

use crate::{CenterName, HostName, RegionName, TreeRevision};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

/// A host of the fleet as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshMember {
    /// Name of the host, unique to each run of its daemon.
    pub name: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Data centre of the host.
    pub center: CenterName,
    /// Address on which the daemon accepts peer connections.
    pub address: SocketAddr,
    /// CPU capacity, in thousandths of a processor.
    pub millicores: u32,
}

/// A host's knowledge of the published values.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ValuesView {
    /// Revision at which the values were last confirmed; 0 for none.
    pub revision: TreeRevision,
    /// Digest of the values.
    pub digest: u64,
    /// Time since the platform last confirmed the values, to this host or to a host that it heard
    /// from; `None` if it never did.
    pub confirmed_age: Option<Duration>,
    /// Whether this host's own reads from the platform are failing.
    pub platform_unreachable: bool,
    /// Whether this host's values count as current by its own lease.
    pub current: bool,
    /// Digest of the values that this host retains although the platform has older ones; 0 for none. Hosts
    /// of versions that order revisions without the era don't tell it.
    pub retained: Option<u64>,
    /// Time since the platform came back in the era of `revision`, as far as this host knows; `None` in the
    /// first era.
    pub era_age: Option<Duration>,
}

/// A member and the time since any host last heard from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Member described.
    pub member: MeshMember,
    /// Time since any host last heard from it.
    pub age: Duration,
}

/// The time since any host last heard from a member, which is given by a hash of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HashedAge {
    /// Hash of the member's name: [`name_hash`](crate::name_hash).
    pub member: u64,
    /// Time since any host last heard from it.
    pub age: Duration,
}

/// A set of changed and removed configuration values.
#[derive(Debug, Default)]
pub struct ValuesDelta {
    /// Values added or changed, by key.
    pub set: Vec<(String, Arc<str>)>,
    /// Removed keys.
    pub removed: Vec<String>,
    /// Compressed encoding, computed once for all receivers.
    compressed: OnceLock<Vec<u8>>,
}

impl ValuesDelta {
    /// Creates a delta from the values set, by key, and the removed keys.
    pub fn new(set: Vec<(String, Arc<str>)>, removed: Vec<String>) -> Self {
        Self {
            set,
            removed,
            compressed: OnceLock::new(),
        }
    }

    /// Returns the total size of the keys and values, in bytes.
    pub(crate) fn content_bytes(&self) -> usize {
        let set = self.set.iter().map(|(key, value)| key.len() + value.len());
        set.sum::<usize>() + self.removed.iter().map(String::len).sum::<usize>()
    }

    /// Returns the compressed encoding, computed by `compress` on the first call.
    pub(crate) fn compressed(&self, compress: impl FnOnce(&Self) -> Vec<u8>) -> &[u8] {
        self.compressed.get_or_init(|| compress(self))
    }
}

impl PartialEq for ValuesDelta {
    fn eq(&self, other: &Self) -> bool {
        self.set == other.set && self.removed == other.removed
    }
}

impl Eq for ValuesDelta {}

/// A value that a host has in force in place of the platform's, after the platform has come back from an
/// older copy of its data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetainedValue {
    /// A server had left that the copy shows in service.
    Left {
        /// Key of its value.
        key: String,
        /// Start time of the last server under the key in Unix milliseconds.
        started_at_ms: u64,
        /// Time since a host learned that the server had left.
        age: Duration,
        /// How long the copy isn't believed yet.
        remaining: Duration,
    },
    /// The copy has an older version of the value.
    Newer {
        /// Its key.
        key: String,
        /// The newer version.
        text: Arc<str>,
    },
}

impl RetainedValue {
    /// Key of the value.
    pub fn key(&self) -> &str {
        match self {
            Self::Left { key, .. } | Self::Newer { key, .. } => key,
        }
    }

    /// Size of its text, in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Left { .. } => 0,
            Self::Newer { text, .. } => text.len(),
        }
    }
}

/// Messages of the mesh: heartbeats, membership and configuration values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MeshMessage {
    /// Announces that the sender is alive, and its state.
    Heartbeat {
        /// Echoed in the reply, so that ages are measured from when the heartbeat was sent.
        nonce: u64,
        /// State of the sender.
        view: ValuesView,
        /// Digest of the names of all members known to the sender.
        members_digest: u64,
        /// Number of these members; 0 if the sender's version doesn't tell it.
        member_count: u32,
    },
    /// Reply to a heartbeat.
    Reply {
        /// Nonce of the heartbeat.
        nonce: u64,
        /// State of the sender.
        view: ValuesView,
        /// Digest of the names of all members known to the sender.
        members_digest: u64,
        /// Number of these members; 0 if the sender's version doesn't tell it.
        member_count: u32,
        /// Time since each of these members was last heard from, ordered by member name; empty
        /// unless the heartbeat's digest is the same.
        ages: Vec<Duration>,
        /// The same by member, if the digests differ.
        hashed_ages: Vec<HashedAge>,
    },
    /// Members known to the sender, including itself: all, or those that it added lately.
    Members(Vec<MemberReport>),
    /// Announces that the sender is shutting down and leaves the mesh.
    Leave,
    /// Requests the changes since the values with a given digest.
    Fetch {
        /// Digest of the values held by the requester; 0 for none.
        held: u64,
        /// Digest of the versions that the host retains although the platform has older ones; 0 for none.
        newer: u64,
    },
    /// Delivers the values that changed.
    Delta {
        /// Digest of the values to which the delta applies; 0 for a full copy.
        base: u64,
        /// Revision of the values after the delta is applied.
        revision: TreeRevision,
        /// Digest of the values after the delta is applied.
        digest: u64,
        /// Changed values; shared, since they are sent to many hosts.
        values: Arc<ValuesDelta>,
        /// What the sender retains beyond these values: with full copies, and with the reply to a request
        /// for nothing else.
        retained: Vec<RetainedValue>,
        /// Time since the platform came back from an older copy, as far as the sender knows; `None` if it
        /// hasn't.
        era_age: Option<Duration>,
    },
}
