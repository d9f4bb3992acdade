//! Tables of measurements over the product and its baselines.

pub mod backends;
pub mod forward;
pub mod limits;
