//! Tables of measurements over the product and its baselines.

pub mod fleet;
