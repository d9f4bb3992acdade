//! I/O filter that applies the response guard to a connection to a backend server.

use crate::response_guard::ResponseGuard;
use ntex::io::{FilterBuf, FilterLayer};
use std::{cell::RefCell, io};

/// Filters a server's bytes through a [`ResponseGuard`] and leaves outgoing bytes unchanged.
#[derive(Debug)]
pub(crate) struct ResponseLayer(RefCell<ResponseGuard>);

impl ResponseLayer {
    /// Creates the filter of a new connection.
    pub(crate) fn new(id_header: &'static str) -> Self {
        Self(RefCell::new(ResponseGuard::new(id_header)))
    }
}

impl FilterLayer for ResponseLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            let mut guard = self.0.borrow_mut();
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
            let pages: Vec<&[u8]> = source.iter().collect();
            self.0.borrow_mut().record_write(pages.iter().copied());
            source.move_to(target);
            Ok(())
        })
    }
}
