//! Counts the open connections of a worker, so that a stop waits for all of them.
//!
//! The HTTP service of the library signals that no connection is open only once, the first time
//! this happens. A worker that had been idle before would stop at once and abort requests in
//! flight, so shutdown also waits for this count to reach zero.

use crate::live_count::{LiveCount, LiveGuard};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use std::{cell::Cell, rc::Rc, task::Context};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct OpenConnections {
    count: Cell<usize>,
    closed: Notify,
}

/// Counts one open connection until dropped.
struct ConnectionGuard(Rc<OpenConnections>);

impl ConnectionGuard {
    fn new(open: &Rc<OpenConnections>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_waiters();
    }
}

/// Wraps the services of `F` in [`CountedService`].
pub(crate) struct CountedFactory<F>(pub(crate) F, pub(crate) LiveCount);

impl<R, C, F: ServiceFactory<R, C>> ServiceFactory<R, C> for CountedFactory<F> {
    type Response = F::Response;
    type Error = F::Error;
    type Service = CountedService<F::Service>;
    type InitError = F::InitError;

    async fn create(&self, config: C) -> Result<Self::Service, Self::InitError> {
        Ok(CountedService {
            inner: self.0.create(config).await?,
            open: Rc::default(),
            _worker: self.1.track(),
        })
    }
}

/// A service that counts its calls in progress; each call is one connection.
pub(crate) struct CountedService<S> {
    inner: S,
    open: Rc<OpenConnections>,
    _worker: LiveGuard,
}

impl<R, S: Service<R>> Service<R> for CountedService<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn call(
        &self,
        connection: R,
        ctx: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let _guard = ConnectionGuard::new(&self.open);
        ctx.call(&self.inner, connection).await
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
        while self.open.count.get() > 0 {
            self.open.closed.notified().await;
        }
    }
}
