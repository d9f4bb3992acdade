//! An optional instant shared between threads without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::Instant;

/// An atomic `Option<Instant>`.
#[derive(Debug)]
pub(crate) struct SharedInstant {
    base: Instant,
    /// Nanoseconds since `base` plus one; 0 means `None`.
    offset: AtomicU64,
}

impl SharedInstant {
    /// Starts as `None`. An instant before `base` is stored as `None`.
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
