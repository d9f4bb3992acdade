//! The dispatcher of one host.

use crate::{DispatchAction, DispatchRequest, TicketEnd, TicketId};
use kws_health::StandingSource;
use kws_protocol::{
    CenterName, FleetSnapshot, HealthMessage, HostName, RegionName, ServerDigest, ServerName,
    ServiceName,
};
use tokio::time::Instant;

/// Queues requests and chooses a backend server for each.
#[derive(Debug)]
pub struct Dispatcher {
    host: HostName,
    region: RegionName,
    center: CenterName,
}

impl Dispatcher {
    /// A dispatcher for `host` that knows no servers yet.
    pub fn new(host: HostName, region: RegionName, center: CenterName) -> Self {
        Self {
            host,
            region,
            center,
        }
    }

    /// Takes the services of a newer tree, and the list.
    pub fn adopt(&mut self, _snapshot: &FleetSnapshot, _now: Instant) {}

    /// Takes a peer's requests in flight.
    pub fn receive(&mut self, _from: &HostName, _message: &HealthMessage, _now: Instant) {}

    /// Fills this host's requests in flight into a digest, and adds servers it lacks.
    pub fn fill_digest(&self, _digests: &mut Vec<ServerDigest>) {}

    /// Queues a request; it may be granted or refused at once.
    pub fn enqueue(
        &mut self,
        _request: DispatchRequest,
        _standing: &dyn StandingSource,
        _now: Instant,
    ) -> Vec<DispatchAction> {
        Vec::new()
    }

    /// Ends a granted ticket; its room may go to requests that wait.
    pub fn complete(
        &mut self,
        _ticket: TicketId,
        _end: TicketEnd,
        _standing: &dyn StandingSource,
        _now: Instant,
    ) -> Vec<DispatchAction> {
        Vec::new()
    }

    /// Forgets a ticket, queued or granted.
    pub fn cancel(
        &mut self,
        _ticket: TicketId,
        _standing: &dyn StandingSource,
        _now: Instant,
    ) -> Vec<DispatchAction> {
        Vec::new()
    }

    /// Ends a granted ticket's try at a server and queues it again, first of its team and away from
    /// that server. The caller has asked the retry policy before.
    pub fn retry(
        &mut self,
        _ticket: TicketId,
        _end: TicketEnd,
        _standing: &dyn StandingSource,
        _now: Instant,
    ) -> Vec<DispatchAction> {
        Vec::new()
    }

    /// Drops what its deadline lost and serves what waits. Due every 10 ms or so while requests wait.
    pub fn tick(&mut self, _standing: &dyn StandingSource, _now: Instant) -> Vec<DispatchAction> {
        Vec::new()
    }

    /// Requests that wait for a server of `service`.
    pub fn queued(&self, _service: &ServiceName) -> usize {
        0
    }

    /// The connections that this host may hold to `server`; 0 when the server is not in its subset.
    pub fn connections(&self, _service: &ServiceName, _server: &ServerName) -> u32 {
        0
    }

    /// Where the dispatcher runs.
    pub fn place(&self) -> (&HostName, &RegionName, &CenterName) {
        (&self.host, &self.region, &self.center)
    }
}
