//! Wire types of configuration distribution.

use crate::{ConfigMessage, TreeRevision};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireConfig {
    Fetch {
        since: u64,
    },
    Delta {
        base: u64,
        revision: u64,
        digest: u64,
        set: Vec<(String, Arc<str>)>,
        removed: Vec<String>,
    },
}

impl From<&ConfigMessage> for WireConfig {
    fn from(message: &ConfigMessage) -> Self {
        match message {
            ConfigMessage::Fetch { since } => Self::Fetch {
                since: since.to_wire(),
            },
            ConfigMessage::Delta {
                base,
                revision,
                digest,
                set,
                removed,
            } => Self::Delta {
                base: base.to_wire(),
                revision: revision.to_wire(),
                digest: *digest,
                set: set.clone(),
                removed: removed.clone(),
            },
        }
    }
}

impl From<WireConfig> for ConfigMessage {
    fn from(wire: WireConfig) -> Self {
        match wire {
            WireConfig::Fetch { since } => Self::Fetch {
                since: TreeRevision::from_wire(since),
            },
            WireConfig::Delta {
                base,
                revision,
                digest,
                set,
                removed,
            } => Self::Delta {
                base: TreeRevision::from_wire(base),
                revision: TreeRevision::from_wire(revision),
                digest,
                set,
                removed,
            },
        }
    }
}
