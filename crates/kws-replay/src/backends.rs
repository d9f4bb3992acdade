//! Traces of backend servers: gray failures, ejection, the floor, draining.

mod condition;
mod fleet;
mod outcome;
mod settings;
mod trace;

use crate::{ReplayError, ReplayFinding, TraceModel};
use fleet::BackendsFleet;
use trace::BackendsTrace;

/// Runs traces of backend servers on the judge and the dispatcher of this build.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendsModel;

impl TraceModel for BackendsModel {
    fn feature(&self) -> &'static str {
        "backends"
    }

    fn replay(&self, text: &str) -> Result<Vec<ReplayFinding>, ReplayError> {
        let trace: BackendsTrace = serde_saphyr::from_str(text)
            .map_err(|error| ReplayError::Malformed(error.to_string()))?;
        if let Some(name) = trace.unknown_name() {
            return Err(ReplayError::Malformed(format!("unknown name `{name}`")));
        }
        Ok(BackendsFleet::new(&trace).run())
    }
}
