//! Wire types of the peer messages; kept apart from the domain types so that each may change alone.

mod config;
mod envelope;
mod health;
mod lease;
mod loan;
mod mesh;
mod ticket;

pub(crate) use envelope::{WireEnvelope, WireError};
