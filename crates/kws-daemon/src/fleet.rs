//! The duty that keeps the lease, the membership and the configuration.

use crate::{
    checker::ResolveChecker,
    dispatch::DispatchEvent,
    duty::start_duty,
    ledger::LedgerEvent,
    shared::{DaemonShared, PeerSender},
    suspend::SuspendWatch,
};
use eyre::Result;
use kws_admin::PlatformResult;
use kws_membership::{FleetAction, FleetCounters, FleetView, HostIdentity};
use kws_peer::InboundPeer;
use kws_platform::{PlatformEvent, WatchTiming};
use kws_protocol::FleetSnapshot;
use std::{
    hash::{BuildHasher, RandomState},
    sync::Arc,
};
use tokio::{
    sync::mpsc::{Receiver, Sender},
    time::{Instant, sleep_until},
};

/// The rings that the duty reads.
pub(crate) struct FleetRings {
    pub(crate) platform: Receiver<PlatformEvent>,
    pub(crate) peers: Receiver<InboundPeer>,
}

/// Where the duty sends what it decides.
pub(crate) struct FleetOutlets {
    pub(crate) peers: PeerSender,
    pub(crate) ledger: Sender<LedgerEvent>,
    pub(crate) dispatch: Sender<DispatchEvent>,
}

/// Starts the duty.
pub(crate) fn start_fleet(
    shared: Arc<DaemonShared>,
    rings: FleetRings,
    outlets: FleetOutlets,
) -> Result<()> {
    start_duty("fleet", move || run_fleet(shared, rings, outlets))
}

struct FleetDuty {
    shared: Arc<DaemonShared>,
    outlets: FleetOutlets,
    view: FleetView,
    lease: Option<Instant>,
    counted: FleetCounters,
    watch: SuspendWatch,
}

async fn run_fleet(shared: Arc<DaemonShared>, mut rings: FleetRings, outlets: FleetOutlets) {
    let mut duty = FleetDuty {
        view: new_view(&shared),
        shared,
        outlets,
        lease: None,
        counted: FleetCounters::default(),
        watch: SuspendWatch::new(),
    };
    let mut ticked = Instant::now();
    loop {
        let actions = tokio::select! {
            event = rings.platform.recv() => match event {
                Some(event) => duty.hear_platform(event),
                None => return,
            },
            message = rings.peers.recv() => match message {
                Some(inbound) => duty.view.receive(&inbound.from, inbound.message, Instant::now()),
                None => return,
            },
            () = sleep_until(ticked + duty.view.tick_interval()) => {
                ticked = Instant::now();
                duty.pass_time(ticked)
            }
        };
        duty.carry_out(actions).await;
    }
}

fn new_view(shared: &DaemonShared) -> FleetView {
    let identity = HostIdentity {
        name: shared.identity.host.clone(),
        region: shared.identity.region.clone(),
    };
    // A new hasher's keys are random, so two lives of one host don't share nonces.
    let seed = RandomState::new().hash_one(shared.identity.host.as_str());
    FleetView::new(identity, Box::new(ResolveChecker), seed, shared.born)
}

impl FleetDuty {
    fn pass_time(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.watch.slept() {
            log::warn!("the machine was suspended; the lease ends");
            return self.view.clock_stood_still(now);
        }
        self.view.tick(now)
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
                metrics.platform(PlatformResult::Changed, bytes);
                self.view.platform_answer(values, sent, now)
            }
            PlatformEvent::Confirmed {
                revision,
                sent,
                bytes,
            } => {
                metrics.platform(PlatformResult::Unchanged, bytes);
                self.view.platform_confirmed(revision, sent, now)
            }
            PlatformEvent::Failed { error } => {
                metrics.platform(PlatformResult::Failed, 0);
                log::warn!(error = error.to_string().as_str(); "the platform can't be read");
                self.view.platform_failed(now)
            }
        }
    }

    async fn carry_out(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Send { to, message } => self.outlets.peers.send(&to, message),
                FleetAction::Publish(snapshot) => self.publish(snapshot).await,
                FleetAction::Contact(hosts) => self.shared.set_addresses(&hosts),
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
        self.share_lease().await;
        self.count();
    }

    /// The rings of the ledger and the dispatcher take a revision even when they are full of
    /// requests: neither duty waits for this one.
    async fn publish(&self, snapshot: Arc<FleetSnapshot>) {
        log::info!(revision = snapshot.revision.0; "revision in force");
        self.shared.set_snapshot(&snapshot);
        self.shared.set_watch_timing(WatchTiming {
            wait: self.view.watch_wait(),
            grace: self.view.watch_grace(),
        });
        let ledger = LedgerEvent::Adopt(Arc::clone(&snapshot));
        let _ = self.outlets.ledger.send(ledger).await;
        let _ = self
            .outlets
            .dispatch
            .send(DispatchEvent::Adopt(snapshot))
            .await;
    }

    async fn share_lease(&mut self) {
        let until = self.view.current_until();
        if until == self.lease {
            return;
        }
        self.lease = until;
        self.shared.set_lease(until);
        let event = LedgerEvent::Lease(until);
        let _ = self.outlets.ledger.send(event).await;
    }

    fn count(&mut self) {
        let counters = *self.view.counters();
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
                metrics.tree_refused(reason);
            }
        }
        self.counted = counters;
        metrics.set_current(self.shared.is_current());
        metrics.set_ready(self.shared.readiness().is_ready() && !self.shared.is_stopping());
    }
}

/// The listed hosts of one region.
pub(crate) fn listed_hosts(snapshot: &FleetSnapshot, shared: &DaemonShared) -> usize {
    snapshot.hosts.in_region(&shared.identity.region).count()
}
