//! Starts and connects the daemon's threads; stops them in order.

use crate::{
    DaemonOptions,
    admin::{start_admin, start_optional_admin},
    control::ChannelControl,
    dispatch::{DispatchEvent, start_dispatch},
    fleet::{FleetInputs, FleetOutputs, start_fleet},
    ledger::{LedgerEvent, start_ledger},
    peers::{PeerOutputs, start_peers},
    placement::start_placement,
    platform::start_watch,
    shared::{DaemonIdentity, DaemonShared, PeerSender},
    tokens::start_tokens,
};
use eyre::{Result, WrapErr};
use kws_admin::FleetMetrics;
use kws_forward::{
    BackendTrust, CertificateFiles, CertificateStore, ForwardControl, ListenerHandle,
    ListenerSettings, StopTimes, run_listener,
};
use kws_platform::WatchTiming;
use kws_protocol::HostName;
use kws_tree::{HostSettings, PlatformSource};
use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};
use tokio::{
    sync::mpsc::{Sender, channel},
    time::{Instant, sleep, timeout_at},
};

/// The end of the grace period that is kept for the process's own exit: the HTTP server takes up to
/// 750 ms to stop once the last response has ended.
const EXIT_RESERVE: Duration = Duration::from_secs(1);
/// The end of the grace period by which the process exits, whatever is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Part of the grace period in which the whole of a request must arrive whose time limit ends after it.
/// A request that arrives in the first half may still be at a server at the end; a little less than
/// half allows for a signal that is handled late.
const ARRIVAL_RATIO: f64 = 0.45;
/// Capacity of the channel of platform events.
const PLATFORM_EVENTS_CAPACITY: usize = 8;
/// Capacity of the channel of peer messages to the fleet thread.
const FLEET_MESSAGES_CAPACITY: usize = 1024;
/// Capacity of the channel of events to the ledger.
const LEDGER_EVENTS_CAPACITY: usize = 16 * 1024;
/// Capacity of the channel of events to the dispatcher. Each open ticket reserves one entry for its
/// end.
const DISPATCH_EVENTS_CAPACITY: usize = 32 * 1024;
/// Capacity of the channel of messages to the peer exchange.
const OUTBOUND_MESSAGES_CAPACITY: usize = 4096;
/// Interval between tries to bind an address that is in use.
const BIND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of tries after the first; together they take 5 s, less than the shortest known grace period.
const BIND_RETRIES: usize = 50;
/// Timing of the platform watch until the fleet thread has chosen the readers.
const INITIAL_TIMING: WatchTiming = WatchTiming {
    wait: Duration::from_secs(1),
    grace: Duration::from_millis(250),
    pause: Duration::ZERO,
    idle: true,
};

/// A running daemon.
pub struct RunningDaemon {
    shared: Arc<DaemonShared>,
    listener: ListenerHandle,
    ledger: Sender<LedgerEvent>,
    drain_lag: Duration,
    admin: SocketAddr,
    peer: SocketAddr,
    settings: HostSettings,
}

impl RunningDaemon {
    /// The address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The address that serves metrics and status.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// The address on which peers connect.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// All metrics in the text format.
    ///
    /// # Errors
    /// When the metrics can't be encoded.
    pub fn render_metrics(&self) -> Result<String> {
        self.shared
            .metrics
            .render()
            .wrap_err("failed to encode the metrics")
    }

    /// Whether the load balancer should send requests to this host.
    pub fn is_ready(&self) -> bool {
        self.shared.readiness().is_ready() && self.shared.is_current() && !self.shared.is_stopping()
    }

    /// Applies newer settings of this host. Changed seeds take effect immediately; all other
    /// changes take effect at the next start.
    pub fn reload(&mut self, settings: &HostSettings, cause: &str) {
        if settings == &self.settings {
            return;
        }
        let with_active_seeds = HostSettings {
            seeds: self.settings.seeds.clone(),
            ..settings.clone()
        };
        log::info!(
            cause = cause,
            seeds = settings.seeds != self.settings.seeds,
            at_next_start = with_active_seeds != self.settings;
            "settings changed"
        );
        if settings.seeds != self.settings.seeds {
            self.shared.set_seeds(settings.seeds.clone());
        }
        self.settings = settings.clone();
    }

    /// Stops in order: turns readiness off, keeps serving for the drain lag while the load balancer
    /// notices, with responses that close their connections, returns the loans, then waits for all
    /// requests in flight. From the end of the drain lag on, requests that may not end within the
    /// grace period are refused or broken off. Returns before the grace period ends.
    pub async fn stop(self) {
        let grace = self.settings.grace;
        let started = Instant::now();
        let times = StopTimes {
            arrival: started + grace.mul_f64(ARRIVAL_RATIO),
            end: started + grace.saturating_sub(EXIT_RESERVE),
        };
        let exit = started + grace.saturating_sub(EXIT_MARGIN);
        self.shared.stopping.store(true, Ordering::Release);
        log::info!("stopping");
        // Callers in use of a connection leave it before the stop closes the idle ones.
        self.listener.drain();
        sleep(self.drain_lag).await;
        let _ = self.ledger.send(LedgerEvent::Stop).await;
        let stopped = timeout_at(exit, self.listener.stop_before(times)).await;
        if stopped.is_err() {
            log::warn!(
                "connections of callers are still open shortly before the grace period ends"
            );
        }
        log::info!("stopped");
    }
}

/// Starts all threads of the daemon.
///
/// # Errors
/// When an address can't be bound, a thread can't be started, or a certificate can't be loaded.
pub fn start_daemon(options: &DaemonOptions) -> Result<RunningDaemon> {
    let settings = &options.settings;
    let admin = if settings.admin_optional {
        None
    } else {
        Some(bind("admin", settings.admin)?)
    };
    let peer = bind("peer", settings.peer)?;
    let peer_address = peer.local_addr()?;
    let admin_address = match &admin {
        Some(admin) => admin.local_addr()?,
        None => settings.admin,
    };
    let identity = DaemonIdentity {
        host: host_name(settings, peer_address),
        region: settings.region.clone(),
        center: settings.center.clone(),
    };
    let metrics = FleetMetrics::new().wrap_err("failed to register the metrics")?;
    let shared = Arc::new(DaemonShared::new(identity, metrics, INITIAL_TIMING));
    if let Some(admin) = admin {
        start_admin(Arc::clone(&shared), admin)?;
    }
    if let Some(ready) = settings.ready {
        start_admin(Arc::clone(&shared), bind("readiness", ready)?)?;
    }
    let channels = start_threads(&shared, options, peer)?;

    let control = ChannelControl::new(
        Arc::clone(&shared),
        channels.ledger.clone(),
        channels.dispatch,
        has_shared_placement(settings),
    );
    let control: Arc<dyn ForwardControl> = Arc::new(control);
    let listener = listener_settings(options)?;
    let run = || run_listener(listener.clone(), Arc::clone(&control));
    let listener = retry_bind("callers", settings.listen, run)
        .wrap_err_with(|| format!("failed to serve callers on {}", settings.listen))?;
    if settings.admin_optional {
        // The addresses that callers and hosts need come first.
        start_optional_admin(Arc::clone(&shared), settings.admin)?;
    }
    log::info!(
        host = shared.identity.host.as_str(),
        listen = listener.address().to_string().as_str(),
        admin = admin_address.to_string().as_str(),
        peer = peer_address.to_string().as_str();
        "started"
    );
    Ok(RunningDaemon {
        shared,
        listener,
        ledger: channels.ledger,
        drain_lag: options.drain_lag,
        admin: admin_address,
        peer: peer_address,
        settings: settings.clone(),
    })
}

fn listener_settings(options: &DaemonOptions) -> Result<ListenerSettings> {
    let settings = &options.settings;
    let mut listener = ListenerSettings::new(settings.listen, options.workers);
    if has_shared_placement(settings) {
        listener.dialect = kws_adapter::HEADERS;
    }
    if let Some(tls) = &settings.tls {
        let files = CertificateFiles {
            chain: tls.certificate.clone(),
            key: tls.key.clone(),
        };
        let store = CertificateStore::load(files).wrap_err("failed to load the certificate")?;
        listener.certificate = Some(Arc::new(store));
    }
    if let Some(path) = &settings.backend_ca_file {
        let trust = BackendTrust::load(path);
        listener.backend_trust =
            Some(trust.wrap_err("failed to load the certificate authorities of backend servers")?);
    }
    Ok(listener)
}

/// The channels that the caller listeners write to.
struct RequestChannels {
    ledger: Sender<LedgerEvent>,
    dispatch: Sender<DispatchEvent>,
}

fn start_threads(
    shared: &Arc<DaemonShared>,
    options: &DaemonOptions,
    listener: TcpListener,
) -> Result<RequestChannels> {
    let (platform_events, platform) = channel(PLATFORM_EVENTS_CAPACITY);
    let (fleet_messages, fleet) = channel(FLEET_MESSAGES_CAPACITY);
    let (ledger, ledger_events) = channel(LEDGER_EVENTS_CAPACITY);
    let (dispatch, dispatch_events) = channel(DISPATCH_EVENTS_CAPACITY);
    let (outbound, outbound_messages) = channel(OUTBOUND_MESSAGES_CAPACITY);
    let peers = PeerSender::new(Arc::clone(shared), outbound);

    if has_shared_placement(&options.settings) {
        start_tokens(
            Arc::clone(shared),
            &options.settings,
            ledger_events,
            peers.clone(),
        )?;
        start_placement(Arc::clone(shared), dispatch_events, peers.clone())?;
    } else {
        start_ledger(Arc::clone(shared), ledger_events, peers.clone())?;
        start_dispatch(Arc::clone(shared), dispatch_events, peers.clone())?;
    }
    let outputs = PeerOutputs {
        fleet: fleet_messages,
        ledger: ledger.clone(),
        dispatch: dispatch.clone(),
    };
    let secret = options.secret.clone();
    start_peers(
        Arc::clone(shared),
        listener,
        secret,
        outbound_messages,
        outputs,
    )?;
    let inputs = FleetInputs {
        platform,
        peers: fleet,
    };
    let outputs = FleetOutputs {
        peers,
        ledger: ledger.clone(),
        dispatch: dispatch.clone(),
    };
    start_fleet(Arc::clone(shared), &options.settings, inputs, outputs)?;
    let source = options.settings.platform.clone();
    start_watch(source, Arc::clone(shared), platform_events)?;
    Ok(RequestChannels { ledger, dispatch })
}

fn bind(name: &str, address: SocketAddr) -> Result<TcpListener> {
    retry_bind(name, address, || TcpListener::bind(address))
        .wrap_err_with(|| format!("failed to bind the {name} listener to {address}"))
}

/// Runs `bind` again while the address is in use, [`BIND_RETRIES`] times at most: the process before may
/// still hold it.
fn retry_bind<T>(
    name: &str,
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> io::Result<T> {
    let in_use = |error: &io::Error| error.kind() == ErrorKind::AddrInUse;
    for number in 0..BIND_RETRIES {
        let result = bind();
        if !result.as_ref().is_err_and(in_use) {
            return result;
        }
        if number == 0 {
            log::warn!(
                listener = name,
                address = address.to_string().as_str();
                "address in use, waiting"
            );
        }
        thread::sleep(BIND_INTERVAL);
    }
    bind()
}

/// Whether the hosts of a region share placement and token buckets. They do where the platform is a
/// metadata store and hosts discover each other.
fn has_shared_placement(settings: &HostSettings) -> bool {
    matches!(settings.platform, PlatformSource::Store { .. })
}

/// The name of this host: with a metadata store the peer address and a random incarnation,
/// otherwise the name from the settings, which is new for each incarnation, or the peer address.
fn host_name(settings: &HostSettings, peer: SocketAddr) -> HostName {
    if has_shared_placement(settings) {
        let incarnation = format!("{:08x}", rand::random::<u32>());
        return HostName::with_incarnation(&peer.to_string(), &incarnation);
    }
    let name = settings.name.as_deref();
    name.map_or_else(|| HostName::new(&peer.to_string()), HostName::new)
}
