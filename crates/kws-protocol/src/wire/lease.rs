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
    Question {
        nonce: u64,
        view: WireRevisionView,
    },
    Answer {
        nonce: u64,
        view: WireRevisionView,
        counts: bool,
    },
}

impl From<RevisionView> for WireRevisionView {
    fn from(view: RevisionView) -> Self {
        Self {
            revision: view.revision.0,
            digest: view.digest,
            // Rounded up: an age may be overstated, never understated.
            platform_age_ms: view.confirmed_age.as_micros().div_ceil(1_000) as u64,
        }
    }
}

impl From<WireRevisionView> for RevisionView {
    fn from(wire: WireRevisionView) -> Self {
        Self {
            revision: TreeRevision(wire.revision),
            digest: wire.digest,
            confirmed_age: Duration::from_millis(wire.platform_age_ms),
        }
    }
}

impl From<&LeaseMessage> for WireLease {
    fn from(message: &LeaseMessage) -> Self {
        match *message {
            LeaseMessage::Question { nonce, view } => Self::Question {
                nonce,
                view: view.into(),
            },
            LeaseMessage::Answer {
                nonce,
                view,
                counts,
            } => Self::Answer {
                nonce,
                view: view.into(),
                counts,
            },
        }
    }
}

impl From<WireLease> for LeaseMessage {
    fn from(wire: WireLease) -> Self {
        match wire {
            WireLease::Question { nonce, view } => Self::Question {
                nonce,
                view: view.into(),
            },
            WireLease::Answer {
                nonce,
                view,
                counts,
            } => Self::Answer {
                nonce,
                view: view.into(),
                counts,
            },
        }
    }
}
