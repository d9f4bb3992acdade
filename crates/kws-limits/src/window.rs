//! The revisions that some host may still use, and the least allotment over them.

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

/// Entries that have left the window are kept so long, for buckets that were idle meanwhile.
const HISTORY: Duration = Duration::from_mins(2);

/// At most so many entries that have left the window are kept.
const MAX_HISTORY: usize = 16;

/// What a host may use of a team's total, in requests a second and in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Allotment {
    /// The rate.
    pub(crate) rate: f64,
    /// The burst.
    pub(crate) burst: f64,
}

/// The host's fractions of one team by entry, kept since each costs a hash for each host.
pub(crate) type ShareCache = Vec<(u64, f64)>;

/// The revisions in use, as one host knows them.
#[derive(Debug)]
pub(crate) struct RevisionWindow {
    host: HostName,
    region: RegionName,
    policy: LimitsPolicy,
    entries: Vec<WindowEntry>,
    retained: RetainedRevisions,
    peers: HashMap<HostName, TreeRevision>,
    unsettled: HashSet<HostName>,
    history_start: Instant,
    generation: u64,
    next_entry: u64,
}

impl RevisionWindow {
    /// The window of a host that has adopted nothing: all earlier revisions are unknown to it.
    pub(crate) fn new(
        host: HostName,
        region: RegionName,
        policy: LimitsPolicy,
        born: Instant,
    ) -> Self {
        Self {
            host,
            region,
            policy,
            entries: Vec::new(),
            retained: RetainedRevisions::default(),
            peers: HashMap::new(),
            unsettled: HashSet::new(),
            history_start: born,
            generation: 0,
            next_entry: 0,
        }
    }

    /// Takes a newer revision into use; false when it is not newer. Revisions between it and the
    /// last one count as unknown.
    pub(crate) fn adopt(&mut self, snapshot: &Arc<FleetSnapshot>, now: Instant) -> bool {
        self.push(snapshot.revision, Some(snapshot), now)
    }

    /// A newer revision was refused by its check, so that the last good one goes on in its place.
    pub(crate) fn refuse(&mut self, revision: TreeRevision, now: Instant) -> bool {
        let content = self.entries.last().and_then(|entry| entry.content.clone());
        let follows = self.newest_revision().0 + 1 == revision.0;
        // After a gap the last good revision is not known here, so nothing may be used.
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
        let unknown_from = newest.map_or(TreeRevision(0), |newest| TreeRevision(newest.0 + 1));
        if unknown_from < revision {
            let unknown_to = TreeRevision(revision.0 - 1);
            self.insert(unknown_from, unknown_to, None, now);
            self.entries.last_mut().expect("inserted").superseded = Some(now);
        }
        self.insert(revision, revision, content.cloned(), now);
        self.forget_peers();
        self.changed();
        self.refresh(now);
        true
    }

    /// Each life of a daemon has a new name, so names that no entry lists would pile up.
    fn forget_peers(&mut self) {
        let listed: HashSet<&str> = self.entries.iter().flat_map(WindowEntry::members).collect();
        self.peers.retain(|peer, _| listed.contains(peer.as_str()));
        self.unsettled.retain(|peer| listed.contains(peer.as_str()));
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

    fn changed(&mut self) {
        self.generation += 1;
    }

    /// A host of the own region is known to hold `revision`.
    pub(crate) fn peer_revision(&mut self, peer: &HostName, revision: TreeRevision, now: Instant) {
        let held = self.peers.entry(peer.clone()).or_default();
        if *held < revision {
            *held = revision;
            self.refresh(now);
        }
    }

    /// A peer told the oldest revision that a region may use.
    pub(crate) fn raise(&mut self, region: &RegionName, oldest: TreeRevision, now: Instant) {
        if self.retained.raise(region, oldest) {
            self.refresh(now);
        }
    }

    /// A peer of the own region told whether it knows which revisions are in use.
    pub(crate) fn note_settled(&mut self, peer: &HostName, settled: bool, now: Instant) {
        let news = if settled {
            self.unsettled.remove(peer)
        } else {
            self.unsettled.insert(peer.clone())
        };
        if news {
            self.refresh(now);
        }
    }

    /// Whether a peer has said that it does not know which revisions are in use.
    pub(crate) fn is_unsettled(&self, peer: &HostName) -> bool {
        self.unsettled.contains(peer)
    }

    /// Lets every revision leave that no host can use any more.
    pub(crate) fn refresh(&mut self, now: Instant) {
        let Some(newest) = self.newest().cloned() else {
            return;
        };
        if !self.entries.iter().any(WindowEntry::is_waiting) {
            self.settle_own();
            self.prune(now);
            return;
        }
        self.note_evidence(&newest, now);
        let retained = &self.retained;
        let mut left = false;
        for entry in &mut self.entries {
            left |= entry.leave_region(retained.oldest(&self.region), &newest, now);
        }
        self.settle_own();
        let regions = self.entries.last().map(|entry| entry.regions.clone());
        let regions = regions.unwrap_or_default();
        for entry in &mut self.entries {
            left |= entry.leave_fleet(&self.retained, (&newest, &regions), now);
        }
        if left {
            self.changed();
        }
        self.prune(now);
    }

    fn note_evidence(&mut self, newest: &FleetSnapshot, now: Instant) {
        let cold = self.is_cold_start(newest);
        for entry in &mut self.entries {
            if entry.is_past() {
                entry.confirm_past(cold, now);
            } else {
                entry.count_holders(&self.host, &self.peers, now);
            }
        }
    }

    /// Whether every listed host of the region has said that it knows no earlier revision, and all
    /// of them hold the first one adopted here.
    fn is_cold_start(&self, newest: &FleetSnapshot) -> bool {
        let Some(past) = self.entries.first().filter(|entry| entry.is_past()) else {
            return false;
        };
        newest
            .hosts
            .in_region(&self.region)
            .filter(|listed| listed.name != self.host)
            .all(|listed| {
                let held = self.peers.get(&listed.name).copied().unwrap_or_default();
                held > past.last && self.unsettled.contains(&listed.name)
            })
    }

    fn settle_own(&mut self) {
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
            let gone = self.entries.iter().filter(|entry| entry.left().is_some());
            if now.saturating_duration_since(left) < HISTORY && gone.count() <= MAX_HISTORY {
                return;
            }
            self.history_start = self.history_start.max(left);
            self.entries.remove(0);
        }
    }

    /// The newest revision with known content.
    pub(crate) fn newest(&self) -> Option<&Arc<FleetSnapshot>> {
        self.entries.last()?.content.as_ref()
    }

    /// The highest revision held.
    pub(crate) fn newest_revision(&self) -> TreeRevision {
        self.entries
            .last()
            .map(|entry| entry.last)
            .unwrap_or_default()
    }

    /// The newest settings of a team.
    pub(crate) fn team(&self, team: &TeamName) -> Option<&TeamSettings> {
        self.newest()?.settings.teams.get(team)
    }

    /// What is known of the oldest revisions in use.
    pub(crate) fn retained(&self) -> &RetainedRevisions {
        &self.retained
    }

    /// Whether the region is known to have moved past the newest revision held here.
    pub(crate) fn is_behind(&self) -> bool {
        self.retained.oldest(&self.region) > self.newest_revision()
    }

    /// Whether a revision other than the newest may still be in use in the region or the fleet.
    pub(crate) fn is_waiting(&self) -> bool {
        self.entries.iter().any(WindowEntry::is_waiting)
    }

    /// Whether revisions earlier than the first one adopted may still be in use in the region.
    pub(crate) fn is_newborn(&self) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.is_past() && entry.region_left.is_none())
    }

    /// Counts the changes of the window.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// The first instant for which allotments are known.
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

    /// The least allotment of the team at the instant `at`, over the revisions then in the window.
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
                fraction = Some(fraction.map_or(share, |least| least.min(share)));
            }
            if entry.fleet_left.is_none_or(|left| left > at) {
                let region = entry.region_total(&self.region, team);
                total = Some(total.map_or(region, |least: Allotment| least.min(region)));
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
        if shares.len() >= MAX_HISTORY {
            shares.remove(0);
        }
        shares.push((entry.id, share));
        share
    }

    /// The part of a second that surely passed when the own clock shows one second.
    pub(crate) fn clock_floor(&self) -> f64 {
        let drift = self
            .entries
            .iter()
            .filter_map(|entry| entry.content.as_ref())
            .map(|content| content.settings.freshness.clock_drift_ppm)
            .max();
        1.0 - entry::drift_share(drift.unwrap_or_default())
    }

    /// How long the own clock must show for `real` to have passed on the clock of any host.
    pub(crate) fn stretch(&self, real: Duration) -> Duration {
        let drift = self.newest().map(|content| &content.settings.freshness);
        entry::stretch(real, drift.map_or(0, |settings| settings.clock_drift_ppm))
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
