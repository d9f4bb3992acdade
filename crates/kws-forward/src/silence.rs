//! The idle timeout while a body is received.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};

/// An idle timer that counts only the time spent waiting for the sender, not the time during which
/// received data waits for the reader.
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
    /// Creates a stopped timer.
    pub(crate) fn new(idle: Duration) -> Self {
        Self {
            idle,
            sleep: Box::pin(sleep(idle)),
            waiting: false,
        }
    }

    /// Stops the timer, since data arrived.
    pub(crate) fn record_data(&mut self) {
        self.waiting = false;
    }

    /// Starts the timer unless it runs. Ready once no data has arrived for the idle timeout.
    pub(crate) fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.waiting {
            self.waiting = true;
            self.sleep.as_mut().reset(Instant::now() + self.idle);
        }
        self.sleep.as_mut().poll(context)
    }
}
