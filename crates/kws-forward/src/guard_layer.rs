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
    fresh: RefCell<Option<LiveGuard>>,
    pending: LiveCount,
    mark: RefCell<Option<LiveGuard>>,
}

impl GuardLayer {
    /// Creates the filter of a new connection, which holds `fresh` until the first byte arrives.
    pub(crate) fn new(max_head: usize, fresh: LiveGuard, pending: LiveCount) -> Self {
        Self {
            guard: RefCell::new(FrameGuard::new(max_head)),
            fresh: RefCell::new(Some(fresh)),
            pending,
            mark: RefCell::new(None),
        }
    }

    fn note_read(&self) {
        let mut mark = self.mark.borrow_mut();
        mark.get_or_insert_with(|| self.pending.track());
        self.fresh.take();
    }

    fn note_write(&self) {
        if self.guard.borrow().is_between() {
            self.mark.take();
        }
    }
}

impl FilterLayer for GuardLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            self.note_read();
            let mut guard = self.guard.borrow_mut();
            if target.is_empty() && guard.passes(input.len()) {
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
                self.note_write();
            }
            source.move_to(target);
            Ok(())
        })
    }
}
