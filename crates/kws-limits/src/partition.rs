//! Partitions of the teams: all teams of a partition have the same owner, so that each host sends
//! its token requests to few others.

use kws_protocol::{TeamName, rendezvous_score};

/// Number of partitions.
pub const PARTITION_COUNT: u8 = 32;

/// A part of the teams.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TokenPartition(u8);

impl TokenPartition {
    /// The partition of `team`, which is the same on every host.
    pub fn of(team: &TeamName) -> Self {
        let hash = rendezvous_score("tokens", team.as_str());
        Self((hash % u64::from(PARTITION_COUNT)) as u8)
    }

    /// All partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }

    /// The partition's index, less than [`PARTITION_COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The name by which the partition's owner is chosen.
    pub fn task_name(self) -> String {
        format!("tokens-{}", self.0)
    }
}
