//! The open connections of a worker: a stop closes the idle ones and waits for the others.
//!
//! The HTTP service of the library signals that no connection is open only once, the first time
//! this happens. A worker that had been idle before would stop at once and abort requests in
//! flight, so shutdown also waits until no connection is left here.

use crate::{
    caller_connection::{CallerConnection, ConnectionActivity, ConnectionHandle},
    live_count::{LiveCount, LiveGuard},
};
use ntex::{
    io::{Filter, Io, IoRef},
    rt,
    service::{Service, ServiceCtx, ServiceFactory},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    task::Context,
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

/// The interval at which a stopping worker looks for connections that have become idle.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);

/// Which caller connections a listener closes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    /// None: the listener serves.
    Serving,
    /// Those that have been used and are idle. An unused one may have been accepted just now.
    CloseIdle,
    /// All but those with a request.
    CloseUnused,
}

impl StopPhase {
    fn closes(self, activity: ConnectionActivity) -> bool {
        match activity {
            ConnectionActivity::Busy => false,
            ConnectionActivity::Idle => self != Self::Serving,
            ConnectionActivity::Unused => self == Self::CloseUnused,
        }
    }
}

struct OpenConnection {
    io: IoRef,
    state: Rc<CallerConnection>,
}

impl OpenConnection {
    /// Whether the last response has been passed to the operating system.
    fn has_flushed(&self) -> bool {
        self.io.with_write_dst_buf(|pages| pages.is_empty())
    }
}

#[derive(Default)]
struct OpenConnections {
    connections: RefCell<HashMap<u64, OpenConnection>>,
    next_id: Cell<u64>,
    closed: Notify,
}

impl OpenConnections {
    fn add(self: &Rc<Self>, io: IoRef, handle: ConnectionHandle) -> ConnectionGuard {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = OpenConnection {
            io,
            state: handle.0,
        };
        self.connections.borrow_mut().insert(id, connection);
        ConnectionGuard {
            id,
            open: Rc::clone(self),
        }
    }

    /// Closes the connections that `phase` closes. Each check and close happens between two reads of
    /// the connection, so a request is either read and served or still unread when the connection
    /// closes.
    fn close(&self, phase: StopPhase) {
        for connection in self.connections.borrow().values() {
            if phase.closes(connection.state.activity()) && connection.has_flushed() {
                connection.state.discard_input();
                connection.io.close();
            }
        }
    }
}

/// Keeps a connection in its worker's [`OpenConnections`] until dropped.
struct ConnectionGuard {
    id: u64,
    open: Rc<OpenConnections>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.connections.borrow_mut().remove(&self.id);
        self.open.closed.notify_waiters();
    }
}

/// Closes connections from the start of a stop until the listener has ended.
async fn close_on_stop(open: Rc<OpenConnections>, mut phase: watch::Receiver<StopPhase>) {
    let is_stopping = |phase: &StopPhase| *phase != StopPhase::Serving;
    if phase.wait_for(is_stopping).await.is_err() {
        return;
    }
    while phase.has_changed().is_ok() {
        open.close(*phase.borrow_and_update());
        sleep(CLOSE_INTERVAL).await;
    }
}

/// Wraps the services of `F` in [`TrackedService`].
pub(crate) struct TrackedFactory<F> {
    /// Creates the inner services.
    pub(crate) inner: F,
    /// Counts the workers.
    pub(crate) live_workers: LiveCount,
    /// Which connections to close.
    pub(crate) stop_phase: watch::Receiver<StopPhase>,
}

impl<I, C, F> ServiceFactory<Io<I>, C> for TrackedFactory<F>
where
    I: Filter,
    F: ServiceFactory<Io<I>, C>,
{
    type Response = F::Response;
    type Error = F::Error;
    type Service = TrackedService<F::Service>;
    type InitError = F::InitError;

    async fn create(&self, config: C) -> Result<Self::Service, Self::InitError> {
        let open = Rc::<OpenConnections>::default();
        rt::spawn(close_on_stop(Rc::clone(&open), self.stop_phase.clone()));
        Ok(TrackedService {
            inner: self.inner.create(config).await?,
            open,
            _worker: self.live_workers.track(),
        })
    }
}

/// A service whose calls in progress are the open connections of a worker.
pub(crate) struct TrackedService<S> {
    inner: S,
    open: Rc<OpenConnections>,
    _worker: LiveGuard,
}

impl<I: Filter, S: Service<Io<I>>> Service<Io<I>> for TrackedService<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn call(
        &self,
        io: Io<I>,
        ctx: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let handle = io.query::<ConnectionHandle>().as_ref().cloned();
        let _guard = handle.map(|handle| self.open.add(io.get_ref(), handle));
        ctx.call(&self.inner, io).await
    }

    async fn ready(&self, ctx: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        ctx.ready(&self.inner).await
    }

    fn poll(&self, context: &mut Context<'_>) -> Result<(), Self::Error> {
        self.inner.poll(context)
    }

    /// Shuts down the inner service, which closes idle connections, then waits for the others.
    async fn shutdown(&self) {
        self.inner.shutdown().await;
        while !self.open.connections.borrow().is_empty() {
            self.open.closed.notified().await;
        }
    }
}
