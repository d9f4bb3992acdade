//! Tables of measurements over the product and its baselines.

pub mod backends;
pub mod capacity;
pub mod control;
pub mod daemons;
pub mod fleet;
pub mod forward;
pub mod limits;
pub mod placing;
