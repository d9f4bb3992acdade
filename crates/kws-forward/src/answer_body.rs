//! The backend server's body on its way to the caller.

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
    error::Error,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, Sleep, sleep_until, timeout_at},
};

/// How long after the deadline a caller that does not read is cut off.
const STALL_GRACE: Duration = Duration::from_millis(100);

/// How an answer's body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerLength {
    /// This many bytes.
    Sized(u64),
    /// Chunked.
    Chunked,
}

/// The times that bound a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimes {
    /// When the request must have ended.
    pub(crate) deadline: Instant,
    /// The longest silence of the server.
    pub(crate) idle: Duration,
}

/// Where a body comes from.
#[derive(Debug)]
pub(crate) struct AnswerSource {
    /// The body.
    pub(crate) payload: Payload,
    /// Its framing.
    pub(crate) length: AnswerLength,
    /// The server.
    pub(crate) address: UpstreamAddress,
    /// The connections to doubt when this one goes silent.
    pub(crate) pool: Rc<UpstreamPool>,
}

/// A body that ends whole or aborts the caller's connection.
///
/// It never yields an error: the HTTP server would write an answer of its own into the body, and
/// the caller would take that for the rest.
pub(crate) struct AnswerBody {
    source: AnswerSource,
    remaining: u64,
    caller: IoRef,
    guard: TryGuard,
    class: TryClass,
    silence: SilenceTimer,
    deadline: Pin<Box<Sleep>>,
    aborted: bool,
    _watch: oneshot::Sender<()>,
}

impl AnswerBody {
    /// A body that reports `class` once it is whole.
    pub(crate) fn new(
        source: AnswerSource,
        times: AnswerTimes,
        caller: IoRef,
        guard: TryGuard,
        class: TryClass,
    ) -> Self {
        let remaining = match source.length {
            AnswerLength::Sized(bytes) => bytes,
            AnswerLength::Chunked => 0,
        };
        Self {
            source,
            remaining,
            _watch: watch_deadline(caller.clone(), times.deadline + STALL_GRACE),
            caller,
            guard,
            class,
            silence: SilenceTimer::new(times.idle),
            deadline: Box::pin(sleep_until(times.deadline)),
            aborted: false,
        }
    }

    fn abort(&mut self, class: TryClass) -> Poll<Option<Bytes>> {
        self.aborted = true;
        self.source.payload = Payload::None;
        self.guard.finish(class);
        self.caller.terminate();
        Poll::Pending
    }

    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.aborted {
            return Poll::Pending;
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return self.abort(TryClass::Late);
        }
        match self.source.payload.poll_recv(context) {
            Poll::Ready(Some(Ok(chunk))) => self.take_chunk(chunk),
            Poll::Ready(Some(Err(_))) => self.abort(TryClass::Bad),
            Poll::Ready(None) => self.end(),
            Poll::Pending => {
                std::task::ready!(self.silence.poll_silent(context));
                self.source.pool.doubt(self.source.address);
                self.abort(TryClass::Late)
            }
        }
    }

    fn take_chunk(&mut self, chunk: Bytes) -> Poll<Option<Bytes>> {
        self.silence.heard();
        if matches!(self.source.length, AnswerLength::Sized(_)) {
            let Some(remaining) = self.remaining.checked_sub(chunk.len() as u64) else {
                return self.abort(TryClass::Bad);
            };
            self.remaining = remaining;
            if remaining == 0 {
                // The server need not ask for a chunk after the last one.
                self.guard.finish(self.class);
            }
        }
        Poll::Ready(Some(chunk))
    }

    fn end(&mut self) -> Poll<Option<Bytes>> {
        if self.remaining > 0 {
            return self.abort(TryClass::Bad);
        }
        self.guard.finish(self.class);
        Poll::Ready(None)
    }
}

/// Closes the connection at `deadline` unless the sender is dropped before.
///
/// The server polls no body while its caller does not read, so the body alone can't keep time.
fn watch_deadline(caller: IoRef, deadline: Instant) -> oneshot::Sender<()> {
    let (sender, dropped) = oneshot::channel();
    rt::spawn(async move {
        if timeout_at(deadline, dropped).await.is_err() {
            caller.terminate();
        }
    });
    sender
}

impl MessageBody for AnswerBody {
    fn size(&self) -> BodySize {
        match self.source.length {
            AnswerLength::Sized(bytes) => BodySize::Sized(bytes),
            AnswerLength::Chunked => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.poll_bytes(context).map(|chunk| chunk.map(Ok))
    }
}

/// The framing of an answer without its body, for `HEAD`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadBody(pub(crate) BodySize);

impl MessageBody for HeadBody {
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
