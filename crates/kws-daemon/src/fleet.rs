//! Fleet thread: maintains the lease, the membership and the configuration.

use crate::{
    checker::ResolveChecker,
    dispatch::DispatchEvent,
    duty::start_duty,
    ledger::LedgerEvent,
    shared::{DaemonShared, PeerSender},
    suspend::SuspendWatch,
};
use eyre::Result;
use kws_adapter::{SiteTerms, StoreChecker};
use kws_admin::PlatformResult;
use kws_membership::{
    FleetAction, FleetCounters, FleetProtocol, FleetView, HostIdentity, MeshView,
};
use kws_peer::InboundMessage;
use kws_platform::{PlatformEvent, WatchTiming};
use kws_protocol::{FleetSnapshot, MeshMember};
use kws_tree::{HostSettings, PlatformSource};
use std::{
    hash::{BuildHasher, RandomState},
    sync::Arc,
};
use tokio::{
    sync::mpsc::{Receiver, Sender},
    time::{Instant, sleep_until},
};

/// Channels that the fleet thread reads.
pub(crate) struct FleetRings {
    pub(crate) platform: Receiver<PlatformEvent>,
    pub(crate) peers: Receiver<InboundMessage>,
}

/// Channels to which the fleet thread sends its results.
pub(crate) struct FleetOutlets {
    pub(crate) peers: PeerSender,
    pub(crate) ledger: Sender<LedgerEvent>,
    pub(crate) dispatch: Sender<DispatchEvent>,
}

/// Starts the fleet thread.
pub(crate) fn start_fleet(
    shared: Arc<DaemonShared>,
    settings: &HostSettings,
    rings: FleetRings,
    outlets: FleetOutlets,
) -> Result<()> {
    let protocol = new_protocol(&shared, settings);
    start_duty("fleet", move || run_fleet(shared, protocol, rings, outlets))
}

struct FleetDuty {
    shared: Arc<DaemonShared>,
    outlets: FleetOutlets,
    protocol: Box<dyn FleetProtocol>,
    lease: Option<Instant>,
    counted: FleetCounters,
    watch: SuspendWatch,
    left: bool,
}

async fn run_fleet(
    shared: Arc<DaemonShared>,
    protocol: Box<dyn FleetProtocol>,
    mut rings: FleetRings,
    outlets: FleetOutlets,
) {
    let mut duty = FleetDuty {
        protocol,
        shared,
        outlets,
        lease: None,
        counted: FleetCounters::default(),
        watch: SuspendWatch::new(),
        left: false,
    };
    duty.share_timing();
    let mut ticked = Instant::now();
    loop {
        let actions = tokio::select! {
            event = rings.platform.recv() => match event {
                Some(event) => duty.hear_platform(event),
                None => return,
            },
            message = rings.peers.recv() => match message {
                Some(inbound) => duty.protocol.receive(&inbound.from, inbound.message, Instant::now()),
                None => return,
            },
            () = sleep_until(ticked + duty.protocol.tick_interval()) => {
                ticked = Instant::now();
                duty.pass_time(ticked)
            }
        };
        duty.carry_out(actions).await;
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
        let view = FleetView::new(identity, Box::new(ResolveChecker), seed, shared.born);
        return Box::new(view);
    };
    let own = MeshMember {
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
    });
    let view = MeshView::new(own, &settings.seeds, Box::new(checker), seed, shared.born);
    Box::new(view)
}

impl FleetDuty {
    fn pass_time(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.watch.slept() {
            log::warn!("machine was suspended, lease ended");
            return self.protocol.clock_suspended(now);
        }
        if let Some(seeds) = self.shared.take_seeds() {
            self.protocol.set_seeds(&seeds);
        }
        if self.shared.is_stopping() && !self.left {
            self.left = true;
            return self.protocol.leave(now);
        }
        self.protocol.tick(now)
    }

    fn hear_platform(&mut self, event: PlatformEvent) -> Vec<FleetAction> {
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
                log::warn!(error = error.to_string().as_str(); "failed to read the record_platform_read");
                self.protocol.platform_failed(now)
            }
        }
    }

    async fn carry_out(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Send { to, message } => self.outlets.peers.send(&to, message),
                FleetAction::Publish(snapshot) => self.publish(snapshot).await,
                FleetAction::SetContacts(hosts) => self.shared.set_contacts(&hosts),
                FleetAction::Refuse { revision, findings } => {
                    log::error!(revision = revision.0, findings = findings.as_str(); "tree refused");
                    let event = LedgerEvent::RefuseRevision(revision);
                    let _ = self.outlets.ledger.send(event).await;
                }
                FleetAction::Readiness(readiness) => {
                    log::info!(readiness = readiness.to_string().as_str(); "readiness changed");
                    self.shared.set_readiness(readiness);
                }
            }
        }
        self.share_timing();
        self.share_lease().await;
        self.count();
    }

    /// Waits for room in the channels, so a revision is delivered even when they are full of
    /// requests. This can't deadlock: neither the ledger nor the dispatcher waits for this thread.
    async fn publish(&self, snapshot: Arc<FleetSnapshot>) {
        log::info!(revision = snapshot.revision.0; "revision in force");
        self.shared.set_snapshot(&snapshot);
        let ledger = LedgerEvent::ApplySettings(Arc::clone(&snapshot));
        let _ = self.outlets.ledger.send(ledger).await;
        let _ = self
            .outlets
            .dispatch
            .send(DispatchEvent::ApplySettings(snapshot))
            .await;
    }

    fn share_timing(&self) {
        let now = Instant::now();
        self.shared.set_watch_timing(WatchTiming {
            wait: self.protocol.watch_wait(),
            grace: self.protocol.watch_grace(),
            pause: self.protocol.watch_pause(),
            idle: !self.protocol.reads_platform(now),
        });
    }

    async fn share_lease(&mut self) {
        let until = self.protocol.lease_end();
        if until == self.lease {
            return;
        }
        self.lease = until;
        self.shared.set_lease(until);
        let event = LedgerEvent::Lease(until);
        let _ = self.outlets.ledger.send(event).await;
    }

    fn count(&mut self) {
        let counters = *self.protocol.counters();
        let metrics = &self.shared.metrics;
        for (reason, before, after) in [
            ("check", self.counted.refused_trees, counters.refused_trees),
            ("conflict", self.counted.conflicts, counters.conflicts),
            (
                "stale",
                self.counted.stale_platform,
                counters.stale_platform,
            ),
            ("bad_delta", self.counted.bad_deltas, counters.bad_deltas),
        ] {
            for _ in before..after {
                metrics.record_rejected_tree(reason);
            }
        }
        self.counted = counters;
        let until = self.protocol.lease_end();
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        metrics.set_lease_left(left.unwrap_or_default());
        metrics.set_current(self.shared.is_current());
        metrics.set_ready(self.shared.readiness().is_ready() && !self.shared.is_stopping());
    }
}

/// Number of listed hosts in the region of this host.
pub(crate) fn listed_hosts(snapshot: &FleetSnapshot, shared: &DaemonShared) -> usize {
    snapshot.hosts.in_region(&shared.identity.region).count()
}
