//! The validation of published values. The caller supplies it, so that this crate depends on no
//! file format.

use kws_protocol::{FleetSettings, HostList, PublishedValues};
use std::{sync::Arc, time::Duration};
use thiserror::Error;

/// The expiry of registrations where the platform names none.
const DEFAULT_REGISTRATION_EXPIRY: Duration = Duration::from_millis(4_500);

/// The settings and the host list decoded from published values.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedTree {
    /// The operators' settings.
    pub settings: Arc<FleetSettings>,
    /// The platform's host list.
    pub hosts: HostList,
}

/// The reason why published values are rejected as a whole.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{findings}")]
pub struct TreeRejection {
    /// All findings of the check, as one text.
    pub findings: String,
    /// The host list, if it is valid by itself: a host without an active snapshot finds its peers
    /// in it.
    pub hosts: Option<HostList>,
}

/// What a value says about its own order. It counts when the platform has come back from an older copy
/// of its data, in which a value may be older than one that was read before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueOrder {
    /// The value of a server that writes it again and again while it runs.
    Registration {
        /// Start time of the server in Unix milliseconds; 0 if unknown.
        started_at_ms: u64,
        /// Whether the server accepts new requests.
        in_service: bool,
    },
    /// Only the revision orders the value.
    Unordered,
    /// A value with a version. A higher one replaces a lower one.
    Versioned(u64),
}

/// Decodes and validates published values. The result must depend on the values only, so that all
/// hosts decide alike.
pub trait TreeChecker: Send {
    /// Checks a full copy of the values.
    ///
    /// # Errors
    /// [`TreeRejection`] with all findings, if `values` are not valid.
    fn check(&self, values: &PublishedValues) -> Result<CheckedTree, TreeRejection>;

    /// What a value says about its own order, beside the revision at which it was read.
    fn order(&self, key: &str, text: &str) -> ValueOrder {
        let _ = (key, text);
        ValueOrder::Unordered
    }

    /// How long after a server's last write the platform removes its registration.
    fn registration_expiry(&self) -> Duration {
        DEFAULT_REGISTRATION_EXPIRY
    }
}
