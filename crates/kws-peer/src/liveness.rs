//! Liveness of a link: whether the peer still responds.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Liveness state of a link, with the time at which it was entered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LivenessState {
    /// Data was received and nothing has been written since.
    Idle(Instant),
    /// Data was written and nothing has been received since.
    AwaitingReply(Instant),
    /// A ping was sent and nothing has been received since.
    Pinged(Instant),
}

/// Liveness of a link, shared by its reader, its writer and its queue.
#[derive(Debug)]
pub(crate) struct LinkLiveness(Mutex<LivenessState>);

impl LinkLiveness {
    /// The liveness of a new link, which starts idle.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(LivenessState::Idle(Instant::now())))
    }

    pub(crate) fn state(&self) -> LivenessState {
        *self.lock()
    }

    /// Records that data was received, pongs included.
    pub(crate) fn record_received(&self) {
        *self.lock() = LivenessState::Idle(Instant::now());
    }

    /// Records a write; an earlier write that is still unanswered keeps its time.
    pub(crate) fn record_write(&self) {
        let mut state = self.lock();
        if matches!(*state, LivenessState::Idle(_)) {
            *state = LivenessState::AwaitingReply(Instant::now());
        }
    }

    /// Records that a ping is sent.
    pub(crate) fn record_ping(&self) {
        *self.lock() = LivenessState::Pinged(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, LivenessState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
