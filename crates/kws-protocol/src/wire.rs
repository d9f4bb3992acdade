//! Wire types of the peer messages, separate from the domain types so that each can change
//! independently.

mod config;
mod envelope;
mod health;
mod lease;
mod loan;
mod mesh;
mod ticket;

pub(crate) use envelope::{WireEnvelope, WireError};
