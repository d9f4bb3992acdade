//! One retained value.

use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// How long before the end of a value's time the platform must have confirmed its values: the time that
/// readers need to see what was written.
const CONFIRMATION_LAG: Duration = Duration::from_millis(500);

/// What is in force in place of a value of the platform, or although it has none.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RetainedState {
    /// The server had left: the value counts as missing while it is as the copy has it.
    Left {
        /// Start time of the last server under the key in Unix milliseconds.
        started_at_ms: u64,
        /// The value in the copy.
        copied: Option<Arc<str>>,
        /// When a host learned that the server had left.
        learned: Instant,
        until: Instant,
    },
    /// The platform lacks the value, or has that of an earlier server under the key.
    Missing {
        text: Arc<str>,
        /// Start time of the server in Unix milliseconds.
        started_at_ms: u64,
        until: Instant,
    },
    /// The copy has an older version.
    Newer { text: Arc<str>, version: u64 },
    /// This host can't tell whether the server in the copy has left or has joined unseen.
    Unconfirmed { copied: Arc<str>, until: Instant },
}

impl RetainedState {
    /// When its time passes, if the platform must confirm its values by then.
    pub(super) fn until(&self) -> Option<Instant> {
        match self {
            Self::Left { until, .. } | Self::Missing { until, .. } => Some(*until),
            Self::Newer { .. } | Self::Unconfirmed { .. } => None,
        }
    }

    /// Whether its time has passed. It doesn't while the platform can't be read: nobody knows then which
    /// entries have been written again or removed.
    pub(super) fn is_due(&self, confirmed: Instant, now: Instant) -> bool {
        if let Self::Unconfirmed { until, .. } = self {
            // The report of another host doesn't depend on the platform.
            return now >= *until;
        }
        self.until()
            .is_some_and(|until| now >= until && confirmed + CONFIRMATION_LAG >= until)
    }

    /// Whether the state `other`, which another host retains, replaces this one.
    pub(super) fn is_replaced_by(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Newer { version, .. }, Self::Newer { version: other, .. }) => version < other,
            (
                Self::Missing {
                    started_at_ms: held,
                    ..
                },
                Self::Left {
                    started_at_ms: left,
                    ..
                },
            ) => held <= left,
            (Self::Unconfirmed { .. }, Self::Left { .. }) => true,
            _ => false,
        }
    }
}
