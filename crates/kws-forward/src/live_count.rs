//! Counts objects across all workers, such as open requests and the workers themselves.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// The interval at which a waiting stop checks the count.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A count shared by all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveCount(Arc<AtomicUsize>);

/// Adds one to a [`LiveCount`] until dropped.
#[derive(Debug)]
pub(crate) struct LiveGuard(LiveCount);

impl LiveCount {
    /// Adds one to the count until the returned guard is dropped.
    pub(crate) fn track(&self) -> LiveGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        LiveGuard(self.clone())
    }

    /// Waits at most `limit` for the count to reach zero. Returns whether it did.
    pub(crate) async fn wait_for_zero(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.0.load(Ordering::Relaxed) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }
}

impl Drop for LiveGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
