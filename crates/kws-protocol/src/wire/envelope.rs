//! The versioned envelope around every message.

use super::{
    config::WireConfig, health::WireHealth, lease::WireLease, loan::WireLoan, mesh::WireMesh,
    ticket::WireTicket,
};
use crate::PeerMessage;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the wire format.
const WIRE_VERSION: u8 = 1;

/// Errors of a frame that was decoded but does not hold a valid message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The sender uses another protocol version.
    #[error("unsupported protocol version {0}: this daemon supports version {WIRE_VERSION}")]
    UnsupportedVersion(u8),
    /// A field holds a value that is out of range or cannot be decoded.
    #[error("invalid value in field `{field}`")]
    InvalidField {
        /// Name of the field.
        field: &'static str,
    },
}

/// A message with the version of its encoding.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireEnvelope {
    v: u8,
    m: WireMessage,
}

#[derive(Debug, Deserialize, Serialize)]
enum WireMessage {
    Config(WireConfig),
    Health(WireHealth),
    Lease(WireLease),
    Loan(WireLoan),
    Mesh(WireMesh),
    Ticket(WireTicket),
}

impl From<&PeerMessage> for WireEnvelope {
    fn from(message: &PeerMessage) -> Self {
        let m = match message {
            PeerMessage::Config(config) => WireMessage::Config(config.into()),
            PeerMessage::Health(health) => WireMessage::Health(health.into()),
            PeerMessage::Lease(lease) => WireMessage::Lease(lease.into()),
            PeerMessage::Loan(loan) => WireMessage::Loan(loan.into()),
            PeerMessage::Mesh(mesh) => WireMessage::Mesh(mesh.into()),
            PeerMessage::Ticket(ticket) => WireMessage::Ticket(ticket.into()),
        };
        Self { v: WIRE_VERSION, m }
    }
}

impl TryFrom<WireEnvelope> for PeerMessage {
    type Error = WireError;

    fn try_from(envelope: WireEnvelope) -> Result<Self, WireError> {
        if envelope.v != WIRE_VERSION {
            return Err(WireError::UnsupportedVersion(envelope.v));
        }
        Ok(match envelope.m {
            WireMessage::Config(config) => Self::Config(config.into()),
            WireMessage::Health(health) => Self::Health(health.into()),
            WireMessage::Lease(lease) => Self::Lease(lease.into()),
            WireMessage::Loan(loan) => Self::Loan(loan.try_into()?),
            WireMessage::Mesh(mesh) => Self::Mesh(mesh.try_into()?),
            WireMessage::Ticket(ticket) => Self::Ticket(ticket.try_into()?),
        })
    }
}
