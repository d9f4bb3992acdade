//! The frame guard as a layer of a caller's connection.

use crate::frame_guard::FrameGuard;
use ntex::io::{FilterBuf, FilterLayer};
use std::{cell::RefCell, io};

/// Passes what a caller sends through a [`FrameGuard`], and what is sent to it unchanged.
#[derive(Debug)]
pub(crate) struct GuardLayer(RefCell<FrameGuard>);

impl GuardLayer {
    /// A layer for a new connection.
    pub(crate) fn new(max_head: usize) -> Self {
        Self(RefCell::new(FrameGuard::new(max_head)))
    }
}

impl FilterLayer for GuardLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            let mut guard = self.0.borrow_mut();
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
            source.move_to(target);
            Ok(())
        })
    }
}
