//! Gray failure detection, ejection and the capacity floor.
//!
//! Each host has one [`HealthJudge`], owned by one thread. From what the host and its peers observe
//! at the backend servers it decides how each server may be used. It opens no socket and reads no
//! clock.

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
