//! The listener for callers.

use crate::{
    caller_service::{plain_service, tls_service},
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
    sync::oneshot,
    time::{interval, sleep},
};

/// How often the files of the certificate are read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);
/// The name of the service in the HTTP server.
const SERVICE_NAME: &str = "callers";
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// The settings of a listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Worker threads.
    pub workers: usize,
    /// Connections of each worker.
    pub connections: usize,
    /// The largest request head of any route, in bytes.
    pub max_head: usize,
    /// How long an idle connection of a caller stays open, in whole seconds.
    pub keep_alive: Duration,
    /// The longest time for a request's head, in whole seconds.
    pub head_timeout: Duration,
    /// After this long a graceful stop cuts what is still in flight; above every route's deadline.
    pub stop_timeout: Duration,
    /// The certificate for callers; without one they speak plain HTTP.
    pub certificate: Option<Arc<CertificateStore>>,
    /// Whom to trust where a service's servers speak TLS; without it none of them is reached.
    pub backend_trust: Option<BackendTrust>,
    /// The names of the headers by which callers and backend servers talk.
    pub dialect: HeaderDialect,
}

impl ListenerSettings {
    /// Settings for an address and a number of workers, with defaults for the rest.
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

/// A running listener; dropping it stops it as [`ListenerHandle::stop`] does, without waiting.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    draining: Arc<AtomicBool>,
    stop: Option<oneshot::Sender<()>>,
    stopped: Option<oneshot::Receiver<()>>,
}

impl ListenerHandle {
    /// Where the listener listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks callers to leave: every answer closes its connection. New connections are still served.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Answers the requests that have begun to arrive, accepts no more, and returns when every
    /// request in flight has ended.
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

/// How long the library may take to tell that its last worker ended: it does so within milliseconds,
/// but was seen not to do so at all on a busy machine.
const WORKER_WORD: Duration = Duration::from_millis(500);

/// The way of an accepted connection to its worker: milliseconds, more on a busy machine.
const HAND_OVER: Duration = Duration::from_millis(200);
/// How long a caller that has connected last may take to begin its request: a round trip between
/// regions, several times over.
const FIRST_BYTE: Duration = Duration::from_millis(500);

/// Starts a listener on threads of its own.
///
/// # Errors
/// When the address cannot be bound or the thread not started.
pub fn run_listener(
    settings: ListenerSettings,
    control: Arc<dyn ForwardControl>,
) -> io::Result<ListenerHandle> {
    let listener = server::create_tcp_listener(settings.address, BACKLOG)?;
    let address = listener.local_addr()?;
    let draining = Arc::new(AtomicBool::new(false));
    let (stop, stop_asked) = oneshot::channel();
    let (stopped_sender, stopped) = oneshot::channel();
    let parts = WorkerParts {
        control,
        draining: Arc::clone(&draining),
        fresh: LiveCount::default(),
        pending: LiveCount::default(),
        workers: LiveCount::default(),
        trust: settings.backend_trust.clone(),
        dialect: settings.dialect,
    };
    thread::Builder::new()
        .name("kws-callers".to_owned())
        .spawn(move || {
            let system = System::new("kws-callers", DefaultRuntime);
            system.block_on(serve_until_stop(settings, listener, parts, stop_asked));
            let _ = stopped_sender.send(());
        })?;
    Ok(ListenerHandle {
        address,
        draining,
        stop: Some(stop),
        stopped: Some(stopped),
    })
}

async fn serve_until_stop(
    settings: ListenerSettings,
    listener: TcpListener,
    parts: WorkerParts,
    stop: oneshot::Receiver<()>,
) {
    let counts = parts.clone();
    let started = ListenSocket::of(&listener)
        .and_then(|socket| Ok((socket, start_server(&settings, listener, parts)?)));
    match started {
        Ok((socket, server)) => {
            wait_for_stop(stop, settings.certificate.as_deref()).await;
            close_socket(&socket, &server).await;
            // The server would drop requests whose heads it has not read whole.
            counts.fresh.wait_for_zero(FIRST_BYTE).await;
            counts
                .pending
                .wait_for_zero(settings.head_timeout * 2)
                .await;
            tokio::select! {
                () = server.stop(true) => {}
                () = workers_ended(&counts.workers, settings.stop_timeout) => {
                    log::warn!("the workers ended without a word");
                }
            }
        }
        Err(error) => log::error!("caller listener: {error}"),
    }
}

/// Refuses new connections once all that were let in are with their workers.
async fn close_socket(socket: &ListenSocket, server: &Server) {
    socket.settle().await;
    socket.close();
    sleep(HAND_OVER).await;
    // Only now: a server that pauses drops what its accept loop has in hand. It must pause, or the
    // loop would try the closed socket again and again.
    server.pause().await;
}

/// Returns some time after the last worker ended.
async fn workers_ended(workers: &LiveCount, limit: Duration) {
    workers.wait_for_zero(limit).await;
    sleep(WORKER_WORD).await;
}

/// Waits, and reads the certificate's files again from time to time.
async fn wait_for_stop(mut stop: oneshot::Receiver<()>, certificate: Option<&CertificateStore>) {
    let mut reload = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = &mut stop => return,
            _ = reload.tick() => {}
        }
        if let Some(Err(error)) = certificate.map(CertificateStore::reload) {
            log::warn!("the certificate in use stays: {error}");
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
