//! How a feature takes part in replay.

use crate::{ReplayError, ReplayFinding};

/// Runs the traces of one feature.
pub trait TraceModel {
    /// The `feature` of the traces that this model runs.
    fn feature(&self) -> &str;

    /// Runs the trace written in `text` and returns each outcome that did not hold, in the order of
    /// the file. The file's name is added by the caller.
    ///
    /// # Errors
    /// [`ReplayError::Malformed`] when the text is not a trace of this feature.
    fn replay(&self, text: &str) -> Result<Vec<ReplayFinding>, ReplayError>;
}
