//! Reports the outcome of a try exactly once.

use crate::control::{ForwardControl, GrantTicket, TryClass, TryOutcome};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Releases the slot and reports the outcome when finished or dropped. A dropped try counts as
/// cancelled unless its response head already determined the class.
pub(crate) struct TryGuard {
    control: Arc<dyn ForwardControl>,
    ticket: GrantTicket,
    started: Instant,
    latency: Option<Duration>,
    draining: bool,
    status: u16,
    drop_class: TryClass,
    finished: bool,
}

impl TryGuard {
    /// Starts measuring the latency of a try.
    pub(crate) fn new(control: Arc<dyn ForwardControl>, ticket: GrantTicket) -> Self {
        Self {
            control,
            ticket,
            started: Instant::now(),
            latency: None,
            draining: false,
            status: 0,
            drop_class: TryClass::Cancelled,
            finished: false,
        }
    }

    /// Records that a response head with this status arrived, which ends the latency.
    pub(crate) fn record_head(&mut self, status: u16, draining: bool) {
        self.latency = Some(self.started.elapsed());
        self.draining = draining;
        self.status = status;
    }

    /// Sets the class to report if the guard is dropped, for a head that determines the class
    /// whether the body is read or not.
    pub(crate) fn set_drop_class(&mut self, class: TryClass) {
        self.drop_class = class;
    }

    /// Reports the outcome; later calls have no effect.
    pub(crate) fn finish(&mut self, class: TryClass) {
        if self.finished {
            return;
        }
        self.finished = true;
        let outcome = TryOutcome {
            latency: self.latency.unwrap_or_else(|| self.started.elapsed()),
            class,
            draining: self.draining,
            status: self.status,
        };
        self.control.finish(self.ticket, outcome);
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        self.finish(self.drop_class);
    }
}
