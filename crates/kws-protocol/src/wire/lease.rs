//! Wire types of the freshness lease.

use crate::{LeaseMessage, RevisionView, TreeRevision};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct WireRevisionView {
    revision: u64,
    digest: u64,
    platform_age_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireLease {
    #[serde(rename = "Question")]
    Query { nonce: u64, view: WireRevisionView },
    #[serde(rename = "Answer")]
    Reply {
        nonce: u64,
        view: WireRevisionView,
        #[serde(rename = "counts")]
        voting: bool,
    },
}

impl From<RevisionView> for WireRevisionView {
    fn from(view: RevisionView) -> Self {
        Self {
            revision: view.revision.to_wire(),
            digest: view.digest,
            // Rounded up: an age may be overstated, never understated.
            platform_age_ms: view.confirmed_age.as_micros().div_ceil(1_000) as u64,
        }
    }
}

impl From<WireRevisionView> for RevisionView {
    fn from(wire: WireRevisionView) -> Self {
        Self {
            revision: TreeRevision::from_wire(wire.revision),
            digest: wire.digest,
            confirmed_age: Duration::from_millis(wire.platform_age_ms),
        }
    }
}

impl From<&LeaseMessage> for WireLease {
    fn from(message: &LeaseMessage) -> Self {
        match *message {
            LeaseMessage::Query { nonce, view } => Self::Query {
                nonce,
                view: view.into(),
            },
            LeaseMessage::Reply {
                nonce,
                view,
                voting,
            } => Self::Reply {
                nonce,
                view: view.into(),
                voting,
            },
        }
    }
}

impl From<WireLease> for LeaseMessage {
    fn from(wire: WireLease) -> Self {
        match wire {
            WireLease::Query { nonce, view } => Self::Query {
                nonce,
                view: view.into(),
            },
            WireLease::Reply {
                nonce,
                view,
                voting,
            } => Self::Reply {
                nonce,
                view: view.into(),
                voting,
            },
        }
    }
}
