//! Follows the platform with one long-polling read at a time and sends the results to a channel.

use crate::{PlatformError, PlatformReader, PlatformResponse};
use kws_protocol::{PublishedValues, TreeRevision};
use rand::RngExt;
use std::time::Duration;
use tokio::{
    sync::mpsc::Sender,
    time::{Instant, sleep, timeout},
};

/// Time for which an overdue read is still awaited; a full tree over a link between regions takes
/// seconds.
const OVERDUE_LIMIT: Duration = Duration::from_secs(30);

/// Wait and back-off times of the watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// How long the platform may hold one read; also the maximum back-off after failures.
    pub wait: Duration,
    /// How long a response may be overdue before a failure is reported; also the back-off after the
    /// first failure.
    pub grace: Duration,
    /// Pause after a response with changes, so that further changes are read together.
    pub pause: Duration,
    /// Whether another host reads the platform for this one.
    pub idle: bool,
}

/// Interval at which an idle host checks whether it has to read.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the current timing, which may change with each new tree.
pub type TimingSource<'a> = &'a (dyn Fn() -> WatchTiming + Send + Sync);

/// A result of the watch.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// Values at another revision.
    Values {
        /// The values.
        values: PublishedValues,
        /// When the read was sent.
        sent: Instant,
        /// Bytes received.
        bytes: u64,
    },
    /// The platform still has the known revision.
    Confirmed {
        /// The revision.
        revision: TreeRevision,
        /// When the read was sent.
        sent: Instant,
        /// Bytes received.
        bytes: u64,
    },
    /// The read failed.
    Failed {
        /// The cause.
        error: PlatformError,
    },
}

/// Follows `reader` until the receiver of `events` is dropped.
pub async fn run_watch(
    reader: &mut dyn PlatformReader,
    timing: TimingSource<'_>,
    events: &Sender<PlatformEvent>,
) {
    let mut known = TreeRevision::default();
    let mut failures = 0;
    while !events.is_closed() {
        let mut now_timing = timing();
        if now_timing.idle {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let sent = Instant::now();
        if failures > 0 {
            // A recovered platform must be noticed without waiting for its next change.
            now_timing.wait = Duration::ZERO;
        }
        let event = match read_once(reader, known, now_timing, events).await {
            Ok(response) => {
                failures = 0;
                known = response_revision(&response);
                response_event(response, sent)
            }
            Err(error) => {
                failures += 1;
                PlatformEvent::Failed { error }
            }
        };
        let changed = matches!(event, PlatformEvent::Values { .. });
        if events.send(event).await.is_err() {
            return;
        }
        let pause = match failures {
            0 if changed => timing().pause,
            0 => Duration::ZERO,
            _ => backoff(timing(), failures),
        };
        sleep(pause).await;
    }
}

/// Reads once. An overdue response is reported as a failure at once, and is still awaited.
async fn read_once(
    reader: &mut dyn PlatformReader,
    known: TreeRevision,
    timing: WatchTiming,
    events: &Sender<PlatformEvent>,
) -> Result<PlatformResponse, PlatformError> {
    let mut read = reader.read(known, timing.wait);
    if let Ok(response) = timeout(timing.wait + timing.grace, &mut read).await {
        return response;
    }
    let error = PlatformError::Unreachable("response overdue".to_owned());
    let _ = events.send(PlatformEvent::Failed { error }).await;
    let response = timeout(OVERDUE_LIMIT, read).await;
    response.unwrap_or_else(|_| Err(PlatformError::Unreachable("no response in time".to_owned())))
}

fn response_revision(response: &PlatformResponse) -> TreeRevision {
    match response {
        PlatformResponse::Unchanged { revision, .. } => *revision,
        PlatformResponse::Values { values, .. } => values.revision,
    }
}

fn response_event(response: PlatformResponse, sent: Instant) -> PlatformEvent {
    match response {
        PlatformResponse::Unchanged { revision, bytes } => PlatformEvent::Confirmed {
            revision,
            sent,
            bytes,
        },
        PlatformResponse::Values { values, bytes } => PlatformEvent::Values {
            values,
            sent,
            bytes,
        },
    }
}

/// Back-off that doubles with each failure, with jitter so that hosts don't retry in step.
fn backoff(timing: WatchTiming, failures: u32) -> Duration {
    let factor = 1_u32 << failures.saturating_sub(1).min(16);
    let ceiling = timing.grace.saturating_mul(factor).min(timing.wait);
    ceiling.mul_f64(rand::rng().random_range(0.5..=1.0))
}
