//! What a worker learned of its routes: the size of their responses, and how many requests go
//! unserved.

use kws_protocol::RouteName;
use std::{cell::RefCell, collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Size of a response assumed until the first one of its route, in bytes.
const INITIAL_RESPONSE_BYTES: f64 = 16.0 * 1024.0;

/// Smoothing factor of the moving average of response sizes, between 0 and 1.
const SIZE_SMOOTHING: f64 = 0.2;

/// Time over which requests are counted.
const OUTCOME_WINDOW: Duration = Duration::from_secs(1);

/// Number of routes above which the history is cleared. Routes that were removed are never looked
/// up again, so their entries would stay.
const MAX_ROUTES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RouteRecord {
    response_bytes: f64,
    /// Requests in about [`OUTCOME_WINDOW`], decayed to `updated_at`.
    requests: f64,
    /// Those of them that were not served.
    unserved: f64,
    updated_at: Instant,
}

/// Moving averages by route.
#[derive(Debug, Default)]
pub(crate) struct RouteHistory(RefCell<HashMap<RouteName, RouteRecord>>);

impl RouteHistory {
    /// Expected size of a response of the route, in bytes.
    pub(crate) fn response_bytes(&self, route: &RouteName) -> u64 {
        let records = self.0.borrow();
        let bytes = records.get(route).map(|record| record.response_bytes);
        bytes.unwrap_or(INITIAL_RESPONSE_BYTES) as u64
    }

    /// Share of the route's latest requests that were not served, between 0 and 1.
    pub(crate) fn unserved_share(&self, route: &RouteName) -> f64 {
        let records = self.0.borrow();
        let record = records.get(route).filter(|record| record.requests > 0.0);
        record.map_or(0.0, |record| record.unserved / record.requests)
    }

    /// Records the size of a response.
    pub(crate) fn record_size(&self, route: &RouteName, bytes: u64) {
        self.update(route, |record| {
            record.response_bytes += SIZE_SMOOTHING * (bytes as f64 - record.response_bytes);
        });
    }

    /// Records whether a request was served.
    pub(crate) fn record_outcome(&self, route: &RouteName, served: bool) {
        let now = Instant::now();
        self.update(route, |record| {
            let elapsed = now.saturating_duration_since(record.updated_at);
            let decay = (-elapsed.as_secs_f64() / OUTCOME_WINDOW.as_secs_f64()).exp();
            record.requests = record.requests * decay + 1.0;
            record.unserved = record.unserved * decay + f64::from(u8::from(!served));
            record.updated_at = now;
        });
    }

    fn update(&self, route: &RouteName, change: impl FnOnce(&mut RouteRecord)) {
        let mut records = self.0.borrow_mut();
        if let Some(record) = records.get_mut(route) {
            return change(record);
        }
        if records.len() >= MAX_ROUTES {
            records.clear();
        }
        let mut record = RouteRecord {
            response_bytes: INITIAL_RESPONSE_BYTES,
            requests: 0.0,
            unserved: 0.0,
            updated_at: Instant::now(),
        };
        change(&mut record);
        records.insert(route.clone(), record);
    }
}
