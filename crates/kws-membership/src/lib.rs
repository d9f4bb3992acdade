//! Freshness lease, membership and adoption of configuration revisions.
//!
//! [`FleetView`] is the one entry: it takes answers of the platform, messages of peers and ticks,
//! and returns what to send, publish and report. `docs/FRESHNESS.md` gives the rules and why they
//! hold.

mod action;
mod checker;
mod keys;
mod lease;
mod members;
mod questions;
mod readiness;
mod store;
mod view;

pub use action::{FleetAction, FleetCounters};
pub use checker::{CheckedTree, TreeChecker, TreeRejection};
pub use keys::{KeyIndex, KeyMatch, SharedKey};
pub use lease::{FreshnessLease, LeaseTerms};
pub use members::{FleetMembers, HostIdentity, MemberState};
pub use readiness::{Readiness, UnreadyReason};
pub use store::{ConfigStore, DeltaOutcome, StoreOutcome, TreeDelta};
pub use view::FleetView;
