//! The responses of a service's servers that one host observed in the last seconds.

use kws_protocol::{CenterName, ServerName};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// The age up to which evidence counts.
pub(crate) const EVIDENCE_WINDOW: Duration = Duration::from_secs(10);

/// Batches kept for one server of one host.
const MAX_ENTRIES: usize = 512;

/// Responses of one server that were recorded together.
#[derive(Clone, Copy, Debug)]
struct ResponseBatch {
    at: Instant,
    responses: u32,
    failures: u32,
    /// The latency of complete or late responses; `None` if there were only errors.
    latency: Option<Duration>,
}

/// The responses of one server within the evidence window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseWindow {
    batches: VecDeque<ResponseBatch>,
}

/// The totals of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ResponseSummary {
    pub(crate) responses: u32,
    pub(crate) failures: u32,
    pub(crate) median_latency: Option<Duration>,
}

impl ResponseSummary {
    /// The share of bad responses, between 0 and 1.
    pub(crate) fn bad_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.responses.max(1))
    }
}

impl ResponseWindow {
    /// Adds `responses` responses, of which `failures` are failures.
    pub(crate) fn add(
        &mut self,
        responses: u32,
        failures: u32,
        latency: Option<Duration>,
        now: Instant,
    ) {
        if self.batches.len() == MAX_ENTRIES {
            self.batches.pop_front();
        }
        self.batches.push_back(ResponseBatch {
            at: now,
            responses,
            failures: failures.min(responses),
            latency,
        });
    }

    /// Removes batches that are older than the window.
    pub(crate) fn prune(&mut self, now: Instant) {
        while self
            .batches
            .front()
            .is_some_and(|batch| now.duration_since(batch.at) > EVIDENCE_WINDOW)
        {
            self.batches.pop_front();
        }
    }

    /// The totals of the batches after `since`, or of all batches.
    pub(crate) fn summary(&self, since: Option<Instant>) -> ResponseSummary {
        let recent = || {
            self.batches
                .iter()
                .filter(move |batch| since.is_none_or(|since| batch.at > since))
        };
        let mut latencies: Vec<(Duration, u32)> = recent()
            .filter_map(|batch| batch.latency.map(|latency| (latency, batch.responses)))
            .collect();
        ResponseSummary {
            responses: recent().map(|batch| batch.responses).sum(),
            failures: recent().map(|batch| batch.failures).sum(),
            median_latency: weighted_median(&mut latencies),
        }
    }
}

/// The lower median, with each latency counted as often as its weight.
fn weighted_median(latencies: &mut [(Duration, u32)]) -> Option<Duration> {
    latencies.sort_unstable();
    let total: u32 = latencies.iter().map(|(_, weight)| weight).sum();
    let mut passed = 0;
    for (latency, weight) in latencies.iter() {
        passed += weight;
        if passed * 2 >= total {
            return Some(*latency);
        }
    }
    None
}

/// One host's evidence on the servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct HostEvidence {
    /// The host's data centre; `None` until the platform's list contains the host.
    pub(crate) center: Option<CenterName>,
    /// When the host was last heard from.
    pub(crate) last_heard: Instant,
    /// The responses by server.
    pub(crate) windows: BTreeMap<ServerName, ResponseWindow>,
    /// The servers that its latest reports call ejected.
    pub(crate) ejected: BTreeSet<ServerName>,
}

impl HostEvidence {
    /// Creates empty evidence of a host that was heard from at `now`.
    pub(crate) fn new(center: Option<CenterName>, now: Instant) -> Self {
        Self {
            center,
            last_heard: now,
            windows: BTreeMap::new(),
            ejected: BTreeSet::new(),
        }
    }

    /// Removes responses that are older than the window.
    pub(crate) fn prune(&mut self, now: Instant) {
        for window in self.windows.values_mut() {
            window.prune(now);
        }
    }
}
