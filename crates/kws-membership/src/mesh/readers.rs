//! Which hosts read the platform for the others.

use super::{MeshView, heartbeats::HEARTBEAT_INTERVAL};
use crate::{HostCandidate, rank_hosts};
use kws_protocol::HostName;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts of each region that read the platform on behalf of the others. Two, because the failure of
/// one may go undetected for a while.
pub(super) const READERS_PER_REGION: usize = 2;

/// Hosts that ask every reader, not only the first, so that one of them takes over soon when all
/// readers fail at once.
pub(super) const STANDBY_RANKS: usize = 2 * READERS_PER_REGION;

/// How many further hosts a host asks for each silent one.
const ASKED_PER_SILENT: usize = 4;

/// The processor share that reading the platform for a region takes at the design size, in
/// thousandths of a processor. `docs/CAPACITY.md` gives the scaling.
const READER_MILLICORES: u32 = 200;

/// A host without a confirmation for this long reads the platform itself, whichever hosts are the
/// readers.
pub(super) const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The delay between the starts of two hosts that read the platform themselves, in reader order:
/// full copies for all hosts of a region at once would saturate the link between regions.
const READ_STAGGER: Duration = Duration::from_millis(400);

/// How long a host looks for peers after its start before it reads the platform: a peer may already
/// hold the current values, and a few readers suffice.
pub(super) const FIRST_READ_DELAY: Duration = Duration::from_millis(300);

/// The shortest delay before a host retries a failed read, unless it is one of the first in reader
/// order: those retry without delay and detect early enough that the platform has recovered.
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);

impl MeshView {
    pub(super) fn is_reader(&self, now: Instant) -> bool {
        let own = self.table.own();
        self.readers(now).contains(&own.name)
    }

    /// The hosts of the region that read the platform for the others. While all reads fail, the
    /// first ones keep retrying and still receive heartbeats from all hosts: without a common
    /// target the ages reported by other hosts would be too old.
    pub(super) fn readers(&self, now: Instant) -> Vec<HostName> {
        self.reader_order(now).take(READERS_PER_REGION).collect()
    }

    /// The region's hosts in reader order. Those that don't answer this host come after the others, before
    /// them those that order revisions without the era, and in each group those whose reads fail after the
    /// others.
    pub(super) fn reader_order(&self, now: Instant) -> impl Iterator<Item = HostName> {
        let mut order = self.rank_readers(now);
        // The sort is stable, so the rank decides within each group.
        order.sort_by_key(|name| {
            let silent = self.table.is_silent(name, now);
            (
                silent,
                self.table.ignores_eras(name),
                self.fails_to_read(name),
            )
        });
        order.into_iter()
    }

    /// The region's hosts by rank alone.
    fn rank_readers(&self, now: Instant) -> Vec<HostName> {
        let own = self.table.own();
        let local = self
            .table
            .live(now)
            .filter(|member| member.region == own.region);
        let candidates = local.chain([own]).map(|member| HostCandidate {
            name: &member.name,
            millicores: member.millicores,
        });
        let order = rank_hosts("reader", READER_MILLICORES, candidates);
        order.into_iter().cloned().collect()
    }

    fn fails_to_read(&self, name: &HostName) -> bool {
        if *name == self.table.own().name {
            return self.platform_unreachable;
        }
        self.table.platform_unreachable(name)
    }

    /// The hosts to ask because others of a better rank than this host are silent:
    /// [`ASKED_PER_SILENT`] for each, so that even a row of silent hosts is passed in a few steps. None
    /// once a host that reads instead has answered.
    pub(super) fn next_readers(&self, now: Instant) -> Vec<HostName> {
        if !self.table.has_silent(now) {
            return Vec::new();
        }
        let own = &self.table.own().name;
        let answering: Vec<HostName> = self
            .reader_order(now)
            .filter(|name| !self.table.is_silent(name, now))
            .collect();
        let has_answered =
            |name: &HostName| name == own || self.table.was_heard(name, HEARTBEAT_INTERVAL, now);
        if answering.first().is_none_or(has_answered) {
            return Vec::new();
        }
        let ranked = self.rank_readers(now);
        let ahead = ranked.iter().take_while(|name| *name != own);
        let silent = ahead.filter(|name| self.table.is_silent(name, now)).count();
        answering
            .into_iter()
            .take(ASKED_PER_SILENT * silent)
            .filter(|name| !has_answered(name) && !self.table.is_asked(name))
            .collect()
    }

    /// The number of hosts of the region that precede this one in reader order.
    pub(super) fn reader_rank(&self, now: Instant) -> usize {
        let own = &self.table.own().name;
        self.reader_order(now)
            .position(|name| name == *own)
            .unwrap_or_default()
    }

    /// Whether this host reads the platform because no confirmation from the readers arrives.
    pub(super) fn reads_unconfirmed(&self, now: Instant) -> bool {
        let since = self
            .confirmed
            .map_or(self.started_at + FIRST_READ_DELAY, |at| {
                at + CONFIRMATION_TIMEOUT
            });
        if now < since {
            return false;
        }
        let rank = self.reader_rank(now);
        let begins = since + READ_STAGGER * rank as u32;
        let delays_retry = self.platform_unreachable && rank >= READERS_PER_REGION;
        now >= begins && !(delays_retry && now < self.failed_at + READ_RETRY_DELAY)
    }
}
