//! One snapshot with its lookups, made once for all workers when the snapshot comes into force.

use crate::route::RouteTable;
use kws_membership::KeyIndex;
use kws_protocol::{FleetSnapshot, RouteSettings};
use std::sync::Arc;

/// A snapshot, its keys and its routes.
#[derive(Debug)]
pub struct RoutingView {
    /// The snapshot.
    pub snapshot: Arc<FleetSnapshot>,
    /// The teams by the digests of their keys.
    pub keys: KeyIndex,
    routes: RouteTable,
}

impl RoutingView {
    /// Indexes a snapshot.
    pub fn new(snapshot: Arc<FleetSnapshot>) -> Self {
        Self {
            keys: KeyIndex::new(&snapshot.settings),
            routes: RouteTable::new(&snapshot.settings),
            snapshot,
        }
    }

    /// The route for a request: one bound to the host name wins over one for every host, then the
    /// longest path prefix wins.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Option<&RouteSettings> {
        let name = self.routes.find(host, path, method)?;
        self.snapshot.settings.routes.get(name)
    }
}
