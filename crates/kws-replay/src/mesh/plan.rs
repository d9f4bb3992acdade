//! A random order of events.

use rand::{RngExt, rngs::StdRng};
use std::time::Duration;

/// When the events begin: by then the fleet has started.
const FIRST_EVENT_MS: u64 = 6_000;
/// When the last event occurs, except returns and the ends of faults.
const LAST_EVENT_MS: u64 = 18_000;
const MAX_AWAY_MS: u64 = 3_000;
const COPY_AGE_MS: std::ops::RangeInclusive<u64> = 500..=8_000;
const FAULT_MS: std::ops::RangeInclusive<u64> = 200..=8_000;

/// What may happen in an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderOptions {
    /// Number of hosts; none to draw it.
    pub hosts: Option<usize>,
    /// Highest number of returns of the store from a copy.
    pub drills: usize,
    /// Highest number of faults of hosts and their links.
    pub faults: usize,
    /// Highest number of changes by the operator and by servers.
    pub changes: usize,
    /// Teams of the configuration beside the one that is checked.
    pub teams: usize,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum HostFault {
    /// Ends without a word, and starts again after the time.
    Killed,
    /// Announces its stop, and starts again after the time.
    Stopped,
    /// The hosts that read for a region are killed.
    ReadersKilled,
    StoreCut,
    PeersCut,
    BothCut,
    /// Messages to it arrive after the time, or are lost.
    Suspended {
        keeps_messages: bool,
    },
}

#[derive(Clone, Copy, Debug)]
pub(super) enum PlannedEvent {
    Configure,
    Join,
    Drain,
    Leave,
    Die,
    /// Starts a server again under its id.
    StartAgain,
    /// Changes of other values.
    OtherChanges(u64),
    /// Changes of other values until the count is this far beyond that before the last return.
    CatchUp {
        beyond: u64,
    },
    Drill {
        away: Duration,
        copy_age: Duration,
        counts_from_return: bool,
    },
    Fault {
        fault: HostFault,
        time: Duration,
    },
    Loss {
        share: f64,
        time: Duration,
    },
}

fn millis(range: std::ops::RangeInclusive<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn change(rng: &mut StdRng) -> PlannedEvent {
    match rng.random_range(0..13) {
        0..4 => PlannedEvent::Configure,
        4..6 => PlannedEvent::Join,
        6..8 => PlannedEvent::Drain,
        8..10 => PlannedEvent::Leave,
        10 => PlannedEvent::Die,
        11 => PlannedEvent::StartAgain,
        _ => PlannedEvent::OtherChanges(rng.random_range(1..=5)),
    }
}

fn fault(rng: &mut StdRng) -> PlannedEvent {
    let time = millis(FAULT_MS, rng);
    let fault = match rng.random_range(0..13) {
        0 => {
            return PlannedEvent::Loss {
                share: rng.random_range(0.05..0.5),
                time,
            };
        }
        1..3 => HostFault::Killed,
        3..5 => HostFault::Stopped,
        5 => HostFault::ReadersKilled,
        6..8 => HostFault::StoreCut,
        8 => HostFault::PeersCut,
        9..11 => HostFault::BothCut,
        _ => HostFault::Suspended {
            keeps_messages: rng.random(),
        },
    };
    PlannedEvent::Fault { fault, time }
}

/// The events with their times since the start.
pub(super) fn plan_events(
    options: OrderOptions,
    rng: &mut StdRng,
) -> Vec<(Duration, PlannedEvent)> {
    let mut events = Vec::new();
    let mut anchors = Vec::new();
    let mut at = millis(FIRST_EVENT_MS + 1_000..=LAST_EVENT_MS - 4_000, rng);
    let drills = options.drills.min(rng.random_range(1..=3));
    for _ in 0..drills {
        let away = millis(0..=MAX_AWAY_MS, rng);
        let away = if rng.random_range(0..4) == 0 {
            Duration::ZERO
        } else {
            away
        };
        let drill = PlannedEvent::Drill {
            away,
            copy_age: millis(COPY_AGE_MS, rng),
            counts_from_return: rng.random(),
        };
        events.push((at, drill));
        anchors.push((at, at + away));
        at += away + millis(200..=6_000, rng);
    }
    let near = |rng: &mut StdRng| {
        if anchors.is_empty() || rng.random_range(0..3) == 0 {
            return millis(FIRST_EVENT_MS..=LAST_EVENT_MS, rng);
        }
        let (gone, back) = anchors[rng.random_range(0..anchors.len())];
        if rng.random() {
            gone.saturating_sub(millis(0..=4_000, rng))
        } else {
            back + millis(0..=4_000, rng)
        }
    };
    for _ in 0..rng.random_range(0..=options.changes) {
        events.push((near(rng), change(rng)));
    }
    // The count of changes may pass that of before a return, equal it or stay behind.
    for (_, back) in &anchors {
        if rng.random() {
            let beyond = rng.random_range(0..=3);
            let changes = PlannedEvent::CatchUp { beyond };
            events.push((*back + millis(0..=2_500, rng), changes));
        }
    }
    let faults = if rng.random() { options.faults } else { 0 };
    for _ in 0..rng.random_range(0..=faults) {
        events.push((near(rng), fault(rng)));
    }
    events
}
