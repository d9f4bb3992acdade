//! I/O filter that bounds what the HTTP client buffers of a response before it can parse it.

use ntex::io::{FilterBuf, FilterLayer};
use std::io;

/// Maximum number of bytes that wait for the parser, in bytes. The client stops reading at 16 KiB, unless
/// it needs more for a head, which it limits to 64 KiB, or for a line between chunks, which it does not
/// limit.
const MAX_UNPARSED: usize = 128 * 1024;

/// Ends a connection whose bytes can't be parsed.
#[derive(Debug)]
pub(crate) struct ParseLimit;

impl FilterLayer for ParseLimit {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| {
            let Some(input) = source.take() else {
                return Ok(());
            };
            if target.len() + input.len() > MAX_UNPARSED {
                let message = "a line of the response is too long";
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
            source.move_to(target);
            Ok(())
        })
    }
}
