//! How many requests this host may have in flight at one server.

use kws_protocol::HostName;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A peer's requests in flight are believed for this long.
pub(crate) const IN_FLIGHT_AGE: Duration = Duration::from_secs(2);

/// By how much the probes of all hosts together exceed the slots of a server that seems full, so that
/// none of its slots stays empty between two requests. What is too much is shed.
const PROBE_MARGIN: f64 = 1.5;

/// The smallest window, in requests: a pace of one request in 64 service times.
const MIN_WINDOW: f64 = 1.0 / 64.0;

/// The weight of a peer's newest count in its average, between 0 and 1.
const LOAD_GAIN: f64 = 0.2;

/// A peer's requests in flight. A request is over long before the next digest, so that one count says
/// little and only the average tells how full the server is.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    in_flight: f64,
    at: Instant,
}

/// The part of a server's slots that this host may use.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) in_flight: u32,
    /// Requests in flight that the server's shedding allows; below 1 a pace.
    window: f64,
    granted: Option<Instant>,
    peers: BTreeMap<HostName, PeerLoad>,
}

/// What a host knows of a service when it looks for room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitQuery {
    /// The server's slots x weight.
    pub(crate) usable: f64,
    /// The service's usual time in service.
    pub(crate) service_time: Duration,
    pub(crate) now: Instant,
}

impl ConcurrencyLimit {
    /// Room at a server of `slots` slots that nothing is known of.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            window: f64::from(slots.max(1)),
            granted: None,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a peer's requests in flight.
    pub(crate) fn set_peer(&mut self, peer: &HostName, in_flight: u32, at: Instant) {
        let newest = f64::from(in_flight);
        let average = self.peers.get(peer).map_or(newest, |load| {
            load.in_flight + LOAD_GAIN * (newest - load.in_flight)
        });
        let load = PeerLoad {
            in_flight: average,
            at,
        };
        self.peers.insert(peer.clone(), load);
    }

    /// Forgets what peers said too long ago.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.peers
            .retain(|_, load| now.duration_since(load.at) <= IN_FLIGHT_AGE);
    }

    /// Hosts that share the server, this one included; peers that hardly use it hardly count.
    fn sharing_hosts(&self) -> f64 {
        let loads = || self.peers.values().map(|load| load.in_flight);
        let sum: f64 = loads().sum();
        let squares: f64 = loads().map(|load| load * load).sum();
        1.0 + sum * sum / squares.max(f64::MIN_POSITIVE)
    }

    /// Requests in flight of all hosts, as far as known.
    pub(crate) fn total(&self) -> f64 {
        let peers: f64 = self.peers.values().map(|load| load.in_flight).sum();
        f64::from(self.in_flight) + peers
    }

    /// Whether one more request fits.
    pub(crate) fn admits(&self, query: &LimitQuery) -> bool {
        if self.window < 1.0 {
            return self.in_flight == 0 && self.rested(query, 1.0 / self.window);
        }
        if f64::from(self.in_flight) + 1.0 > self.window {
            return false;
        }
        if self.total() < query.usable.max(1.0) {
            return true;
        }
        // Peers seem to fill the server. All hosts together may still keep its slots in use.
        let pace = self.sharing_hosts() / (query.usable.max(1.0) * PROBE_MARGIN);
        self.in_flight == 0 && self.rested(query, pace)
    }

    fn rested(&self, query: &LimitQuery, service_times: f64) -> bool {
        let rest = query.service_time.mul_f64(service_times);
        self.granted
            .is_none_or(|at| query.now.duration_since(at) >= rest)
    }

    /// Counts a request sent.
    pub(crate) fn grant(&mut self, now: Instant) {
        self.in_flight += 1;
        self.granted = Some(now);
    }

    /// Counts a request ended without word of the server's load.
    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes an answer: a little more may be in flight.
    pub(crate) fn widen(&mut self, slots: u32) {
        let grown = if self.window < 1.0 {
            (self.window * 2.0).min(1.0)
        } else {
            self.window + 1.0 / self.window
        };
        self.window = grown.min(f64::from(slots.max(1)));
    }

    /// Takes a shed request: half as much may be in flight.
    pub(crate) fn narrow(&mut self) {
        self.window = (self.window / 2.0).max(MIN_WINDOW);
    }
}
