//! Gray failure detection, ejection and the capacity floor.
//!
//! Each host has one [`HealthMonitor`], owned by one thread. From what the host and its peers
//! observe at the backend servers it decides how each server may be used. It opens no socket and
//! reads no clock.

mod availability;
mod detection;
mod evidence;
mod floor;
mod lifecycle;
mod monitor;
mod outcome;
mod server;
mod service;

pub use availability::{AvailabilitySource, ServerAvailability, UnavailableReason};
pub use monitor::HealthMonitor;
pub use outcome::{LoadReport, ResponseOutcome};
