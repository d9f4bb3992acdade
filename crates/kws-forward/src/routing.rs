//! A settings snapshot with its lookup indexes, built once for all workers when the snapshot
//! becomes active.

use crate::route::RouteTable;
use kws_membership::KeyIndex;
use kws_protocol::{FleetSnapshot, RouteSettings};
use std::sync::Arc;

/// A snapshot indexed by keys and routes.
#[derive(Debug)]
pub struct RoutingView {
    /// The snapshot.
    pub snapshot: Arc<FleetSnapshot>,
    /// Index of the teams by the digests of their keys.
    pub keys: Arc<KeyIndex>,
    routes: Arc<RouteTable>,
}

impl RoutingView {
    /// Builds the indexes of a snapshot.
    pub fn new(snapshot: Arc<FleetSnapshot>) -> Self {
        Self {
            keys: Arc::new(KeyIndex::new(&snapshot.settings)),
            routes: Arc::new(RouteTable::new(&snapshot.settings)),
            snapshot,
        }
    }

    /// The view of a newer snapshot. It shares the indexes if the settings are the same.
    #[must_use]
    pub fn with_snapshot(&self, snapshot: Arc<FleetSnapshot>) -> Self {
        if !Arc::ptr_eq(&self.snapshot.settings, &snapshot.settings) {
            return Self::new(snapshot);
        }
        Self {
            snapshot,
            keys: Arc::clone(&self.keys),
            routes: Arc::clone(&self.routes),
        }
    }

    /// Returns the route for a request: routes of the host name take precedence over routes for all
    /// host names, then the longest path prefix wins.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Option<&RouteSettings> {
        let name = self.routes.find(host, path, method)?;
        self.snapshot.settings.routes.get(name)
    }
}
