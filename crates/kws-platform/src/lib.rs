//! Readers of what the platform publishes.
