//! I/O filter that applies the frame guard to a caller's connection.

use crate::{
    frame_guard::FrameGuard,
    live_count::{LiveCount, LiveGuard},
};
use ntex::io::{FilterBuf, FilterLayer};
use std::{cell::RefCell, io};

/// Filters a caller's bytes through a [`FrameGuard`] and leaves outgoing bytes unchanged. Counts
/// the connection as pending from the first byte of a request to the first byte of its response.
#[derive(Debug)]
pub(crate) struct GuardLayer {
    guard: RefCell<FrameGuard>,
    unused_guard: RefCell<Option<LiveGuard>>,
    pending_requests: LiveCount,
    pending_guard: RefCell<Option<LiveGuard>>,
}

impl GuardLayer {
    /// Creates the filter of a new connection, which holds `unused_guard` until the first byte
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
        }
    }

    fn record_read(&self) {
        let mut pending_guard = self.pending_guard.borrow_mut();
        pending_guard.get_or_insert_with(|| self.pending_requests.track());
        self.unused_guard.take();
    }

    fn record_write(&self) {
        if self.guard.borrow().is_idle() {
            self.pending_guard.take();
        }
    }
}

impl FilterLayer for GuardLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            self.record_read();
            let mut guard = self.guard.borrow_mut();
            if target.is_empty() && guard.skip_body(input.len()) {
                *target = input;
                return Ok(());
            }
            let fed = guard.feed(&input, target);
            fed.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, target| {
            if !source.is_empty() {
                self.record_write();
            }
            source.move_to(target);
            Ok(())
        })
    }
}
