//! An instant that threads share without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::Instant;

/// A shared instant, or none.
#[derive(Debug)]
pub(crate) struct SharedInstant {
    base: Instant,
    /// Nanoseconds after `base`, plus one; 0 stands for none.
    offset: AtomicU64,
}

impl SharedInstant {
    /// No instant yet; instants before `base` can't be held.
    pub(crate) fn new(base: Instant) -> Self {
        Self {
            base,
            offset: AtomicU64::new(0),
        }
    }

    pub(crate) fn set(&self, instant: Option<Instant>) {
        let offset = instant
            .and_then(|instant| instant.checked_duration_since(self.base))
            .map_or(0, |since| since.as_nanos() as u64 + 1);
        self.offset.store(offset, Ordering::Release);
    }

    pub(crate) fn get(&self) -> Option<Instant> {
        match self.offset.load(Ordering::Acquire) {
            0 => None,
            offset => Some(self.base + Duration::from_nanos(offset - 1)),
        }
    }
}
