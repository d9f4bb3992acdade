//! What the requests of one worker share.

use crate::{
    control::ForwardControl, credential::KeyTable, request_id::IdSource, upstream::UpstreamPool,
};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// The state of one worker thread.
pub(crate) struct WorkerState {
    /// The decisions.
    pub(crate) control: Arc<dyn ForwardControl>,
    /// Connections to backend servers.
    pub(crate) pool: UpstreamPool,
    /// Lookup of keys.
    pub(crate) keys: KeyTable,
    /// Identifiers of requests.
    pub(crate) ids: IdSource,
    draining: Arc<AtomicBool>,
}

impl WorkerState {
    /// The state of a new worker.
    pub(crate) fn new(control: Arc<dyn ForwardControl>, draining: Arc<AtomicBool>) -> Self {
        Self {
            control,
            pool: UpstreamPool::default(),
            keys: KeyTable::default(),
            ids: IdSource::new(),
            draining,
        }
    }

    /// Whether callers are asked to leave.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
