//! Counts what hosts send, and when they act on which revision.

use super::fault::{FAULT_SECONDS, PUBLISH_SECONDS};
use kws_membership::{FleetAction, FleetView, HostIdentity};
use kws_protocol::{
    FleetSnapshot, HostName, PeerMessage, PublishedValues, TreeRevision, encode_message,
    rendezvous_score,
};
use kws_replay::{FleetNode, NodeIdentity, TraceChecker};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// The revision that withdraws the key.
const WITHDRAWN: TreeRevision = TreeRevision::first(2);

/// Steady traffic is counted from this long after the fault, in seconds.
const SETTLE_SECONDS: u64 = 4;

/// Bits in a byte.
const BYTE_BITS: f64 = 8.0;

/// What one host did.
#[derive(Clone, Debug, Default)]
struct HostMeter {
    messages: u64,
    bytes: u64,
    cross_bytes: u64,
    change_bytes: u64,
    platform_calls: u64,
    adopted: Option<Duration>,
    last_old: Option<Duration>,
}

/// What all hosts did.
#[derive(Debug, Default)]
pub struct FleetMeter {
    hosts: Mutex<BTreeMap<HostName, HostMeter>>,
}

/// The figures of a row. Rates are of the steady time between the fault and the withdrawal.
#[derive(Clone, Debug)]
pub struct FleetTotals {
    /// When the last host adopted the withdrawal, from the start.
    pub last_adopted: Option<Duration>,
    /// When a host last was current without it, from the start.
    pub last_old: Option<Duration>,
    /// Hosts that never adopted it.
    pub lagging: usize,
    /// Messages that a host sent a second.
    pub messages_per_host: f64,
    /// Bytes that a host sent a second.
    pub bytes_per_host: f64,
    /// Bytes that the busiest host sent a second.
    pub busiest_bytes: f64,
    /// Bits sent between regions a second.
    pub cross_bits: f64,
    /// Bytes of changed values that a host sent after the withdrawal.
    pub change_bytes_per_host: f64,
    /// Answers of the platform, and calls failed, a second.
    pub platform_calls: f64,
}

impl FleetMeter {
    /// Sums up all hosts.
    pub fn totals(&self) -> FleetTotals {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |field: fn(&HostMeter) -> u64| hosts.values().map(field).sum::<u64>() as f64;
        let seconds = (PUBLISH_SECONDS - FAULT_SECONDS - SETTLE_SECONDS) as f64;
        let count = hosts.len() as f64;
        let busiest = hosts.values().map(|host| host.bytes).max();
        FleetTotals {
            last_adopted: hosts.values().filter_map(|host| host.adopted).max(),
            last_old: hosts.values().filter_map(|host| host.last_old).max(),
            lagging: hosts.values().filter(|host| host.adopted.is_none()).count(),
            messages_per_host: sum(|host| host.messages) / count / seconds,
            bytes_per_host: sum(|host| host.bytes) / count / seconds,
            busiest_bytes: busiest.unwrap_or_default() as f64 / seconds,
            cross_bits: sum(|host| host.cross_bytes) * BYTE_BITS / seconds,
            change_bytes_per_host: sum(|host| host.change_bytes) / count,
            platform_calls: sum(|host| host.platform_calls) / seconds,
        }
    }
}

/// The decisions of this build, counted.
pub struct MeteredNode {
    identity: NodeIdentity,
    view: FleetView,
    meter: Arc<FleetMeter>,
}

impl MeteredNode {
    /// One host of a run.
    pub fn boxed(node: &NodeIdentity, meter: Arc<FleetMeter>) -> Box<dyn FleetNode> {
        let identity = HostIdentity {
            name: node.name.clone(),
            region: node.region.clone(),
        };
        let seed = rendezvous_score("nonce", node.name.as_str());
        Box::new(Self {
            identity: node.clone(),
            view: FleetView::new(identity, Box::new(TraceChecker), seed, node.born),
            meter,
        })
    }

    fn count(&self, now: Instant, note: impl FnOnce(&mut HostMeter)) {
        let hosts = &self.meter.hosts;
        let mut hosts = hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let host = hosts.entry(self.identity.name.clone()).or_default();
        let held = self.view.snapshot().map(|snapshot| snapshot.revision);
        let at = now - self.identity.born;
        if held >= Some(WITHDRAWN) {
            host.adopted = host.adopted.or(Some(at));
        } else if self.view.is_current(now) {
            host.last_old = Some(at);
        }
        note(host);
    }

    fn count_call(&self, now: Instant) {
        if self.steady(now) {
            self.count(now, |host| host.platform_calls += 1);
        }
    }

    fn sent(&self, actions: Vec<FleetAction>, now: Instant) -> Vec<FleetAction> {
        self.count(now, |host| {
            for action in &actions {
                if let FleetAction::Send { to, message } = action {
                    self.count_message(host, to, message, now);
                }
            }
        });
        actions
    }

    fn count_message(
        &self,
        host: &mut HostMeter,
        to: &HostName,
        message: &PeerMessage,
        now: Instant,
    ) {
        let bytes = encode_message(message).map_or(0, |frame| frame.len() as u64);
        if self.steady(now) {
            host.messages += 1;
            host.bytes += bytes;
            if !to.as_str().starts_with(self.identity.region.as_str()) {
                host.cross_bytes += bytes;
            }
        }
        if matches!(message, PeerMessage::Config(_)) && self.seconds(now) >= PUBLISH_SECONDS {
            host.change_bytes += bytes;
        }
    }

    fn steady(&self, now: Instant) -> bool {
        (FAULT_SECONDS + SETTLE_SECONDS..PUBLISH_SECONDS).contains(&self.seconds(now))
    }

    fn seconds(&self, now: Instant) -> u64 {
        (now - self.identity.born).as_secs()
    }
}

impl FleetNode for MeteredNode {
    fn platform_answer(
        &mut self,
        values: PublishedValues,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.count_call(now);
        let actions = self.view.platform_answer(values, sent, now);
        self.sent(actions, now)
    }

    fn platform_confirmed(
        &mut self,
        revision: TreeRevision,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.count_call(now);
        let actions = self.view.platform_confirmed(revision, sent, now);
        self.sent(actions, now)
    }

    fn platform_failed(&mut self, now: Instant) -> Vec<FleetAction> {
        self.count_call(now);
        let actions = self.view.platform_failed(now);
        self.sent(actions, now)
    }

    fn receive(&mut self, from: &HostName, message: PeerMessage, now: Instant) -> Vec<FleetAction> {
        let actions = self.view.receive(from, message, now);
        self.sent(actions, now)
    }

    fn tick(&mut self, now: Instant) -> Vec<FleetAction> {
        let actions = self.view.tick(now);
        self.sent(actions, now)
    }

    fn is_current(&self, now: Instant) -> bool {
        self.view.is_current(now)
    }

    fn is_ready(&self) -> bool {
        self.view.readiness().is_ready()
    }

    fn snapshot(&self) -> Option<Arc<FleetSnapshot>> {
        self.view.snapshot().cloned()
    }

    fn watch_wait(&self) -> Duration {
        self.view.watch_wait()
    }

    fn watch_grace(&self) -> Duration {
        self.view.watch_grace()
    }

    fn retry_pause(&self) -> Duration {
        self.view.retry_pause()
    }
}
