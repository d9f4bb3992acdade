//! The listener for callers.

use crate::{
    control::ForwardControl, exchange::serve, guard_layer::GuardLayer,
    protocol_reply::answer_control, worker::WorkerState,
};
use ntex::{
    SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, Request, error::DispatchError},
    io::Io,
    rt::{DefaultRuntime, System},
    server::{self, Server},
    service::{ServiceFactory, chain_factory, fn_factory},
    time::{Millis, Seconds},
};
use std::{
    cell::OnceCell,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::sync::oneshot;

/// The name of the service in the HTTP server.
const SERVICE_NAME: &str = "callers";
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Header lines of a request.
const MAX_HEADERS: usize = 128;

/// The settings of a listener.
#[derive(Clone, Copy, Debug)]
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

    /// Accepts no more, and returns when every request in flight has ended.
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
    let flag = Arc::clone(&draining);
    thread::Builder::new()
        .name("kws-callers".to_owned())
        .spawn(move || {
            let system = System::new("kws-callers", DefaultRuntime);
            system.block_on(async move {
                match start_server(settings, listener, control, flag) {
                    Ok(server) => {
                        let _ = stop_asked.await;
                        server.stop(true).await;
                    }
                    Err(error) => log::error!("caller listener: {error}"),
                }
            });
            let _ = stopped_sender.send(());
        })?;
    Ok(ListenerHandle {
        address,
        draining,
        stop: Some(stop),
        stopped: Some(stopped),
    })
}

fn start_server(
    settings: ListenerSettings,
    listener: std::net::TcpListener,
    control: Arc<dyn ForwardControl>,
    draining: Arc<AtomicBool>,
) -> io::Result<Server> {
    let builder = server::build()
        .workers(settings.workers)
        .maxconn(settings.connections)
        .disable_signals()
        .shutdown_timeout(Millis(settings.stop_timeout.as_millis() as u32))
        .listen(SERVICE_NAME, listener, async move |_| {
            let (control, draining) = (Arc::clone(&control), Arc::clone(&draining));
            let worker = move || WorkerState::new(Arc::clone(&control), Arc::clone(&draining));
            caller_service(settings.max_head, worker)
        })?;
    Ok(builder.config(SERVICE_NAME, http_config(settings)).run())
}

/// The way of a connection: the guard of its bytes, then the HTTP server.
fn caller_service(
    max_head: usize,
    new_worker: impl Fn() -> WorkerState + 'static,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = DispatchError, InitError = ()> {
    // The two services are made one after the other on the worker's own thread.
    let worker = Rc::new(OnceCell::<Rc<WorkerState>>::new());
    let new_worker = Rc::new(new_worker);
    let shared = move || Rc::clone(worker.get_or_init(|| Rc::new(new_worker())));
    let served = shared.clone();
    let http = HttpService::h1(fn_factory(async move || {
        let worker = served();
        Ok::<_, ()>(fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Ok::<_, io::Error>(serve(worker, request).await) }
        }))
    }))
    .control(fn_factory(async move || {
        let worker = shared();
        Ok::<_, ()>(fn_service(move |control| {
            let ack = answer_control(&worker, control);
            async move { Ok::<_, io::Error>(ack) }
        }))
    }));
    chain_factory(fn_service(move |io: Io| {
        let guarded = io.add_filter(GuardLayer::new(max_head));
        async move { Ok::<_, DispatchError>(guarded) }
    }))
    .map_init_err(|(): ()| ())
    .and_then(http)
}

fn http_config(settings: ListenerSettings) -> SharedCfg {
    let seconds = |time: Duration| Seconds(time.as_secs().max(1) as u16);
    SharedCfg::new("CALLERS")
        .add(
            HttpServiceConfig::new()
                .set_max_headers(MAX_HEADERS)
                .set_max_buf_size(settings.max_head)
                .set_keepalive(seconds(settings.keep_alive))
                .set_client_timeout(seconds(settings.head_timeout)),
        )
        .into()
}
