//! Forwards the request body of a caller to a backend server.

use crate::{head::BodyLength, silence::SilenceTimer};
use kws_protocol::RefusalReason;
use ntex::{
    http::{
        Payload,
        body::{BodySize, MessageBody},
    },
    util::Bytes,
};
use std::{
    cell::RefCell,
    error::Error,
    fmt,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

/// The largest body of which a copy is kept for another try, in bytes. Bookings and payments fit; the
/// copies of a thousand requests at once take a tenth of the memory of a host with 160 MB.
const MAX_RESEND_BYTES: u64 = 16 * 1024;

/// The limits of a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The largest size, in bytes.
    pub(crate) max_bytes: u64,
    /// The longest time without data from the caller.
    pub(crate) idle: Duration,
}

/// A request body, shared by all tries but read from the caller at most once. Each clone sends the
/// body from its beginning.
#[derive(Clone, Debug)]
pub(crate) struct RequestBody {
    source: Rc<RefCell<BodySource>>,
    /// The number of bytes that this clone has sent.
    sent: usize,
}

struct BodySource {
    payload: Payload,
    length: BodyLength,
    limits: BodyLimits,
    received: u64,
    /// Whether the end of a chunked body has been read.
    ended: bool,
    /// A copy of the bytes received so far; empty once they exceed [`MAX_RESEND_BYTES`]. A chunk
    /// itself would keep the whole read buffer that it is a part of.
    kept: Vec<u8>,
    failure: Option<RefusalReason>,
    silence: SilenceTimer,
}

impl fmt::Debug for BodySource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BodySource")
            .field("length", &self.length)
            .field("received", &self.received)
            .finish_non_exhaustive()
    }
}

/// The body ended early, stalled or exceeded a limit.
#[derive(Debug, thiserror::Error)]
#[error("request body ended early, stalled or exceeded the limit")]
struct BodyError;

impl RequestBody {
    /// Creates a body of which nothing has been read.
    pub(crate) fn new(payload: Payload, length: BodyLength, limits: BodyLimits) -> Self {
        let source = BodySource {
            payload,
            length,
            limits,
            received: 0,
            ended: false,
            kept: Vec::new(),
            failure: None,
            silence: SilenceTimer::new(limits.idle),
        };
        Self {
            source: Rc::new(RefCell::new(source)),
            sent: 0,
        }
    }

    /// Whether a further try can still send the complete body.
    pub(crate) fn is_resendable(&self) -> bool {
        let source = self.source.borrow();
        source.received <= MAX_RESEND_BYTES && source.failure.is_none()
    }

    /// Whether the whole body has been read from the caller.
    pub(crate) fn is_received(&self) -> bool {
        let source = self.source.borrow();
        match source.length {
            BodyLength::None => true,
            BodyLength::Sized(bytes) => bytes == source.received,
            BodyLength::Chunked => source.ended,
        }
    }

    /// The reason why reading the body failed, if it did.
    pub(crate) fn failure(&self) -> Option<RefusalReason> {
        self.source.borrow().failure
    }

    /// Whether the body is absent or has length zero.
    pub(crate) fn is_empty(&self) -> bool {
        self.source.borrow().is_empty()
    }

    /// Whether the body has chunked coding.
    pub(crate) fn is_chunked(&self) -> bool {
        self.source.borrow().length == BodyLength::Chunked
    }

    /// Whether the request declares no body at all.
    pub(crate) fn is_absent(&self) -> bool {
        self.source.borrow().length == BodyLength::None
    }
}

impl BodySource {
    fn is_empty(&self) -> bool {
        matches!(self.length, BodyLength::None | BodyLength::Sized(0))
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self.payload.poll_recv(context) {
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(self.take_chunk(chunk))),
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(self.fail(RefusalReason::BadRequest))),
            Poll::Ready(None) => Poll::Ready(self.end()),
            Poll::Pending => {
                std::task::ready!(self.silence.poll_idle(context));
                Poll::Ready(Some(self.fail(RefusalReason::DeadlinePassed)))
            }
        }
    }

    fn take_chunk(&mut self, chunk: Bytes) -> Result<Bytes, BodyError> {
        self.received += chunk.len() as u64;
        if self.received > self.limits.max_bytes {
            return self.fail(RefusalReason::BodyTooLarge);
        }
        self.silence.record_data();
        if self.received <= MAX_RESEND_BYTES {
            self.kept.extend_from_slice(&chunk);
        } else {
            self.kept = Vec::new();
        }
        Ok(chunk)
    }

    /// Ends the body. One that is shorter than declared fails, so that the server doesn't take it
    /// for complete.
    fn end(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.length {
            BodyLength::Sized(bytes) if bytes != self.received => {
                Some(self.fail(RefusalReason::BadRequest))
            }
            _ => {
                self.ended = true;
                None
            }
        }
    }

    fn fail(&mut self, reason: RefusalReason) -> Result<Bytes, BodyError> {
        self.failure = Some(reason);
        Err(BodyError)
    }
}

impl MessageBody for RequestBody {
    fn size(&self) -> BodySize {
        match self.source.borrow().length {
            BodyLength::None => BodySize::None,
            BodyLength::Sized(0) => BodySize::Empty,
            BodyLength::Sized(bytes) => BodySize::Sized(bytes),
            BodyLength::Chunked => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let mut source = self.source.borrow_mut();
        if let Some(kept @ [_, ..]) = source.kept.get(self.sent..) {
            self.sent += kept.len();
            return Poll::Ready(Some(Ok(Bytes::copy_from_slice(kept))));
        }
        let chunk = std::task::ready!(source.poll_chunk(context));
        if let Some(Ok(chunk)) = &chunk {
            self.sent += chunk.len();
        }
        Poll::Ready(chunk.map(|chunk| chunk.map_err(|error| Rc::new(error) as Rc<dyn Error>)))
    }
}
