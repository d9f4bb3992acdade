//! The socket of a link, which limits what is read before the other end is authenticated.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that are read before authentication. The handshake takes a few hundred, and
/// one read may take the first messages after it with it.
const MAX_HANDSHAKE_BYTES: usize = 64 * 1024;

/// A socket whose reads fail once the handshake exceeds its limit.
#[derive(Debug)]
pub(crate) struct LinkSocket {
    stream: TcpStream,
    /// Bytes that may still be read; `None` once the other end is authenticated.
    readable: Option<usize>,
}

impl LinkSocket {
    /// Wraps a socket whose other end is unknown.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            readable: Some(MAX_HANDSHAKE_BYTES),
        }
    }

    /// Ends the limit, since the other end is authenticated.
    pub(crate) fn set_authenticated(&mut self) {
        self.readable = None;
    }
}

impl AsyncRead for LinkSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let Some(readable) = self.readable else {
            return Poll::Ready(Ok(()));
        };
        let Some(rest) = readable.checked_sub(count) else {
            let message = "too many bytes before authentication";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        };
        self.readable = Some(rest);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LinkSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
