//! Listener for caller connections.

use crate::{
    caller_service::{plain_service, tls_service},
    connections::StopPhase,
    control::ForwardControl,
    listen_socket::ListenSocket,
    live_count::LiveCount,
    tls::{BackendTrust, CertificateStore, server_config},
    worker::WorkerParts,
};
use kws_protocol::HeaderDialect;
use ntex::{
    SharedCfg,
    http::HttpServiceConfig,
    rt::{DefaultRuntime, System},
    server::{self, Server},
    time::{Millis, Seconds},
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, interval, sleep},
};

/// Interval between reloads of the certificate files.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);
/// Name of the service within the HTTP server.
const SERVICE_NAME: &str = "callers";
/// Length of the accept backlog, in connections.
const MAX_BACKLOG: i32 = 1024;

/// Settings of a listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The number of worker threads.
    pub workers: usize,
    /// The maximum number of connections per worker.
    pub connections: usize,
    /// The largest request head of any route, in bytes.
    pub max_head: usize,
    /// How long an idle caller connection stays open; used in whole seconds.
    pub keep_alive: Duration,
    /// Time limit for receiving a request head; used in whole seconds.
    pub head_timeout: Duration,
    /// Time limit of a graceful stop, after which requests in flight are aborted; must exceed the
    /// deadline of every route.
    pub stop_timeout: Duration,
    /// The certificate for TLS with callers; without one the listener serves plain HTTP.
    pub certificate: Option<Arc<CertificateStore>>,
    /// The certificate authorities for services whose servers use TLS; without them these servers
    /// cannot be reached.
    pub backend_trust: Option<BackendTrust>,
    /// The names of the headers exchanged with callers and backend servers.
    pub dialect: HeaderDialect,
}

impl ListenerSettings {
    /// Creates settings for an address and a number of workers, with defaults for the rest.
    pub fn new(address: SocketAddr, workers: usize) -> Self {
        Self {
            address,
            workers,
            connections: 16_384,
            max_head: 64 * 1024,
            keep_alive: Duration::from_secs(75),
            head_timeout: Duration::from_secs(5),
            stop_timeout: Duration::from_hours(1),
            certificate: None,
            backend_trust: None,
            dialect: HeaderDialect::DEFAULT,
        }
    }
}

/// By when requests must arrive and end at a stop of a process that is killed later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// The latest arrival of the last byte of a request that may last longer than until `end`.
    pub arrival: Instant,
    /// When every response must have begun.
    pub end: Instant,
}

/// A running listener. Dropping the handle stops it like [`ListenerHandle::stop`], without waiting.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    draining: Arc<AtomicBool>,
    stop_times: watch::Sender<Option<StopTimes>>,
    stop: Option<oneshot::Sender<()>>,
    stopped: Option<oneshot::Receiver<()>>,
}

impl ListenerHandle {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts draining: every response closes its connection. New connections are still served.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Like [`Self::stop`], with every response to begin by [`StopTimes::end`]. Of the requests whose
    /// time limit ends later, those that are not at a backend server yet are refused as not run.
    /// Those whose body is still arriving at [`StopTimes::arrival`] are broken off then, and the
    /// others at the end.
    pub async fn stop_before(self, times: StopTimes) {
        self.stop_times.send_replace(Some(times));
        self.stop().await;
    }

    /// Closes the listening socket and idle connections, serves the requests that have begun to
    /// arrive, and returns when every request in flight has ended.
    pub async fn stop(mut self) {
        self.drain();
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(stopped) = self.stopped.take() {
            let _ = stopped.await;
        }
    }
}

/// Time limit for the server library to report that its last worker ended. It normally takes
/// milliseconds, but on a busy machine the report sometimes never comes.
const STOP_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for an accepted connection to reach its worker: normally milliseconds, more on a
/// busy machine.
const HANDOVER_DELAY: Duration = Duration::from_millis(200);
/// Time limit for the first byte on a connection accepted just before a stop: several round trips
/// between regions.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a listener on its own threads.
///
/// # Errors
/// If the address cannot be bound or the thread cannot be started.
pub fn run_listener(
    settings: ListenerSettings,
    control: Arc<dyn ForwardControl>,
) -> io::Result<ListenerHandle> {
    let listener = server::create_tcp_listener(settings.address, MAX_BACKLOG)?;
    let address = listener.local_addr()?;
    let draining = Arc::new(AtomicBool::new(false));
    let (stop_times, stop_times_receiver) = watch::channel(None);
    let (stop_phase, phase_receiver) = watch::channel(StopPhase::Serving);
    let (stop, stop_receiver) = oneshot::channel();
    let (stopped_sender, stopped) = oneshot::channel();
    let parts = WorkerParts {
        control,
        draining: Arc::clone(&draining),
        stop_phase: phase_receiver,
        stop_times: stop_times_receiver,
        unused_connections: LiveCount::default(),
        pending_requests: LiveCount::default(),
        live_workers: LiveCount::default(),
        backend_trust: settings.backend_trust.clone(),
        dialect: settings.dialect,
    };
    thread::Builder::new()
        .name("kws-callers".to_owned())
        .spawn(move || {
            let system = System::new("kws-callers", DefaultRuntime);
            let signals = StopSignals {
                stop: stop_receiver,
                phase: stop_phase,
            };
            system.block_on(serve_until_stop(settings, listener, parts, signals));
            let _ = stopped_sender.send(());
        })?;
    Ok(ListenerHandle {
        address,
        draining,
        stop_times,
        stop: Some(stop),
        stopped: Some(stopped),
    })
}

/// The channels by which a listener receives its stop and passes it on to its workers.
struct StopSignals {
    stop: oneshot::Receiver<()>,
    phase: watch::Sender<StopPhase>,
}

async fn serve_until_stop(
    settings: ListenerSettings,
    listener: TcpListener,
    parts: WorkerParts,
    signals: StopSignals,
) {
    let counts = parts.clone();
    let started = ListenSocket::new(&listener)
        .and_then(|socket| Ok((socket, start_server(&settings, listener, parts)?)));
    match started {
        Ok((socket, server)) => {
            wait_for_stop(signals.stop, settings.certificate.as_deref()).await;
            // A request on a connection that stays open could arrive too late to be answered.
            signals.phase.send_replace(StopPhase::CloseIdle);
            close_socket(&socket, &server).await;
            counts
                .unused_connections
                .wait_for_zero(FIRST_BYTE_TIMEOUT)
                .await;
            signals.phase.send_replace(StopPhase::CloseUnused);
            // Stopping the server drops requests whose heads have not been read completely.
            counts
                .pending_requests
                .wait_for_zero(settings.head_timeout * 2)
                .await;
            tokio::select! {
                () = server.stop(true) => {}
                () = workers_ended(&counts.live_workers, settings.stop_timeout) => {
                    log::warn!("all workers ended, but the HTTP server did not report its stop");
                }
            }
        }
        Err(error) => log::error!("cannot start the caller listener: {error}"),
    }
}

/// Closes the listening socket once all connections in its backlog have reached their workers.
async fn close_socket(socket: &ListenSocket, server: &Server) {
    socket.drain_backlog().await;
    socket.close();
    sleep(HANDOVER_DELAY).await;
    // Pause only now: pausing drops connections that the accept loop has not yet handed over.
    // Without a pause the loop would retry the closed socket indefinitely.
    server.pause().await;
}

/// Waits until the last worker has ended, and then for the server to report its stop.
async fn workers_ended(workers: &LiveCount, limit: Duration) {
    workers.wait_for_zero(limit).await;
    sleep(STOP_REPORT_TIMEOUT).await;
}

/// Waits for the stop signal and reloads the certificate files periodically.
async fn wait_for_stop(mut stop: oneshot::Receiver<()>, certificate: Option<&CertificateStore>) {
    let mut reload = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = &mut stop => return,
            _ = reload.tick() => {}
        }
        if let Some(Err(error)) = certificate.map(CertificateStore::reload) {
            log::warn!("cannot reload the certificate; the previous one stays in use: {error}");
        }
    }
}

fn start_server(
    settings: &ListenerSettings,
    listener: TcpListener,
    parts: WorkerParts,
) -> io::Result<Server> {
    let builder = server::build()
        .workers(settings.workers)
        .maxconn(settings.connections)
        .disable_signals()
        .shutdown_timeout(Millis(settings.stop_timeout.as_millis() as u32));
    let max_head = settings.max_head;
    let builder = match &settings.certificate {
        Some(store) => {
            let tls = server_config(Arc::clone(store)).map_err(io::Error::other)?;
            builder.listen(SERVICE_NAME, listener, async move |_| {
                tls_service(Arc::clone(&tls), max_head, parts.clone())
            })?
        }
        None => builder.listen(SERVICE_NAME, listener, async move |_| {
            plain_service(max_head, parts.clone())
        })?,
    };
    Ok(builder.config(SERVICE_NAME, http_config(settings)).run())
}

fn http_config(settings: &ListenerSettings) -> SharedCfg {
    let seconds = |time: Duration| Seconds(time.as_secs().max(1) as u16);
    SharedCfg::new("CALLERS")
        .add(
            HttpServiceConfig::new()
                .set_max_buf_size(settings.max_head)
                .set_keepalive(seconds(settings.keep_alive))
                .set_client_timeout(seconds(settings.head_timeout)),
        )
        .into()
}
