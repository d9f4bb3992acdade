//! Wire types of health digests.

use crate::{HealthMessage, ServerDigest, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireDigest {
    service: ServiceName,
    server: ServerName,
    answers: u32,
    bad: u32,
    median_us: u64,
    in_flight: u32,
    draining: bool,
    ejected: bool,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireHealth {
    Digest(Vec<WireDigest>),
}

impl From<&ServerDigest> for WireDigest {
    fn from(digest: &ServerDigest) -> Self {
        Self {
            service: digest.service.clone(),
            server: digest.server.clone(),
            answers: digest.answers,
            bad: digest.bad,
            median_us: digest.median.as_micros() as u64,
            in_flight: digest.in_flight,
            draining: digest.draining,
            ejected: digest.ejected,
        }
    }
}

impl From<WireDigest> for ServerDigest {
    fn from(wire: WireDigest) -> Self {
        Self {
            service: wire.service,
            server: wire.server,
            answers: wire.answers,
            bad: wire.bad,
            median: Duration::from_micros(wire.median_us),
            in_flight: wire.in_flight,
            draining: wire.draining,
            ejected: wire.ejected,
        }
    }
}

impl From<&HealthMessage> for WireHealth {
    fn from(message: &HealthMessage) -> Self {
        match message {
            HealthMessage::Digest(digests) => {
                Self::Digest(digests.iter().map(Into::into).collect())
            }
        }
    }
}

impl From<WireHealth> for HealthMessage {
    fn from(wire: WireHealth) -> Self {
        match wire {
            WireHealth::Digest(digests) => {
                Self::Digest(digests.into_iter().map(Into::into).collect())
            }
        }
    }
}
