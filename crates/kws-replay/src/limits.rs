//! Limits in virtual time: the loop that the tables share, and traces of rate and burst.

mod lease;
pub mod model;
mod outcome;
mod plan;
mod rule;
pub mod score;
mod trace;

pub use rule::LimitRule;

use crate::{ReplayError, ReplayFinding, TraceModel};
use kws_limits::LimitsLedger;
use kws_protocol::{HostName, RegionName};
use model::RuleMaker;
use std::sync::Arc;
use tokio::time::Instant;
use trace::LimitsTrace;

/// Makes the rule of a host that starts, for any number of runs.
pub type SharedMaker =
    Arc<dyn Fn(HostName, RegionName, Instant) -> Box<dyn LimitRule> + Send + Sync>;

/// Runs limits traces on hosts whose rule is made by the maker.
pub struct LimitsModel {
    maker: SharedMaker,
    slack: f64,
}

impl LimitsModel {
    /// A model whose hosts decide by what `maker` makes, to try other rules on the same traces.
    pub fn new(maker: SharedMaker) -> Self {
        Self { maker, slack: 0.0 }
    }

    /// Lets every window exceed its burst by so many requests: a rule that decides on another host
    /// than the one that is asked bunches its answers by the time that they travel.
    #[must_use]
    pub fn with_slack(mut self, slack: f64) -> Self {
        self.slack = slack;
        self
    }
}

impl Default for LimitsModel {
    fn default() -> Self {
        Self::new(Arc::new(|name, region, born| {
            Box::new(LimitsLedger::new(name, region, born))
        }))
    }
}

impl TraceModel for LimitsModel {
    fn feature(&self) -> &'static str {
        "limits"
    }

    fn replay(&self, text: &str) -> Result<Vec<ReplayFinding>, ReplayError> {
        let trace: LimitsTrace = serde_saphyr::from_str(text)
            .map_err(|error| ReplayError::Malformed(error.to_string()))?;
        let maker = Arc::clone(&self.maker);
        let maker: RuleMaker = Box::new(move |name, region, born| maker(name, region, born));
        match plan::planned(&trace, maker) {
            Ok(fleet) => Ok(outcome::findings(&trace, fleet, self.slack)),
            Err(unknown) => Ok(unknown),
        }
    }
}
