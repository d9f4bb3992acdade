//! The report of a try, made exactly once.

use crate::control::{ForwardControl, GrantTicket, TryClass, TryOutcome};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Ends its grant when it is finished or dropped; a dropped try counts as cancelled, unless its
/// head had decided already.
pub(crate) struct TryGuard {
    control: Arc<dyn ForwardControl>,
    ticket: GrantTicket,
    started: Instant,
    latency: Option<Duration>,
    draining: bool,
    unfinished: TryClass,
    finished: bool,
}

impl TryGuard {
    /// Starts the clock of a try.
    pub(crate) fn new(control: Arc<dyn ForwardControl>, ticket: GrantTicket) -> Self {
        Self {
            control,
            ticket,
            started: Instant::now(),
            latency: None,
            draining: false,
            unfinished: TryClass::Cancelled,
            finished: false,
        }
    }

    /// Stops the clock: the answer's head came.
    pub(crate) fn head_came(&mut self, draining: bool) {
        self.latency = Some(self.started.elapsed());
        self.draining = draining;
    }

    /// The head says how the try ends, whether its body is read or not.
    pub(crate) fn decided(&mut self, class: TryClass) {
        self.unfinished = class;
    }

    /// Reports the try.
    pub(crate) fn finish(&mut self, class: TryClass) {
        if self.finished {
            return;
        }
        self.finished = true;
        let outcome = TryOutcome {
            latency: self.latency.unwrap_or_else(|| self.started.elapsed()),
            class,
            draining: self.draining,
        };
        self.control.finish(self.ticket, outcome);
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        self.finish(self.unfinished);
    }
}
