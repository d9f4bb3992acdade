//! Random orders of events in a fleet whose hosts discover each other, before a store that comes back
//! from older copies of its data; and the promises that must hold meanwhile.

mod backends;
mod checks;
mod host;
mod links;
mod operator;
mod plan;
mod store;
mod values;
mod world;

pub use checks::BrokenPromise;
pub use plan::OrderOptions;
pub use world::{OrderReport, run_order};

use std::time::Duration;

/// `configApply`: the time from the confirmation of a configuration until it is in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// `drain`: the time from the confirmation that a server leaves until it gets no further request.
const DRAIN: Duration = Duration::from_millis(2_500);
/// The time from the confirmation of a server's entry until the server is used: `configApply` and 2 s.
const JOIN: Duration = Duration::from_millis(4_500);
/// `contact`: hosts are in touch when nothing has been impaired for this long.
const CONTACT: Duration = Duration::from_secs(4);
/// `heartbeat`: how often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time after the store's return within which entries of living servers are written again.
const ENTRY_RETURN: Duration = Duration::from_secs(2);
/// The store removes an entry after three heartbeats of silence.
const ENTRY_EXPIRY: Duration = Duration::from_millis(4_500);
/// The time without any event after which all hosts hold what the store holds.
const CALM: Duration = Duration::from_secs(10);
/// The lease of the hosts.
const LEASE: Duration = Duration::from_secs(3);

/// A duration in seconds for traces.
fn seconds(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64())
}
