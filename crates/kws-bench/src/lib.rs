//! Tables of measurements over the product and its baselines.

pub mod backends;
pub mod capacity;
pub mod fleet;
pub mod limits;
