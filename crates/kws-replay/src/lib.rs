//! Replay of recorded traces against stated outcomes.
//!
//! A trace is a YAML file with a `feature`, what happens at which virtual time, and what must then
//! hold. The feature's [`TraceModel`] runs it on virtual time, with no socket and no real wait.

mod backends;
mod fleet;
pub mod limits;
pub mod mesh;
mod model;
mod report;
mod runner;

pub use backends::BackendsModel;
pub use fleet::{FleetModel, FleetNode, NodeFactory, NodeIdentity, TraceChecker};
pub use limits::LimitsModel;
pub use model::TraceModel;
pub use report::{ReplayError, ReplayFinding, ReplayReport};
pub use runner::{replay_file, replay_with};
