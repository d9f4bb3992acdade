//! I/O filter below TLS that bounds what a TLS session leaves unread.

use crate::write_pages::append_pages;
use ntex::io::{FilterBuf, FilterLayer};
use std::io;

/// Maximum number of bytes that wait for the TLS session, in bytes. An open session takes all of them at
/// once; one that the peer has closed takes none, and the library reads on until the connection is shut
/// down.
const MAX_UNREAD: usize = 64 * 1024;

/// Ends a connection whose bytes the TLS session above doesn't take.
#[derive(Debug)]
pub(crate) struct SessionLayer;

impl FilterLayer for SessionLayer {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            if target.len() + input.len() > MAX_UNREAD {
                let message = "bytes after the end of the TLS session";
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            }
            if target.is_empty() {
                *target = input;
            } else {
                target.extend_from_slice(&input);
            }
            Ok(())
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, target| {
            append_pages(source, target);
            Ok(())
        })
    }
}
