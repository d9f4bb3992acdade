//! The timeout for silence within a body.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};

/// Measures only the time spent waiting for the sender, not the time its bytes wait for the reader.
pub(crate) struct SilenceTimer {
    idle: Duration,
    sleep: Pin<Box<Sleep>>,
    waiting: bool,
}

impl fmt::Debug for SilenceTimer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SilenceTimer")
            .field("idle", &self.idle)
            .finish_non_exhaustive()
    }
}

impl SilenceTimer {
    /// A timer that is not running.
    pub(crate) fn new(idle: Duration) -> Self {
        Self {
            idle,
            sleep: Box::pin(sleep(idle)),
            waiting: false,
        }
    }

    /// The sender said something.
    pub(crate) fn heard(&mut self) {
        self.waiting = false;
    }

    /// The sender says nothing now; ready when it has been so for too long.
    pub(crate) fn poll_silent(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.waiting {
            self.waiting = true;
            self.sleep.as_mut().reset(Instant::now() + self.idle);
        }
        self.sleep.as_mut().poll(context)
    }
}
