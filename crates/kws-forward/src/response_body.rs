//! Forwards the response body of a backend server to the caller.

use crate::{
    control::TryClass,
    silence::SilenceTimer,
    try_guard::TryGuard,
    upstream::{UpstreamAddress, UpstreamPool},
};
use ntex::{
    http::{
        Payload,
        body::{BodySize, MessageBody},
    },
    io::IoRef,
    rt,
    util::Bytes,
};
use std::{
    collections::VecDeque,
    error::Error,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, Sleep, sleep_until, timeout, timeout_at},
};

/// The grace after the deadline before the connection of a caller that does not read is closed.
const STALL_GRACE: Duration = Duration::from_millis(100);
/// The grace after the deadline for reading what has arrived by then. A process that wakes late sees
/// its timers before the bytes that came meanwhile.
const READ_GRACE: Duration = Duration::from_millis(50);

/// The largest part of a body that is read before the head goes out to the caller, in bytes.
const MAX_EARLY_BYTES: usize = 32 * 1024;

/// The framing of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseLength {
    /// Content length, in bytes.
    Sized(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// The timeouts of a response body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimeouts {
    /// The deadline of the request.
    pub(crate) deadline: Instant,
    /// The longest time without data from the server.
    pub(crate) idle: Duration,
}

/// A response body received from a server, of which a part may be read already.
#[derive(Debug)]
pub(crate) struct ResponsePayload {
    arrived: VecDeque<Bytes>,
    rest: Payload,
    /// Whether the end was read already.
    ended: bool,
}

impl ResponsePayload {
    /// Takes what has arrived of the body, without waiting for more. A body that is already broken
    /// is thus found before the head goes out to the caller.
    ///
    /// # Errors
    /// [`BrokenBody`] if the body has failed.
    pub(crate) async fn start(rest: Payload) -> Result<Self, BrokenBody> {
        let mut payload = Self {
            arrived: VecDeque::new(),
            rest,
            ended: false,
        };
        let mut bytes = 0;
        while bytes < MAX_EARLY_BYTES && !payload.ended {
            let next = poll_fn(|context| Poll::Ready(payload.rest.poll_recv(context)));
            match next.await {
                Poll::Ready(Some(Ok(chunk))) => {
                    bytes += chunk.len();
                    payload.arrived.push_back(chunk);
                }
                Poll::Ready(Some(Err(_))) => return Err(BrokenBody),
                Poll::Ready(None) => payload.ended = true,
                Poll::Pending => break,
            }
        }
        Ok(payload)
    }

    fn poll_recv(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenBody>>> {
        if let Some(chunk) = self.arrived.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let received = self.rest.poll_recv(context);
        received.map(|chunk| chunk.map(|chunk| chunk.map_err(|_| BrokenBody)))
    }

    fn close(&mut self) {
        self.arrived.clear();
        self.rest = Payload::None;
    }
}

/// The body ended early or is malformed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenBody;

/// The source of a response body.
#[derive(Debug)]
pub(crate) struct ResponseSource {
    /// The body received from the server.
    pub(crate) payload: ResponsePayload,
    /// The framing of the body.
    pub(crate) length: ResponseLength,
    /// The server that sends it.
    pub(crate) address: UpstreamAddress,
    /// The pool whose idle connections to the server are discarded on an idle timeout.
    pub(crate) pool: Rc<UpstreamPool>,
}

/// A body that is either complete or ends with an abort of the caller's connection.
///
/// It never yields an error: the HTTP server would write an error response into the body, and the
/// caller would take that for the rest.
pub(crate) struct ResponseBody {
    source: ResponseSource,
    remaining: u64,
    caller: IoRef,
    guard: TryGuard,
    class: TryClass,
    silence: SilenceTimer,
    deadline: Pin<Box<Sleep>>,
    /// Whether the deadline has passed and the grace for reading runs.
    past_deadline: bool,
    aborted: bool,
    _deadline_watch: oneshot::Sender<()>,
}

impl ResponseBody {
    /// Creates a body that reports `class` once it is complete.
    pub(crate) fn new(
        source: ResponseSource,
        timeouts: ResponseTimeouts,
        caller: IoRef,
        guard: TryGuard,
        class: TryClass,
    ) -> Self {
        let remaining = match source.length {
            ResponseLength::Sized(bytes) => bytes,
            ResponseLength::Chunked => 0,
        };
        Self {
            source,
            remaining,
            _deadline_watch: watch_deadline(caller.clone(), timeouts.deadline),
            caller,
            guard,
            class,
            silence: SilenceTimer::new(timeouts.idle),
            deadline: Box::pin(sleep_until(timeouts.deadline)),
            past_deadline: false,
            aborted: false,
        }
    }

    /// Ready once the grace after the deadline has passed. It begins when the passed deadline is noticed.
    fn poll_overdue(&mut self, context: &mut Context<'_>) -> Poll<()> {
        std::task::ready!(self.deadline.as_mut().poll(context));
        if self.past_deadline {
            return Poll::Ready(());
        }
        self.past_deadline = true;
        self.deadline.as_mut().reset(Instant::now() + READ_GRACE);
        self.deadline.as_mut().poll(context)
    }

    fn abort(&mut self, class: TryClass) -> Poll<Option<Bytes>> {
        self.aborted = true;
        self.source.payload.close();
        self.guard.finish(class);
        self.caller.terminate();
        Poll::Pending
    }

    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.aborted {
            return Poll::Pending;
        }
        if self.poll_overdue(context).is_ready() {
            return self.abort(TryClass::TimedOut);
        }
        match self.source.payload.poll_recv(context) {
            Poll::Ready(Some(Ok(chunk))) => self.take_chunk(chunk),
            Poll::Ready(Some(Err(_))) => self.abort(TryClass::Failed),
            Poll::Ready(None) => self.end(),
            Poll::Pending => {
                std::task::ready!(self.silence.poll_idle(context));
                self.source.pool.discard_idle(self.source.address);
                self.abort(TryClass::TimedOut)
            }
        }
    }

    fn take_chunk(&mut self, chunk: Bytes) -> Poll<Option<Bytes>> {
        self.silence.record_data();
        if matches!(self.source.length, ResponseLength::Sized(_)) {
            let Some(remaining) = self.remaining.checked_sub(chunk.len() as u64) else {
                return self.abort(TryClass::Failed);
            };
            self.remaining = remaining;
            if remaining == 0 {
                // The HTTP server may not poll again after the last chunk.
                self.guard.finish(self.class);
            }
        }
        Poll::Ready(Some(chunk))
    }

    fn end(&mut self) -> Poll<Option<Bytes>> {
        if self.remaining > 0 {
            return self.abort(TryClass::Failed);
        }
        self.guard.finish(self.class);
        Poll::Ready(None)
    }
}

/// Closes the connection [`STALL_GRACE`] after `deadline` unless the returned sender is dropped
/// before. The grace begins when the passed deadline is noticed.
///
/// The HTTP server doesn't poll the body while the caller does not read, so the body can't enforce
/// the deadline itself.
fn watch_deadline(caller: IoRef, deadline: Instant) -> oneshot::Sender<()> {
    let (sender, mut dropped) = oneshot::channel();
    rt::spawn(async move {
        if timeout_at(deadline, &mut dropped).await.is_ok() {
            return;
        }
        if timeout(STALL_GRACE, dropped).await.is_err() {
            caller.terminate();
        }
    });
    sender
}

impl MessageBody for ResponseBody {
    fn size(&self) -> BodySize {
        match self.source.length {
            ResponseLength::Sized(bytes) => BodySize::Sized(bytes),
            ResponseLength::Chunked => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.poll_bytes(context).map(|chunk| chunk.map(Ok))
    }
}

/// The framing of a response without its body, such as the response to `HEAD`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EmptyBody(pub(crate) BodySize);

impl MessageBody for EmptyBody {
    fn size(&self) -> BodySize {
        self.0
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        Poll::Ready(None)
    }
}
