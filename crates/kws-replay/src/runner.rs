//! Picks the model of a trace and runs it.

use crate::{BackendsModel, FleetModel, LimitsModel, ReplayError, ReplayReport, TraceModel};
use serde::Deserialize;
use std::{fs, path::Path};

/// The part of every trace that names its model.
#[derive(Debug, Deserialize)]
struct TraceHeader {
    feature: String,
}

/// Runs the trace in the file at `path` against the decisions of this build.
///
/// # Errors
/// Any [`ReplayError`]; an outcome that does not hold is no error but a finding.
pub fn replay_file(path: &Path) -> Result<ReplayReport, ReplayError> {
    let models: [&dyn TraceModel; 3] = [
        &BackendsModel,
        &FleetModel::default(),
        &LimitsModel::default(),
    ];
    replay_with(path, &models)
}

/// Runs the trace in the file at `path` by the one of `models` that its feature names.
///
/// # Errors
/// Any [`ReplayError`].
pub fn replay_with(path: &Path, models: &[&dyn TraceModel]) -> Result<ReplayReport, ReplayError> {
    let text = fs::read_to_string(path).map_err(|error| ReplayError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    let header: TraceHeader =
        serde_saphyr::from_str(&text).map_err(|error| ReplayError::Malformed(error.to_string()))?;
    let model = models
        .iter()
        .find(|model| model.feature() == header.feature)
        .ok_or(ReplayError::UnknownFeature(header.feature))?;
    Ok(ReplayReport::new(path, model.replay(&text)?))
}
