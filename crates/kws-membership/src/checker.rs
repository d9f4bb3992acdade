//! The check of published values, passed in so that this crate knows no file format.

use kws_protocol::{FleetSettings, HostList, PublishedValues};
use thiserror::Error;

/// The settings and the host list that published values resolve to.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedTree {
    /// The operators' tree, resolved.
    pub settings: FleetSettings,
    /// The platform's list.
    pub hosts: HostList,
}

/// Why published values are refused whole.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{findings}")]
pub struct TreeRejection {
    /// All findings as one text.
    pub findings: String,
    /// The host list, if that alone is sound: it shows a host that holds nothing its peers.
    pub hosts: Option<HostList>,
}

/// Resolves published values, or refuses them; the same values give the same verdict on every host.
pub trait TreeChecker: Send {
    /// Checks `values` whole.
    ///
    /// # Errors
    /// [`TreeRejection`] with all findings.
    fn check(&self, values: &PublishedValues) -> Result<CheckedTree, TreeRejection>;
}
