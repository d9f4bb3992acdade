//! Traces of freshness: lease, membership, configuration and withdrawn keys.

mod bus;
mod checker;
mod host;
mod links;
mod names;
mod node;
mod outcome;
mod platform;
mod trace;

pub use checker::TraceChecker;
pub use node::{FleetNode, NodeFactory, NodeIdentity};

use crate::{ReplayError, ReplayFinding, TraceModel};
use bus::FleetBus;
use trace::FleetTrace;

/// Runs fleet traces on hosts that the factory makes.
pub struct FleetModel {
    factory: Box<NodeFactory>,
}

impl FleetModel {
    /// A model whose hosts decide by what `factory` makes, to try other rules on the same traces.
    pub fn new(factory: Box<NodeFactory>) -> Self {
        Self { factory }
    }
}

impl Default for FleetModel {
    fn default() -> Self {
        Self::new(Box::new(node::fleet_view))
    }
}

impl TraceModel for FleetModel {
    fn feature(&self) -> &'static str {
        "fleet"
    }

    fn replay(&self, text: &str) -> Result<Vec<ReplayFinding>, ReplayError> {
        let trace: FleetTrace = serde_saphyr::from_str(text)
            .map_err(|error| ReplayError::Malformed(error.to_string()))?;
        let unknown = names::unknown_names(&trace);
        if !unknown.is_empty() {
            return Ok(unknown);
        }
        Ok(FleetBus::new(&trace, &*self.factory).run())
    }
}
