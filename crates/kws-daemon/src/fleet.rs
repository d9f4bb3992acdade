//! Fleet thread: maintains the lease, the membership and the configuration.

use crate::{
    checker::ResolveChecker,
    dispatch::DispatchEvent,
    ledger::LedgerEvent,
    shared::{DaemonShared, PeerSender},
    suspend::SuspendDetector,
    threads::start_async_thread,
};
use eyre::Result;
use kws_adapter::{SiteTerms, StoreChecker};
use kws_admin::PlatformResult;
use kws_membership::{
    FleetAction, FleetCounters, FleetProtocol, FleetView, HostIdentity, MeshView,
};
use kws_peer::InboundMessage;
use kws_platform::{PlatformEvent, WatchTiming};
use kws_protocol::{FleetSnapshot, HostName, MeshMember};
use kws_tree::{HostSettings, PlatformSource};
use std::{
    hash::{BuildHasher, RandomState},
    sync::Arc,
};
use tokio::{
    sync::mpsc::{Receiver, Sender},
    time::{Instant, sleep_until},
};

/// The source of values that this host has read from the platform itself, in log lines.
const PLATFORM_SOURCE: &str = "platform";

/// Channels that the fleet thread reads.
pub(crate) struct FleetInputs {
    pub(crate) platform: Receiver<PlatformEvent>,
    pub(crate) peers: Receiver<InboundMessage>,
}

/// Channels to which the fleet thread sends its results.
pub(crate) struct FleetOutputs {
    pub(crate) peers: PeerSender,
    pub(crate) ledger: Sender<LedgerEvent>,
    pub(crate) dispatch: Sender<DispatchEvent>,
}

/// Starts the fleet thread.
pub(crate) fn start_fleet(
    shared: Arc<DaemonShared>,
    settings: &HostSettings,
    inputs: FleetInputs,
    outputs: FleetOutputs,
) -> Result<()> {
    let protocol = new_protocol(&shared, settings);
    start_async_thread("fleet", move || {
        run_fleet(shared, protocol, inputs, outputs)
    })
}

struct FleetThread {
    shared: Arc<DaemonShared>,
    outputs: FleetOutputs,
    protocol: Box<dyn FleetProtocol>,
    lease_end: Option<Instant>,
    reads_platform: bool,
    last_counters: FleetCounters,
    suspend_detector: SuspendDetector,
    has_left: bool,
}

async fn run_fleet(
    shared: Arc<DaemonShared>,
    protocol: Box<dyn FleetProtocol>,
    mut inputs: FleetInputs,
    outputs: FleetOutputs,
) {
    let mut thread = FleetThread {
        protocol,
        shared,
        outputs,
        lease_end: None,
        reads_platform: false,
        last_counters: FleetCounters::default(),
        suspend_detector: SuspendDetector::new(),
        has_left: false,
    };
    thread.publish_watch_timing();
    let mut last_tick = Instant::now();
    loop {
        let mut peer = None;
        let actions = tokio::select! {
            event = inputs.platform.recv() => match event {
                Some(event) => thread.handle_platform_event(event),
                None => return,
            },
            message = inputs.peers.recv() => match message {
                Some(inbound) => {
                    let message = inbound.message;
                    let actions = thread.protocol.receive(&inbound.from, message, Instant::now());
                    peer = Some(inbound.from);
                    actions
                }
                None => return,
            },
            () = sleep_until(last_tick + thread.protocol.tick_interval()) => {
                last_tick = Instant::now();
                thread.handle_tick(last_tick)
            }
        };
        let source = peer.as_ref().map_or(PLATFORM_SOURCE, HostName::as_str);
        thread.run_actions(actions, source).await;
    }
}

/// With a metadata store, hosts discover each other through seeds; with other platforms, the
/// platform lists them.
fn new_protocol(shared: &DaemonShared, settings: &HostSettings) -> Box<dyn FleetProtocol> {
    let identity = &shared.identity;
    // The keys of a new hasher are random, so two incarnations of a host use different nonces.
    let seed = RandomState::new().hash_one(identity.host.as_str());
    let PlatformSource::Store { terms, .. } = &settings.platform else {
        let identity = HostIdentity {
            name: identity.host.clone(),
            region: identity.region.clone(),
        };
        let view = FleetView::new(identity, Box::new(ResolveChecker), seed, shared.started_at);
        return Box::new(view);
    };
    let member = MeshMember {
        name: identity.host.clone(),
        region: identity.region.clone(),
        center: identity.center.clone(),
        address: settings.peer,
        millicores: settings.millicores,
    };
    let checker = StoreChecker::new(SiteTerms {
        centers: settings.centers.clone(),
        floor: terms.floor,
        retry_ratio: terms.retry_ratio,
        heartbeat: terms.heartbeat,
    });
    let view = MeshView::new(
        member,
        &settings.seeds,
        Box::new(checker),
        seed,
        shared.started_at,
    );
    Box::new(view)
}

impl FleetThread {
    fn handle_tick(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.suspend_detector.was_suspended() {
            log::warn!("machine was suspended, lease ended");
            return self.protocol.clock_suspended(now);
        }
        if let Some(seeds) = self.shared.take_seeds() {
            self.protocol.set_seeds(&seeds);
        }
        if self.shared.is_stopping() && !self.has_left {
            self.has_left = true;
            return self.protocol.leave(now);
        }
        self.protocol.tick(now)
    }

    fn handle_platform_event(&mut self, event: PlatformEvent) -> Vec<FleetAction> {
        let now = Instant::now();
        let metrics = &self.shared.metrics;
        match event {
            PlatformEvent::Values {
                values,
                sent,
                bytes,
            } => {
                metrics.record_platform_read(PlatformResult::Changed, bytes);
                self.protocol.platform_answer(values, sent, now)
            }
            PlatformEvent::Confirmed {
                revision,
                sent,
                bytes,
            } => {
                metrics.record_platform_read(PlatformResult::Unchanged, bytes);
                self.protocol.platform_confirmed(revision, sent, now)
            }
            PlatformEvent::Failed { error } => {
                metrics.record_platform_read(PlatformResult::Failed, 0);
                log::warn!(error = error.to_string().as_str(); "failed to read the platform");
                self.protocol.platform_failed(now)
            }
        }
    }

    /// Carries out `actions`. `source` is where adopted values come from.
    async fn run_actions(&mut self, actions: Vec<FleetAction>, source: &str) {
        let has_adopted = self.protocol.counters().adopted > self.last_counters.adopted;
        // The adopted values are the first to be published, a change of the members follows.
        let mut source = Some(source).filter(|_| has_adopted);
        for action in actions {
            match action {
                FleetAction::Send { to, message } => self.outputs.peers.send(&to, message),
                FleetAction::Publish(snapshot) => {
                    self.publish(snapshot, source.take().unwrap_or_default())
                        .await;
                }
                FleetAction::SetContacts(hosts) => self.shared.set_contacts(&hosts),
                FleetAction::Reject { revision, findings } => {
                    log::error!(revision = revision.count(), era = revision.era(), findings = findings.as_str(); "tree refused");
                    let event = LedgerEvent::RejectRevision(revision);
                    let _ = self.outputs.ledger.send(event).await;
                }
                FleetAction::Readiness(readiness) => {
                    log::info!(readiness = readiness.to_string().as_str(); "readiness changed");
                    self.shared.set_readiness(readiness);
                }
            }
        }
        self.publish_watch_timing();
        self.publish_lease().await;
        self.update_metrics();
    }

    /// Waits for room in the channels, so a revision is delivered even when they are full of
    /// requests. This can't deadlock: neither the ledger nor the dispatcher waits for this thread.
    ///
    /// `source` is where the values come from; empty if only the members have changed.
    async fn publish(&self, snapshot: Arc<FleetSnapshot>, source: &str) {
        log::info!(
            revision = snapshot.revision.count(),
            era = snapshot.revision.era(),
            source = source;
            "revision in force"
        );
        self.shared.set_snapshot(&snapshot);
        let ledger = LedgerEvent::ApplySettings(Arc::clone(&snapshot));
        let _ = self.outputs.ledger.send(ledger).await;
        let _ = self
            .outputs
            .dispatch
            .send(DispatchEvent::ApplySettings(snapshot))
            .await;
    }

    fn publish_watch_timing(&mut self) {
        let now = Instant::now();
        let reads = self.protocol.reads_platform(now);
        if reads != self.reads_platform {
            self.reads_platform = reads;
            log::info!(reads = reads; "reading of the platform changed");
        }
        self.shared.set_watch_timing(WatchTiming {
            wait: self.protocol.watch_wait(),
            grace: self.protocol.watch_grace(),
            pause: self.protocol.watch_pause(),
            idle: !reads,
        });
    }

    async fn publish_lease(&mut self) {
        let lease_end = self.protocol.lease_end();
        if lease_end == self.lease_end {
            return;
        }
        self.lease_end = lease_end;
        self.shared.set_lease(lease_end);
        let event = LedgerEvent::Lease(lease_end);
        let _ = self.outputs.ledger.send(event).await;
    }

    fn update_metrics(&mut self) {
        let counters = *self.protocol.counters();
        let metrics = &self.shared.metrics;
        for (reason, before, after) in [
            (
                "check",
                self.last_counters.rejected_trees,
                counters.rejected_trees,
            ),
            ("conflict", self.last_counters.conflicts, counters.conflicts),
            (
                "stale",
                self.last_counters.stale_platform,
                counters.stale_platform,
            ),
            (
                "bad_delta",
                self.last_counters.bad_deltas,
                counters.bad_deltas,
            ),
        ] {
            for _ in before..after {
                metrics.record_rejected_tree(reason);
            }
        }
        for _ in self.last_counters.era_changes..counters.era_changes {
            metrics.record_era_change();
        }
        self.last_counters = counters;
        let lease_end = self.protocol.lease_end();
        let remaining =
            lease_end.map(|lease_end| lease_end.saturating_duration_since(Instant::now()));
        metrics.set_lease_left(remaining.unwrap_or_default());
        metrics.set_current(self.shared.is_current());
        metrics.set_ready(self.shared.readiness().is_ready() && !self.shared.is_stopping());
    }
}

/// Number of listed hosts in the region of this host.
pub(crate) fn count_listed_hosts(snapshot: &FleetSnapshot, shared: &DaemonShared) -> usize {
    snapshot.hosts.in_region(&shared.identity.region).count()
}
