//! I/O filter that applies the frame guard to a caller's connection.

use crate::{
    caller_connection::{CallerConnection, ConnectionHandle},
    write_pages::append_pages,
};
use ntex::io::{FilterBuf, FilterLayer};
use std::{
    any::{Any, TypeId},
    io,
    rc::Rc,
};

/// Filters a caller's bytes through a [`CallerConnection`] and leaves outgoing bytes unchanged.
#[derive(Debug)]
pub(crate) struct GuardLayer(Rc<CallerConnection>);

impl GuardLayer {
    /// Creates the filter of a connection.
    pub(crate) fn new(connection: CallerConnection) -> Self {
        Self(Rc::new(connection))
    }
}

impl FilterLayer for GuardLayer {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        let handle = ConnectionHandle(Rc::clone(&self.0));
        (id == TypeId::of::<ConnectionHandle>()).then(|| Box::new(handle) as Box<dyn Any>)
    }

    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            let read = self.0.read(input, target);
            read.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, target| {
            if !source.is_empty() {
                self.0.record_write();
            }
            append_pages(source, target);
            Ok(())
        })
    }
}
