//! State shared by the threads: the active snapshot, the lease, readiness and the metrics.

use crate::shared_instant::SharedInstant;
use arc_swap::ArcSwapOption;
use kws_admin::FleetMetrics;
use kws_forward::RoutingView;
use kws_membership::{Readiness, UnreadyReason};
use kws_peer::OutboundMessage;
use kws_platform::WatchTiming;
use kws_protocol::{
    CenterName, FleetSnapshot, HostName, ListedHost, LoanMessage, PeerMessage, RegionName,
    ServerStatus,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{sync::mpsc::Sender, time::Instant};

/// Identity of this daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonIdentity {
    pub(crate) host: HostName,
    pub(crate) region: RegionName,
    pub(crate) center: CenterName,
}

/// State that all threads read.
pub(crate) struct DaemonShared {
    pub(crate) identity: DaemonIdentity,
    pub(crate) started_at: Instant,
    pub(crate) metrics: FleetMetrics,
    pub(crate) stopping: AtomicBool,
    view: ArcSwapOption<RoutingView>,
    addresses: ArcSwapOption<HashMap<HostName, SocketAddr>>,
    contacts: ArcSwapOption<HashMap<HostName, SocketAddr>>,
    lease: SharedInstant,
    readiness: Mutex<Readiness>,
    /// Whether the host has held no lease since its start.
    joining: AtomicBool,
    servers: Mutex<Vec<ServerStatus>>,
    watch_timing: Mutex<WatchTiming>,
    seeds: Mutex<Option<Vec<SocketAddr>>>,
}

impl DaemonShared {
    pub(crate) fn new(
        identity: DaemonIdentity,
        metrics: FleetMetrics,
        watch_timing: WatchTiming,
    ) -> Self {
        let started_at = Instant::now();
        Self {
            identity,
            started_at,
            metrics,
            stopping: AtomicBool::new(false),
            view: ArcSwapOption::empty(),
            addresses: ArcSwapOption::empty(),
            contacts: ArcSwapOption::empty(),
            lease: SharedInstant::new(started_at),
            readiness: Mutex::new(Readiness::Unready(UnreadyReason::NoTree)),
            joining: AtomicBool::new(true),
            servers: Mutex::default(),
            watch_timing: Mutex::new(watch_timing),
            seeds: Mutex::default(),
        }
    }

    /// The active snapshot with its routing lookups.
    pub(crate) fn view(&self) -> Option<Arc<RoutingView>> {
        self.view.load_full()
    }

    pub(crate) fn snapshot(&self) -> Option<Arc<FleetSnapshot>> {
        let view = self.view.load();
        view.as_ref().map(|view| Arc::clone(&view.snapshot))
    }

    pub(crate) fn set_snapshot(&self, snapshot: &Arc<FleetSnapshot>) {
        self.set_addresses(&snapshot.hosts.hosts);
        let snapshot = Arc::clone(snapshot);
        let revision = snapshot.revision;
        let previous = self.view.load();
        let view = match previous.as_deref() {
            Some(previous) => previous.with_snapshot(snapshot),
            None => RoutingView::new(snapshot),
        };
        self.view.store(Some(Arc::new(view)));
        self.metrics.set_revision(revision);
    }

    /// Stores the peer addresses of the hosts listed in the snapshot.
    fn set_addresses(&self, hosts: &[ListedHost]) {
        let addresses = hosts.iter().map(|host| (host.name.clone(), host.peer));
        self.addresses.store(Some(Arc::new(addresses.collect())));
    }

    /// Stores the peer addresses of hosts that may be sent messages in addition to those of the
    /// snapshot.
    pub(crate) fn set_contacts(&self, hosts: &[ListedHost]) {
        let addresses = hosts.iter().map(|host| (host.name.clone(), host.peer));
        self.contacts.store(Some(Arc::new(addresses.collect())));
    }

    /// Whether the lease is valid now.
    pub(crate) fn is_current(&self) -> bool {
        self.lease
            .get()
            .is_some_and(|lease_end| Instant::now() < lease_end)
    }

    pub(crate) fn set_lease(&self, lease_end: Option<Instant>) {
        self.lease.set(lease_end);
        if lease_end.is_some() {
            self.joining.store(false, Ordering::Release);
        }
    }

    pub(crate) fn readiness(&self) -> Readiness {
        *lock(&self.readiness)
    }

    /// Whether the host has held no lease since its start.
    pub(crate) fn is_joining(&self) -> bool {
        self.joining.load(Ordering::Acquire)
    }

    pub(crate) fn set_readiness(&self, readiness: Readiness) {
        *lock(&self.readiness) = readiness;
    }

    pub(crate) fn servers(&self) -> Vec<ServerStatus> {
        lock(&self.servers).clone()
    }

    pub(crate) fn set_servers(&self, servers: Vec<ServerStatus>) {
        *lock(&self.servers) = servers;
    }

    pub(crate) fn watch_timing(&self) -> WatchTiming {
        *lock(&self.watch_timing)
    }

    pub(crate) fn set_watch_timing(&self, timing: WatchTiming) {
        *lock(&self.watch_timing) = timing;
    }

    /// Stores newer seeds for the fleet thread.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = Some(seeds);
    }

    /// Takes the newer seeds, if any were stored since the last call.
    pub(crate) fn take_seeds(&self) -> Option<Vec<SocketAddr>> {
        lock(&self.seeds).take()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    fn address(&self, host: &HostName) -> Option<SocketAddr> {
        let find = |addresses: &ArcSwapOption<HashMap<HostName, SocketAddr>>| {
            addresses.load().as_ref()?.get(host).copied()
        };
        find(&self.addresses).or_else(|| find(&self.contacts))
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends messages to peers.
#[derive(Clone)]
pub(crate) struct PeerSender {
    shared: Arc<DaemonShared>,
    outbound: Sender<OutboundMessage>,
}

impl PeerSender {
    pub(crate) fn new(shared: Arc<DaemonShared>, outbound: Sender<OutboundMessage>) -> Self {
        Self { shared, outbound }
    }

    /// Queues a message. It is dropped and counted if the channel is full; the exchange drops it if
    /// the host's address is unknown and no link to the host is open.
    pub(crate) fn send(&self, to: &HostName, message: PeerMessage) {
        let outbound = OutboundMessage {
            to: to.clone(),
            address: self.shared.address(to),
            message,
        };
        if self.outbound.try_send(outbound).is_err() {
            self.shared.metrics.record_full_channel("peers");
        }
    }

    pub(crate) fn send_loan(&self, to: &HostName, message: LoanMessage) {
        self.send(to, PeerMessage::Loan(message));
    }
}
