//! The decisions of one host, behind a trait so that traces also run on other rules.

use super::TraceChecker;
use kws_membership::{FleetAction, FleetView, HostIdentity};
use kws_protocol::{
    FleetSnapshot, HostName, PeerMessage, PublishedValues, RegionName, TreeRevision,
    rendezvous_score,
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// A host that a trace starts.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Its name.
    pub name: HostName,
    /// Its region.
    pub region: RegionName,
    /// When it starts.
    pub born: Instant,
}

/// Makes the decisions of one host.
pub type NodeFactory = dyn Fn(&NodeIdentity) -> Box<dyn FleetNode> + Send + Sync;

/// The events and questions of [`FleetView`], which a trace drives.
pub trait FleetNode {
    /// The platform answered with whole values.
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction>;
    /// A watch returned unchanged.
    fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction>;
    /// A call to the platform failed.
    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction>;
    /// A peer's message came.
    fn receive(&mut self, from: &HostName, message: PeerMessage, now: Instant) -> Vec<FleetAction>;
    /// Time passed.
    fn tick(&mut self, now: Instant) -> Vec<FleetAction>;
    /// Whether the host may act on its snapshot.
    fn is_current(&self, now: Instant) -> bool;
    /// Whether the balancer is told to send requests.
    fn is_ready(&self) -> bool;
    /// The snapshot in force.
    fn snapshot(&self) -> Option<Arc<FleetSnapshot>>;
    /// How long the platform watch waits.
    fn watch_wait(&self) -> Duration;
    /// How late a watch may be before it counts as failed.
    fn watch_grace(&self) -> Duration;
    /// The pause before the next call to the platform.
    fn retry_pause(&self) -> Duration;
}

impl FleetNode for FleetView {
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

    fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        self.tick(now)
    }

    fn is_current(&self, now: Instant) -> bool {
        self.is_current(now)
    }

    fn is_ready(&self) -> bool {
        self.readiness().is_ready()
    }

    fn snapshot(&self) -> Option<Arc<FleetSnapshot>> {
        self.snapshot().cloned()
    }

    fn watch_wait(&self) -> Duration {
        self.watch_wait()
    }

    fn watch_grace(&self) -> Duration {
        self.watch_grace()
    }

    fn retry_pause(&self) -> Duration {
        self.retry_pause()
    }
}

/// The rules of this build.
pub(super) fn fleet_view(node: &NodeIdentity) -> Box<dyn FleetNode> {
    let identity = HostIdentity {
        name: node.name.clone(),
        region: node.region.clone(),
    };
    let seed = rendezvous_score("nonce", node.name.as_str());
    Box::new(FleetView::new(
        identity,
        Box::new(TraceChecker),
        seed,
        node.born,
    ))
}
