//! State shared by the requests of one worker.

use crate::{
    connections::StopPhase,
    control::{ForwardControl, Refusal},
    listener::StopTimes,
    live_count::LiveCount,
    refusal::RequestRefusal,
    request_id::IdSource,
    route_history::RouteHistory,
    tls::BackendTrust,
    upstream::UpstreamPool,
};
use kws_protocol::{HeaderDialect, RefusalReason};
use std::{
    future::{Future, pending},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// Shared parts that each worker's state is created from.
#[derive(Clone)]
pub(crate) struct WorkerParts {
    /// Makes the decisions on requests.
    pub(crate) control: Arc<dyn ForwardControl>,
    /// Set while the listener drains.
    pub(crate) draining: Arc<AtomicBool>,
    /// Which connections a stop closes.
    pub(crate) stop_phase: watch::Receiver<StopPhase>,
    /// By when requests must end; set when a stop with such a limit begins.
    pub(crate) stop_times: watch::Receiver<Option<StopTimes>>,
    /// Counts connections on which no byte has arrived yet.
    pub(crate) unused_connections: LiveCount,
    /// Counts requests without a response yet.
    pub(crate) pending_requests: LiveCount,
    /// Counts the running workers.
    pub(crate) live_workers: LiveCount,
    /// The certificate authorities trusted for backend servers.
    pub(crate) backend_trust: Option<BackendTrust>,
    /// The names of the headers exchanged with callers and backend servers.
    pub(crate) dialect: HeaderDialect,
}

/// State of one worker thread.
pub(crate) struct WorkerState {
    /// Makes the decisions on requests.
    pub(crate) control: Arc<dyn ForwardControl>,
    /// Pool of connections to backend servers.
    pub(crate) pool: Rc<UpstreamPool>,
    /// Generates request identifiers.
    pub(crate) ids: IdSource,
    /// The names of the headers exchanged with callers and backend servers.
    pub(crate) dialect: HeaderDialect,
    /// What is known of the routes' requests and responses.
    pub(crate) routes: RouteHistory,
    draining: Arc<AtomicBool>,
    stop_times: watch::Receiver<Option<StopTimes>>,
}

impl WorkerState {
    /// Creates the state of a new worker.
    pub(crate) fn new(parts: WorkerParts) -> Self {
        let pool = UpstreamPool::new(
            parts.backend_trust,
            &parts.dialect,
            Arc::clone(&parts.control),
        );
        Self {
            control: parts.control,
            pool: Rc::new(pool),
            ids: IdSource::new(),
            dialect: parts.dialect,
            routes: RouteHistory::default(),
            draining: parts.draining,
            stop_times: parts.stop_times,
        }
    }

    /// Whether the listener is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Waits for a stop that ends before `deadline` to begin, and returns its times.
    pub(crate) async fn stop_before(&self, deadline: Instant) -> StopTimes {
        let mut stop_times = self.stop_times.clone();
        let is_before = |times: &Option<StopTimes>| times.is_some_and(|times| times.end < deadline);
        let announced = stop_times.wait_for(is_before).await.ok();
        match announced.and_then(|times| *times) {
            Some(times) => times,
            None => pending().await,
        }
    }

    /// Waits for `decision` on a request, but not beyond the begin of a stop that ends before its
    /// `deadline`.
    ///
    /// # Errors
    /// The refusal of the decision, [`RefusalReason::DeadlineEarly`] or [`RefusalReason::Stopping`].
    pub(crate) async fn decided<T>(
        &self,
        decision: impl Future<Output = Result<T, Refusal>>,
        deadline: Instant,
    ) -> Result<T, RequestRefusal> {
        let decided = tokio::select! {
            biased;
            _ = self.stop_before(deadline) => Err(RefusalReason::Stopping.into()),
            decided = timeout_at(deadline, decision) => {
                decided.unwrap_or(Err(RefusalReason::DeadlineEarly.into()))
            }
        };
        decided.map_err(RequestRefusal::from)
    }
}
