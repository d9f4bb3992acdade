//! Follows the platform with one waiting read at a time and hands what it hears to a ring.

use crate::{PlatformAnswer, PlatformError, PlatformReader};
use kws_protocol::{PublishedValues, TreeRevision};
use rand::RngExt;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Sender,
    time::{Instant, sleep},
};

/// How the watch waits and backs off.
#[derive(Clone)]
pub struct WatchSettings {
    /// How long the platform may hold one read; shorter than the lease, which a tree may change.
    pub wait: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// The pause after the first failure.
    pub backoff_base: Duration,
    /// The longest pause between failures.
    pub backoff_max: Duration,
}

/// What the watch heard; `sent` is when the question was sent.
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
    /// The platform still holds the known revision.
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
        /// Why.
        error: PlatformError,
    },
}

/// Follows `reader` until the receiver of `events` is gone.
pub async fn run_watch(
    reader: &mut dyn PlatformReader,
    settings: &WatchSettings,
    events: &Sender<PlatformEvent>,
) {
    let mut known = TreeRevision::default();
    let mut failures = 0;
    while !events.is_closed() {
        let sent = Instant::now();
        let event = match reader.read(known, (settings.wait)()).await {
            Ok(answer) => {
                failures = 0;
                known = answer_revision(&answer);
                answer_event(answer, sent)
            }
            Err(error) => {
                failures += 1;
                PlatformEvent::Failed { error }
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
        if failures > 0 {
            sleep(backoff(settings, failures)).await;
        }
    }
}

fn answer_revision(answer: &PlatformAnswer) -> TreeRevision {
    match answer {
        PlatformAnswer::Unchanged { revision, .. } => *revision,
        PlatformAnswer::Values { values, .. } => values.revision,
    }
}

fn answer_event(answer: PlatformAnswer, sent: Instant) -> PlatformEvent {
    match answer {
        PlatformAnswer::Unchanged { revision, bytes } => PlatformEvent::Confirmed {
            revision,
            sent,
            bytes,
        },
        PlatformAnswer::Values { values, bytes } => PlatformEvent::Values {
            values,
            sent,
            bytes,
        },
    }
}

/// Doubles with each failure, with full jitter so that hosts don't return in step.
fn backoff(settings: &WatchSettings, failures: u32) -> Duration {
    let factor = 1_u32 << failures.saturating_sub(1).min(16);
    let ceiling = settings
        .backoff_base
        .saturating_mul(factor)
        .min(settings.backoff_max);
    ceiling.mul_f64(rand::rng().random_range(0.5..=1.0))
}
