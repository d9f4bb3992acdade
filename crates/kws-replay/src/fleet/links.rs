//! Delay, loss and one-way cuts between hosts and the platform.

use kws_protocol::HostName;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The time a message takes unless the trace says otherwise.
const DEFAULT_DELAY: Duration = Duration::from_millis(2);

/// One direction between two ends.
type LinkEnds = (HostName, HostName);

#[derive(Clone, Copy, Debug)]
struct LinkLoss {
    every: u64,
    sent: u64,
}

/// What is wrong with the links.
#[derive(Debug, Default)]
pub(super) struct LinkFaults {
    cuts: BTreeSet<LinkEnds>,
    delays: BTreeMap<LinkEnds, Duration>,
    losses: BTreeMap<LinkEnds, LinkLoss>,
}

impl LinkFaults {
    pub(super) fn cut(&mut self, from: &HostName, to: &HostName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    pub(super) fn heal(&mut self, from: &HostName, to: &HostName) {
        let ends = (from.clone(), to.clone());
        self.cuts.remove(&ends);
        self.delays.remove(&ends);
        self.losses.remove(&ends);
    }

    pub(super) fn slow(&mut self, from: &HostName, to: &HostName, delay: Duration) {
        self.delays.insert((from.clone(), to.clone()), delay);
    }

    pub(super) fn lose(&mut self, from: &HostName, to: &HostName, every: u64) {
        let loss = LinkLoss { every, sent: 0 };
        self.losses.insert((from.clone(), to.clone()), loss);
    }

    /// How long a message sent now takes; none when it is lost.
    pub(super) fn delay(&mut self, from: &HostName, to: &HostName) -> Option<Duration> {
        let ends = (from.clone(), to.clone());
        if self.cuts.contains(&ends) {
            return None;
        }
        if let Some(loss) = self.losses.get_mut(&ends) {
            loss.sent += 1;
            if loss.sent.is_multiple_of(loss.every) {
                return None;
            }
        }
        Some(self.delays.get(&ends).copied().unwrap_or(DEFAULT_DELAY))
    }
}
