//! The interface of the state machines that decide whether a host may act on its configuration.

use crate::{FleetAction, FleetCounters, FleetView};
use kws_protocol::{HostName, PeerMessage, PublishedValues, TreeRevision};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// The state machine for freshness, membership and configuration of one host. Each event takes
/// `now` and returns the actions to carry out, in order.
pub trait FleetProtocol: Send {
    /// The platform answered a read sent at `sent` with a full copy of the values.
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction>;

    /// A read sent at `sent` returned the same values as the last one, now at `revision`.
    fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction>;

    /// A read of the platform failed.
    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction>;

    /// A message from a peer arrived.
    fn receive(&mut self, from: &HostName, message: PeerMessage, now: Instant) -> Vec<FleetAction>;

    /// The machine resumed from a suspension during which its monotonic clock stopped.
    fn clock_suspended(&mut self, now: Instant) -> Vec<FleetAction>;

    /// Handles timers; to be called every [`Self::tick_interval`].
    fn tick(&mut self, now: Instant) -> Vec<FleetAction>;

    /// The host shuts down.
    fn leave(&mut self, now: Instant) -> Vec<FleetAction> {
        let _ = now;
        Vec::new()
    }

    /// Replaces the seeds.
    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let _ = seeds;
    }

    /// The end of the lease; none while the host has not joined.
    fn lease_end(&self) -> Option<Instant>;

    /// Whether this host itself should read the platform now.
    fn reads_platform(&self, now: Instant) -> bool {
        let _ = now;
        true
    }

    /// The interval between calls of [`Self::tick`].
    fn tick_interval(&self) -> Duration;

    /// How long the platform may delay its answer to a read while nothing changes.
    fn watch_wait(&self) -> Duration;

    /// How long after [`Self::watch_wait`] an answer may still arrive before the read counts as
    /// failed.
    fn watch_grace(&self) -> Duration;

    /// The pause after an answer, in which changes are batched.
    fn watch_pause(&self) -> Duration {
        Duration::ZERO
    }

    /// The counters since the start of the daemon.
    fn counters(&self) -> &FleetCounters;
}

impl FleetProtocol for FleetView {
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_answer(values, sent, now)
    }

    fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_confirmed(revision, sent, now)
    }

    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction> {
        self.platform_failed(now)
    }

    fn receive(&mut self, from: &HostName, message: PeerMessage, now: Instant) -> Vec<FleetAction> {
        self.receive(from, message, now)
    }

    fn clock_suspended(&mut self, now: Instant) -> Vec<FleetAction> {
        self.clock_suspended(now)
    }

    fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        self.tick(now)
    }

    fn lease_end(&self) -> Option<Instant> {
        self.lease_end()
    }

    fn tick_interval(&self) -> Duration {
        self.tick_interval()
    }

    fn watch_wait(&self) -> Duration {
        self.watch_wait()
    }

    fn watch_grace(&self) -> Duration {
        self.watch_grace()
    }

    fn counters(&self) -> &FleetCounters {
        self.counters()
    }
}
