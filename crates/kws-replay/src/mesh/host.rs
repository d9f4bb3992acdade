//! One host: its state machine, its reads of the store and what it has in force.

use super::{
    store::OrderStore,
    values::{ActiveState, LifeId, OrderChecker},
};
use kws_membership::{FleetAction, FleetProtocol, MeshView};
use kws_protocol::{HostName, MeshMember, PeerMessage, PublishedValues, TreeRevision};
use rand::{RngExt, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// How long the store's answer takes.
const ANSWER_MS: std::ops::RangeInclusive<u64> = 2..=60;
/// How late an answer may be that was on its way when the store went away.
const LATE_MS: std::ops::RangeInclusive<u64> = 0..=1_500;
/// The share of the answers on their way that still arrive after the store went away.
const LATE_SHARE: f64 = 0.35;
/// How often a host looks whether it has to read.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The address at which a host listens.
pub(super) fn host_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 256) as u8, number as u8], 700))
}

/// The region of a host.
pub(super) fn host_region(number: usize) -> &'static str {
    ["vidzemes", "zemgales"][number % 2]
}

enum Answer {
    Values(PublishedValues),
    Confirmed(TreeRevision),
}

struct OpenRead {
    sent: Instant,
    wait: Duration,
    /// The answer and when it arrives.
    answer: Option<(Instant, Answer)>,
    is_overdue: bool,
}

/// What impairs a host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct HostFaults {
    pub(super) store_cut: bool,
    pub(super) peers_cut: bool,
    pub(super) suspended: bool,
}

pub(super) struct OrderHost {
    pub(super) view: MeshView,
    pub(super) name: HostName,
    pub(super) number: usize,
    pub(super) faults: HostFaults,
    /// When the host was last impaired; its start counts.
    pub(super) impaired: Instant,
    pub(super) is_ready: bool,
    /// What it has in force; none before the first snapshot.
    pub(super) active: Option<ActiveState>,
    /// The servers that it has had in force.
    pub(super) used: BTreeSet<LifeId>,
    /// The servers that it had in force and no more after they had left, with the time of this change.
    pub(super) known_left: BTreeMap<LifeId, Instant>,
    /// The latest start of each server that it has had in force.
    pub(super) latest_start: BTreeMap<String, u64>,
    pub(super) highest_version: u64,
    /// Messages that arrived while it was suspended.
    pub(super) inbox: Vec<(HostName, PeerMessage)>,
    pub(super) next_tick: Instant,
    pub(super) reads: usize,
    read: Option<OpenRead>,
    next_read: Instant,
    failures: u32,
    known: Option<PublishedValues>,
}

impl OrderHost {
    pub(super) fn start(number: usize, starts: u64, seed: u64, now: Instant) -> Self {
        let address = host_address(number);
        let name = HostName::with_incarnation(&address.to_string(), &starts.to_string());
        let own = MeshMember {
            name: name.clone(),
            region: host_region(number).into(),
            center: host_region(number).into(),
            address,
            millicores: 200,
        };
        let seeds = [host_address(0), host_address(1), host_address(2)];
        Self {
            view: MeshView::new(own, &seeds, Box::new(OrderChecker), seed, now),
            name,
            number,
            faults: HostFaults::default(),
            impaired: now,
            is_ready: false,
            active: None,
            used: BTreeSet::new(),
            known_left: BTreeMap::new(),
            latest_start: BTreeMap::new(),
            highest_version: 0,
            inbox: Vec::new(),
            next_tick: now,
            reads: 0,
            read: None,
            next_read: now,
            failures: 0,
            known: None,
        }
    }

    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.view.lease_end().is_some_and(|end| now < end)
    }

    pub(super) fn is_impaired(&self) -> bool {
        self.faults != HostFaults::default()
    }

    /// The next step of reading the store: a new read, an answer or a failure.
    pub(super) fn read_store(
        &mut self,
        store: &OrderStore,
        rng: &mut StdRng,
        now: Instant,
    ) -> Vec<FleetAction> {
        let Some(read) = &mut self.read else {
            self.begin_read(now);
            return Vec::new();
        };
        let arrives = read.answer.as_ref().map(|(at, _)| *at);
        if arrives.is_some_and(|at| now >= at) {
            return self.finish_read(now);
        }
        if !read.is_overdue && now > read.sent + read.wait + self.view.watch_grace() {
            read.is_overdue = true;
            if read.answer.is_none() {
                return self.fail_read(rng, now);
            }
            return self.view.platform_failed(now);
        }
        if read.answer.is_some() || self.faults.store_cut {
            return Vec::new();
        }
        if store.is_away() {
            return self.fail_read(rng, now);
        }
        let differs = self
            .known
            .as_ref()
            .is_none_or(|known| known.revision != store.revision());
        if differs || now >= read.sent + read.wait {
            let delay = Duration::from_millis(rng.random_range(ANSWER_MS));
            self.answer_read(store, now + delay);
        }
        Vec::new()
    }

    fn begin_read(&mut self, now: Instant) {
        if now < self.next_read {
            return;
        }
        if !self.view.reads_platform(now) {
            self.next_read = now + IDLE_INTERVAL;
            return;
        }
        self.reads += 1;
        let wait = match self.failures {
            0 => self.view.watch_wait(),
            _ => Duration::ZERO,
        };
        self.read = Some(OpenRead {
            sent: now,
            wait,
            answer: None,
            is_overdue: false,
        });
    }

    /// The store answers with its present state.
    fn answer_read(&mut self, store: &OrderStore, arrives: Instant) {
        let known = self.known.as_ref();
        let is_same = known.is_some_and(|known| known.values == **store.values());
        let answer = if is_same {
            Answer::Confirmed(store.revision())
        } else {
            Answer::Values(store.published())
        };
        if let Some(read) = &mut self.read {
            read.answer = Some((arrives, answer));
        }
    }

    fn finish_read(&mut self, now: Instant) -> Vec<FleetAction> {
        let read = self.read.take();
        let Some((sent, (_, answer))) = read.and_then(|read| Some((read.sent, read.answer?)))
        else {
            return Vec::new();
        };
        self.failures = 0;
        self.next_read = now;
        match answer {
            Answer::Values(values) => {
                self.next_read = now + self.view.watch_pause();
                self.known = Some(values.clone());
                self.view.platform_answer(values, sent, now)
            }
            Answer::Confirmed(revision) => {
                if let Some(known) = &mut self.known {
                    known.revision = revision;
                }
                self.view.platform_confirmed(revision, sent, now)
            }
        }
    }

    /// The read fails, unless this was reported before; the next one follows after a pause.
    fn fail_read(&mut self, rng: &mut StdRng, now: Instant) -> Vec<FleetAction> {
        self.read = None;
        self.failures += 1;
        let factor = 1 << self.failures.saturating_sub(1).min(16);
        let longest = self.view.watch_grace().saturating_mul(factor);
        let pause = longest.min(self.view.watch_wait());
        self.next_read = now + pause.mul_f64(rng.random_range(0.5..=1.0));
        self.view.platform_failed(now)
    }

    /// The store goes away: an open read fails, or its answer comes late, after the store's return.
    pub(super) fn lose_store(&mut self, store: &OrderStore, returns: Instant, rng: &mut StdRng) {
        let Some(read) = &self.read else {
            return;
        };
        if self.faults.store_cut || rng.random::<f64>() >= LATE_SHARE {
            if let Some(read) = &mut self.read {
                read.answer = None;
            }
            return;
        }
        let late = returns + Duration::from_millis(rng.random_range(LATE_MS));
        if read.answer.is_none() {
            self.answer_read(store, late);
        } else if let Some(read) = &mut self.read {
            read.answer = read.answer.take().map(|(_, answer)| (late, answer));
        }
    }

    /// The path to the store is cut: answers under way are lost.
    pub(super) fn cut_store(&mut self) {
        self.faults.store_cut = true;
        if let Some(read) = &mut self.read {
            read.answer = None;
        }
    }
}
