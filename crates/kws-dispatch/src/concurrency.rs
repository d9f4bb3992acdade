//! Limits the requests that this host has in flight on one server.

use kws_protocol::HostName;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Age up to which a peer's reported requests in flight are used.
pub(crate) const MAX_PEER_LOAD_AGE: Duration = Duration::from_secs(2);

/// On a server that seems full, all hosts together send this many times the requests that its slots
/// can serve, so that no slot stays idle between two requests. The server sheds the excess.
const OVERCOMMIT_FACTOR: f64 = 1.5;

/// Smallest window, in requests: one request per 64 service times.
const MIN_WINDOW: f64 = 1.0 / 64.0;

/// Smoothing factor of the moving average of a peer's load, between 0 and 1.
const PEER_LOAD_SMOOTHING: f64 = 0.2;

/// Requests that a peer has in flight. Most requests end long before the peer's next report, so a
/// single report says little, and only the moving average shows how loaded the server is.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    in_flight: f64,
    reported_at: Instant,
}

/// The concurrency limit of this host on one server.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) in_flight: u32,
    /// Requests in flight that the server accepts without shedding. Below 1, it is a rate: requests
    /// per service time.
    window: f64,
    last_grant: Option<Instant>,
    peers: BTreeMap<HostName, PeerLoad>,
}

/// Inputs to the admission decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitQuery {
    /// The server's slots times its weight.
    pub(crate) usable_slots: f64,
    /// The service's average service time.
    pub(crate) service_time: Duration,
    pub(crate) now: Instant,
}

impl ConcurrencyLimit {
    /// Creates the limit of a new server with `slots` slots.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            window: f64::from(slots.max(1)),
            last_grant: None,
            peers: BTreeMap::new(),
        }
    }

    /// Adds a peer's reported requests in flight to its moving average.
    pub(crate) fn record_peer_load(&mut self, peer: &HostName, in_flight: u32, at: Instant) {
        let newest = f64::from(in_flight);
        let average = self.peers.get(peer).map_or(newest, |load| {
            load.in_flight + PEER_LOAD_SMOOTHING * (newest - load.in_flight)
        });
        let load = PeerLoad {
            in_flight: average,
            reported_at: at,
        };
        self.peers.insert(peer.clone(), load);
    }

    /// Removes the loads of peers that are too old.
    pub(crate) fn remove_stale_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, load| now.duration_since(load.reported_at) <= MAX_PEER_LOAD_AGE);
    }

    /// Effective number of hosts that use the server, including this one. Peers with little load
    /// hardly count.
    fn sharing_hosts(&self) -> f64 {
        let loads = || self.peers.values().map(|load| load.in_flight);
        let sum: f64 = loads().sum();
        let squares: f64 = loads().map(|load| load * load).sum();
        1.0 + sum * sum / squares.max(f64::MIN_POSITIVE)
    }

    /// Requests in flight from all hosts, as far as reported.
    pub(crate) fn total_in_flight(&self) -> f64 {
        let peers: f64 = self.peers.values().map(|load| load.in_flight).sum();
        f64::from(self.in_flight) + peers
    }

    /// Whether one more request may be sent.
    pub(crate) fn admits(&self, query: &LimitQuery) -> bool {
        if self.window < 1.0 {
            return self.in_flight == 0 && self.interval_elapsed(query, 1.0 / self.window);
        }
        if f64::from(self.in_flight) + 1.0 > self.window {
            return false;
        }
        if self.total_in_flight() < query.usable_slots.max(1.0) {
            return true;
        }
        // Peers seem to use all slots. This host still sends its share of what keeps them in use.
        let service_times =
            self.sharing_hosts() / (query.usable_slots.max(1.0) * OVERCOMMIT_FACTOR);
        self.in_flight == 0 && self.interval_elapsed(query, service_times)
    }

    fn interval_elapsed(&self, query: &LimitQuery, service_times: f64) -> bool {
        let interval = query.service_time.mul_f64(service_times);
        self.last_grant
            .is_none_or(|at| query.now.duration_since(at) >= interval)
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.last_grant = Some(now);
    }

    /// Records that a request ended; the window stays as it is.
    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Enlarges the window after a response: doubled below 1, from there by about one for each
    /// window of responses.
    pub(crate) fn increase_window(&mut self, slots: u32) {
        let grown = if self.window < 1.0 {
            (self.window * 2.0).min(1.0)
        } else {
            self.window + 1.0 / self.window
        };
        self.window = grown.min(f64::from(slots.max(1)));
    }

    /// Halves the window after a shed request.
    pub(crate) fn decrease_window(&mut self) {
        self.window = (self.window / 2.0).max(MIN_WINDOW);
    }
}
