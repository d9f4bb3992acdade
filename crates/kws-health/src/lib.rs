//! Gray failure judgement, ejection and the capacity floor.
//!
//! One [`HealthJudge`] a host, owned by one thread. It takes what the host and its peers saw of the
//! backend servers and says how each server may be used; it opens no socket and reads no clock.

mod evidence;
mod floor;
mod judge;
mod outcome;
mod phase;
mod server;
mod service;
mod standing;
mod verdict;

pub use judge::HealthJudge;
pub use outcome::{AnswerOutcome, LoadReport};
pub use standing::{ServerStanding, StandingBar, StandingSource};
