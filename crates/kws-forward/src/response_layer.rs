//! I/O filter that applies the response guard to a connection to a backend server.

use crate::{
    control::{ExtraResponse, ForwardControl},
    request_id::truncate_id,
    response_guard::ResponseGuard,
    write_pages::append_pages,
};
use ntex::io::{FilterBuf, FilterLayer};
use std::{cell::RefCell, fmt, io, net::SocketAddr, sync::Arc};

/// Filters a server's bytes through a [`ResponseGuard`], reports extra responses and leaves outgoing
/// bytes unchanged.
pub(crate) struct ResponseLayer {
    guard: RefCell<ResponseGuard>,
    server: SocketAddr,
    control: Arc<dyn ForwardControl>,
}

impl ResponseLayer {
    /// Creates the filter of a new connection to `server`.
    pub(crate) fn new(
        id_header: &'static str,
        server: SocketAddr,
        control: Arc<dyn ForwardControl>,
    ) -> Self {
        Self {
            guard: RefCell::new(ResponseGuard::new(id_header)),
            server,
            control,
        }
    }

    fn report_extra(&self, guard: &mut ResponseGuard) {
        for found in guard.take_extra() {
            self.control.record_extra_response(&ExtraResponse {
                kind: found.kind,
                server: self.server,
                request_id: truncate_id(&found.request_id).to_owned(),
                expected_id: found.expected_id.map(|id| truncate_id(&id).to_owned()),
                status: found.status,
            });
        }
    }
}

impl fmt::Debug for ResponseLayer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ResponseLayer")
            .field("guard", &self.guard)
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl FilterLayer for ResponseLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            let mut guard = self.guard.borrow_mut();
            if target.is_empty() && guard.skip_body(input.len()) {
                *target = input;
                return Ok(());
            }
            let fed = guard.feed(&input, target);
            self.report_extra(&mut guard);
            fed.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, target| {
            let pages: Vec<&[u8]> = source.iter().collect();
            self.guard.borrow_mut().record_write(pages.iter().copied());
            append_pages(source, target);
            Ok(())
        })
    }
}
