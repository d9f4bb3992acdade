//! The window of revisions that some host may still use, and the smallest allotment over them.

mod entry;

use crate::{LimitsPolicy, placement::host_fraction, retained::RetainedRevisions};
use entry::WindowEntry;
use kws_protocol::{FleetSnapshot, HostName, RegionName, TeamName, TeamSettings, TreeRevision};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How long entries are kept after they left the window, to fill buckets that were idle meanwhile.
const HISTORY_PERIOD: Duration = Duration::from_mins(2);

/// The number of entries kept after they left the window.
const MAX_HISTORY_ENTRIES: usize = 16;

/// The part of a team's total that a host may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Allotment {
    /// The rate, in requests per second.
    pub(crate) rate: f64,
    /// The burst, in requests.
    pub(crate) burst: f64,
}

/// The host's fractions of one team's shares by entry, cached because computing one hashes every
/// host of the region.
pub(crate) type ShareCache = Vec<(u64, f64)>;

/// The revisions that some host may still use, as far as this host knows.
#[derive(Debug)]
pub(crate) struct RevisionWindow {
    host: HostName,
    region: RegionName,
    policy: LimitsPolicy,
    entries: Vec<WindowEntry>,
    retained: RetainedRevisions,
    peer_revisions: HashMap<HostName, TreeRevision>,
    unsynced_peers: HashSet<HostName>,
    history_start: Instant,
    generation: u64,
    next_entry: u64,
}

impl RevisionWindow {
    /// The window of a host that has adopted no revision; all earlier ones are unknown to it.
    pub(crate) fn new(
        host: HostName,
        region: RegionName,
        policy: LimitsPolicy,
        started: Instant,
    ) -> Self {
        Self {
            host,
            region,
            policy,
            entries: Vec::new(),
            retained: RetainedRevisions::default(),
            peer_revisions: HashMap::new(),
            unsynced_peers: HashSet::new(),
            history_start: started,
            generation: 0,
            next_entry: 0,
        }
    }

    /// Adopts a newer revision; false if it is not newer. Skipped revisions count as
    /// unknown.
    pub(crate) fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) -> bool {
        self.push(snapshot.revision, Some(snapshot), now)
    }

    /// Records a newer revision that failed its check; the content of the last valid one stays
    /// active.
    pub(crate) fn reject(&mut self, revision: TreeRevision, now: Instant) -> bool {
        let content = self.entries.last().and_then(|entry| entry.content.clone());
        let follows = self.newest_revision().next() == revision;
        // After a gap, the last valid revision is not known here, so nothing may be used.
        self.push(revision, content.as_ref().filter(|_| follows), now)
    }

    fn push(
        &mut self,
        revision: TreeRevision,
        content: Option<&Arc<FleetSnapshot>>,
        now: Instant,
    ) -> bool {
        let newest = self.entries.last().map(|entry| entry.last);
        if newest.is_some_and(|newest| revision <= newest) {
            return false;
        }
        if let Some(last) = self.entries.last_mut() {
            last.superseded = Some(now);
        }
        let unknown_from = newest.map_or(TreeRevision::default(), TreeRevision::next);
        if unknown_from < revision {
            let unknown_to = revision.previous();
            self.insert_unknown(unknown_from, unknown_to, content, now);
        }
        self.insert(revision, revision, content.cloned(), now);
        self.prune_peers();
        self.bump_generation();
        self.refresh(now);
        true
    }

    /// Drops peers that no entry lists; a daemon gets a new name at each start, so their names
    /// would accumulate.
    fn prune_peers(&mut self) {
        let listed: HashSet<&str> = self.entries.iter().flat_map(WindowEntry::members).collect();
        self.peer_revisions
            .retain(|peer, _| listed.contains(peer.as_str()));
        self.unsynced_peers
            .retain(|peer| listed.contains(peer.as_str()));
    }

    fn insert(
        &mut self,
        first: TreeRevision,
        last: TreeRevision,
        content: Option<Arc<FleetSnapshot>>,
        now: Instant,
    ) {
        let entry = WindowEntry::new(self.next_entry, first, last, content, &self.region, now);
        self.entries.push(entry);
        self.next_entry += 1;
    }

    /// Inserts the revisions that were skipped before `after` was adopted.
    fn insert_unknown(
        &mut self,
        first: TreeRevision,
        last: TreeRevision,
        after: Option<&Arc<FleetSnapshot>>,
        now: Instant,
    ) {
        let before = self.newest().cloned();
        self.insert(first, last, None, now);
        let Some(mut entry) = self.entries.pop() else {
            return;
        };
        entry.superseded = Some(now);
        if let (Some(before), Some(after)) = (before, after) {
            entry = entry.between(&before, after, &self.region);
        }
        self.entries.push(entry);
    }

    fn bump_generation(&mut self) {
        self.generation += 1;
    }

    /// Records that a host of the own region holds `revision`.
    pub(crate) fn record_peer_revision(
        &mut self,
        peer: &HostName,
        revision: TreeRevision,
        now: Instant,
    ) {
        let held = self.peer_revisions.entry(peer.clone()).or_default();
        if *held < revision {
            *held = revision;
            self.refresh(now);
        }
    }

    /// Records the oldest revision that a region may still use.
    pub(crate) fn raise_retained(
        &mut self,
        region: &RegionName,
        oldest: TreeRevision,
        now: Instant,
    ) {
        if self.retained.raise(region, oldest) {
            self.refresh(now);
        }
    }

    /// Records whether a peer of the own region knows which revisions may be in use.
    pub(crate) fn record_peer_sync(&mut self, peer: &HostName, synced: bool, now: Instant) {
        let changed = if synced {
            self.unsynced_peers.remove(peer)
        } else {
            self.unsynced_peers.insert(peer.clone())
        };
        if changed {
            self.refresh(now);
        }
    }

    /// Whether a peer has said that it does not know which revisions may be in use.
    pub(crate) fn is_peer_unsynced(&self, peer: &HostName) -> bool {
        self.unsynced_peers.contains(peer)
    }

    /// Lets every revision leave that no host can use any more.
    pub(crate) fn refresh(&mut self, now: Instant) {
        let Some(newest) = self.newest().cloned() else {
            return;
        };
        if !self.entries.iter().any(WindowEntry::is_superseded_in_use) {
            self.raise_own_region();
            self.prune(now);
            return;
        }
        self.update_quorums(&newest, now);
        let retained = &self.retained;
        let mut left = false;
        for entry in &mut self.entries {
            left |= entry.leave_region(retained.oldest(&self.region), &newest, now);
        }
        self.raise_own_region();
        let regions = self.entries.last().map(|entry| entry.regions.clone());
        let regions = regions.unwrap_or_default();
        for entry in &mut self.entries {
            left |= entry.leave_fleet(&self.retained, (&newest, &regions), now);
        }
        if left {
            self.bump_generation();
        }
        self.prune(now);
    }

    fn update_quorums(&mut self, newest: &FleetSnapshot, now: Instant) {
        let cold_start = self.is_cold_start(newest);
        for entry in &mut self.entries {
            if entry.is_before_first() {
                entry.set_cold_start(cold_start, now);
            } else {
                entry.update_quorum(&self.host, &self.peer_revisions, now);
            }
        }
    }

    /// Whether the whole region has started anew: every other listed host has said that it does not
    /// know which revisions may be in use, and holds at least the first revision adopted here.
    fn is_cold_start(&self, newest: &FleetSnapshot) -> bool {
        let Some(before_first) = self.entries.first().filter(|entry| entry.is_before_first())
        else {
            return false;
        };
        newest
            .hosts
            .in_region(&self.region)
            .filter(|listed| listed.name != self.host)
            .all(|listed| {
                let held = self
                    .peer_revisions
                    .get(&listed.name)
                    .copied()
                    .unwrap_or_default();
                held > before_first.last && self.unsynced_peers.contains(&listed.name)
            })
    }

    fn raise_own_region(&mut self) {
        let oldest = self
            .entries
            .iter()
            .find(|entry| entry.region_left.is_none())
            .map(|entry| entry.first);
        if let Some(oldest) = oldest {
            self.retained.raise(&self.region, oldest);
        }
    }

    fn prune(&mut self, now: Instant) {
        while let Some(first) = self.entries.first() {
            let Some(left) = first.left() else { return };
            let departed = self.entries.iter().filter(|entry| entry.left().is_some());
            if now.saturating_duration_since(left) < HISTORY_PERIOD
                && departed.count() <= MAX_HISTORY_ENTRIES
            {
                return;
            }
            self.history_start = self.history_start.max(left);
            self.entries.remove(0);
        }
    }

    /// The content of the newest revision, if known.
    pub(crate) fn newest(&self) -> Option<&Arc<FleetSnapshot>> {
        self.entries.last()?.content.as_ref()
    }

    /// The highest revision in the window; 0 if there is none.
    pub(crate) fn newest_revision(&self) -> TreeRevision {
        self.entries
            .last()
            .map(|entry| entry.last)
            .unwrap_or_default()
    }

    /// The team's settings in the newest revision.
    pub(crate) fn team(&self, team: &TeamName) -> Option<&TeamSettings> {
        self.newest()?.settings.teams.get(team)
    }

    /// The oldest revisions that the regions may still use.
    pub(crate) fn retained(&self) -> &RetainedRevisions {
        &self.retained
    }

    /// Whether the region no longer uses the newest revision held here.
    pub(crate) fn is_behind(&self) -> bool {
        self.retained.oldest(&self.region) > self.newest_revision()
    }

    /// Whether a superseded revision may still be in use in the region or the fleet.
    pub(crate) fn has_superseded_in_use(&self) -> bool {
        self.entries.iter().any(WindowEntry::is_superseded_in_use)
    }

    /// Whether revisions before the first adopted one may still be in use in the region.
    pub(crate) fn is_unsynced(&self) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.is_before_first() && entry.region_left.is_none())
    }

    /// The number of changes of the window so far.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// The earliest instant for which allotments are known.
    pub(crate) fn history_start(&self) -> Instant {
        self.history_start
    }

    /// The first change of the window after `after`.
    pub(crate) fn next_change(&self, after: Instant) -> Option<Instant> {
        self.entries
            .iter()
            .flat_map(WindowEntry::changes)
            .filter(|change| *change > after)
            .min()
    }

    /// The team's smallest allotment at the instant `at`, over the revisions in the window at that
    /// time.
    pub(crate) fn allotment(
        &self,
        at: Instant,
        team: &TeamName,
        shares: &mut ShareCache,
    ) -> Allotment {
        let mut fraction: Option<f64> = None;
        let mut total: Option<Allotment> = None;
        for entry in self.entries.iter().filter(|entry| entry.entered <= at) {
            if entry.region_left.is_none_or(|left| left > at) {
                let share = self.cached_share(entry, team, shares);
                fraction = Some(fraction.map_or(share, |smallest| smallest.min(share)));
            }
            if entry.fleet_left.is_none_or(|left| left > at) {
                let region = entry.region_total(&self.region, team);
                total = Some(total.map_or(region, |smallest: Allotment| smallest.min(region)));
            }
        }
        let fraction = fraction.unwrap_or(0.0);
        let total = total.unwrap_or_default();
        Allotment {
            rate: total.rate * fraction,
            burst: total.burst * fraction,
        }
    }

    fn cached_share(&self, entry: &WindowEntry, team: &TeamName, shares: &mut ShareCache) -> f64 {
        let Some(content) = &entry.content else {
            return 0.0;
        };
        if let Some((_, share)) = shares.iter().find(|(id, _)| *id == entry.id) {
            return *share;
        }
        let share = host_fraction(&self.policy, content, &self.region, &self.host, team);
        if shares.len() >= MAX_HISTORY_ENTRIES {
            shares.remove(0);
        }
        shares.push((entry.id, share));
        share
    }

    /// The real time that passes at least while the own clock advances by 1 s, in seconds.
    pub(crate) fn min_clock_rate(&self) -> f64 {
        let drift = self
            .entries
            .iter()
            .filter_map(|entry| entry.content.as_ref())
            .map(|content| content.settings.freshness.clock_drift_ppm)
            .max();
        1.0 - entry::drift_fraction(drift.unwrap_or_default())
    }

    /// The time by the own clock after which `real` has passed by the clock of any host.
    pub(crate) fn drift_adjusted(&self, real: Duration) -> Duration {
        let drift = self.newest().map(|content| &content.settings.freshness);
        entry::drift_adjusted(real, drift.map_or(0, |settings| settings.clock_drift_ppm))
    }
}

impl Allotment {
    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}
