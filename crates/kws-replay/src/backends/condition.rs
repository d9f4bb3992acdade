//! How servers answer at a moment of the trace.

use super::trace::{BackendsTrace, SickStep, TraceStep, names_member};
use std::time::Duration;

/// What one request meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServerCondition {
    /// The share of errors, between 0 and 1.
    pub(super) errors: f64,
    /// By what factor the answer takes longer.
    pub(super) slower: f64,
    /// Whether the answer says that the server drains.
    pub(super) draining: bool,
}

/// A host or a server with its data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedName<'a> {
    pub(super) center: &'a str,
    pub(super) name: &'a str,
}

impl PlacedName<'_> {
    /// Whether one of `names` stands for it.
    pub(super) fn is_in(self, names: &[String]) -> bool {
        names_member(names, self.center, self.name)
    }
}

/// What a request of `host` at `server` meets at `at`.
pub(super) fn server_condition(
    trace: &BackendsTrace,
    host: PlacedName<'_>,
    server: PlacedName<'_>,
    at: Duration,
) -> ServerCondition {
    let mut condition = ServerCondition {
        errors: 0.0,
        slower: 1.0,
        draining: false,
    };
    let now = at.as_secs_f64();
    for event in trace.events.iter().filter(|event| event.value.at <= now) {
        match &event.value.step {
            TraceStep::Sick(sick) if meets(sick, event.value.at, host, server, now) => {
                condition.errors = condition.errors.max(sick.errors / 100.0);
                condition.slower = condition.slower.max(sick.slower);
            }
            TraceStep::Drain(servers) => condition.draining |= server.is_in(servers),
            TraceStep::Sick(_) | TraceStep::Leaving(_) | TraceStep::Floor(_) => {}
        }
    }
    condition
}

fn meets(
    sick: &SickStep,
    begun: f64,
    host: PlacedName<'_>,
    server: PlacedName<'_>,
    now: f64,
) -> bool {
    now < begun + sick.seconds && host.is_in(&sick.hosts) && server.is_in(&sick.servers)
}
