//! Freshness lease, membership and adoption of configuration revisions.
//!
//! The entry point is [`FleetView`], or [`MeshView`] where the platform lists no hosts. It takes
//! the platform's answers, peer messages and timer ticks, and returns the actions to carry out.
//! `docs/FRESHNESS.md` gives the rules and their rationale.

mod action;
mod checker;
mod keys;
mod lease;
mod members;
mod mesh;
mod owner_table;
mod protocol;
mod queries;
mod ranking;
mod readiness;
mod store;
mod view;

pub use action::{FleetAction, FleetCounters};
pub use checker::{CheckedTree, TreeChecker, TreeRejection, ValueOrder};
pub use keys::{KeyIndex, KeyMatch, SharedKey};
pub use lease::{FreshnessLease, LeaseTerms};
pub use members::{FleetMembers, HostIdentity, MemberState};
pub use mesh::MeshView;
pub use owner_table::{OwnerTable, SharedTask};
pub use protocol::FleetProtocol;
pub use ranking::{HostCandidate, rank_hosts};
pub use readiness::{Readiness, UnreadyReason};
pub use store::{ConfigStore, DeltaOutcome, StoreOutcome, TreeDelta};
pub use view::FleetView;
