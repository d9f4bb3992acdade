//! Liveness of a link: whether the peer still responds.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Liveness state of a link, with the time at which it was entered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PulseState {
    /// Data was received and nothing has been written since.
    Idle(Instant),
    /// Data was written and nothing has been received since.
    Written(Instant),
    /// A ping was sent and nothing has been received since.
    Tested(Instant),
}

/// Liveness of a link, shared by its reader, its writer and its queue.
#[derive(Debug)]
pub(crate) struct LinkPulse(Mutex<PulseState>);

impl LinkPulse {
    /// The liveness of a new link, which starts idle.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(PulseState::Idle(Instant::now())))
    }

    pub(crate) fn state(&self) -> PulseState {
        *self.lock()
    }

    /// Records that data was received, pongs included.
    pub(crate) fn heard(&self) {
        *self.lock() = PulseState::Idle(Instant::now());
    }

    /// Records a write; an earlier write that is still unanswered keeps its time.
    pub(crate) fn written(&self) {
        let mut state = self.lock();
        if matches!(*state, PulseState::Idle(_)) {
            *state = PulseState::Written(Instant::now());
        }
    }

    /// Records that a ping is sent.
    pub(crate) fn tested(&self) {
        *self.lock() = PulseState::Tested(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, PulseState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
