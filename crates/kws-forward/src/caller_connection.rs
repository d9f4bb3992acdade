//! State of one caller connection, shared by its I/O filter, its requests and the worker.

use crate::{
    frame_guard::{FrameGuard, FramingError},
    live_count::{LiveCount, LiveGuard},
};
use ntex::util::BytesMut;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

/// Input up to this size is copied into a buffer of its size, in bytes. Bodies wait in parts of the
/// buffers that they were read into, and a small part would keep a whole one of 16 KiB.
const MAX_COPY: usize = 4 * 1024;

/// What happens on a connection at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionActivity {
    /// No byte has arrived yet.
    Unused,
    /// A request is being received or served, or its response sent.
    Busy,
    /// Between two requests.
    Idle,
}

/// Validates what a caller sends and tracks whether the connection is idle. Counts the connection as
/// pending from the first byte of a request to the first byte of its response.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    guard: RefCell<FrameGuard>,
    unused_guard: RefCell<Option<LiveGuard>>,
    pending_requests: LiveCount,
    pending_guard: RefCell<Option<LiveGuard>>,
    /// Requests that are being served or whose responses are not complete.
    open_exchanges: Cell<usize>,
    /// Whether a response has announced that the connection closes after it.
    announced_close: Cell<bool>,
}

impl CallerConnection {
    /// Creates the state of a new connection, which holds `unused_guard` until the first byte
    /// arrives.
    pub(crate) fn new(
        max_head: usize,
        unused_guard: LiveGuard,
        pending_requests: LiveCount,
    ) -> Self {
        Self {
            guard: RefCell::new(FrameGuard::new(max_head)),
            unused_guard: RefCell::new(Some(unused_guard)),
            pending_requests,
            pending_guard: RefCell::new(None),
            open_exchanges: Cell::new(0),
            announced_close: Cell::new(false),
        }
    }

    /// What happens on the connection.
    pub(crate) fn activity(&self) -> ConnectionActivity {
        if self.unused_guard.borrow().is_some() {
            return ConnectionActivity::Unused;
        }
        if self.pending_guard.borrow().is_some() || self.open_exchanges.get() > 0 {
            return ConnectionActivity::Busy;
        }
        ConnectionActivity::Idle
    }

    /// Validates bytes from the caller and moves them to `target`.
    ///
    /// # Errors
    /// [`FramingError`] if the framing of a body is malformed.
    pub(crate) fn read(&self, source: BytesMut, target: &mut BytesMut) -> Result<(), FramingError> {
        let mut guard = self.guard.borrow_mut();
        if !guard.is_closed() {
            let mut pending_guard = self.pending_guard.borrow_mut();
            pending_guard.get_or_insert_with(|| self.pending_requests.track());
        }
        self.unused_guard.take();
        let is_small = source.len() <= MAX_COPY;
        if target.is_empty() && is_small {
            *target = BytesMut::with_capacity(source.len());
        }
        if target.is_empty() && !is_small && guard.skip_body(source.len()) {
            *target = source;
            return Ok(());
        }
        guard.feed(&source, target)
    }

    /// Records that bytes of a response are written.
    pub(crate) fn record_write(&self) {
        if self.guard.borrow().is_idle() {
            self.pending_guard.take();
        }
    }

    /// Discards all further bytes from the caller.
    pub(crate) fn discard_input(&self) {
        self.guard.borrow_mut().close();
        self.unused_guard.take();
    }
}

/// Gives the requests of a connection access to its state.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle(pub(crate) Rc<CallerConnection>);

impl ConnectionHandle {
    /// Marks the connection as busy until the returned guard is dropped.
    pub(crate) fn open_exchange(&self) -> ExchangeGuard {
        let open = &self.0.open_exchanges;
        open.set(open.get() + 1);
        ExchangeGuard(Rc::clone(&self.0))
    }

    /// Records that a response announces that the connection closes after it.
    pub(crate) fn announce_close(&self) {
        self.0.announced_close.set(true);
    }

    /// Whether an earlier response has announced that the connection closes after it. Callers take
    /// further requests on it for not processed.
    pub(crate) fn has_announced_close(&self) -> bool {
        self.0.announced_close.get()
    }
}

/// Marks a connection as busy with a request until dropped.
#[derive(Debug)]
pub(crate) struct ExchangeGuard(Rc<CallerConnection>);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let open = &self.0.open_exchanges;
        open.set(open.get() - 1);
    }
}
