//! An entry of the window: one revision, or a range of unknown ones.

use super::Allotment;
use crate::{LOAN_TERM, placement::region_weight, retained::RetainedRevisions};
use kws_protocol::{
    FleetSnapshot, FreshnessSettings, HostName, HostState, RegionName, TeamName, TreeRevision,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

const PARTS_PER_MILLION: f64 = 1e6;

/// A listed host of the own region.
#[derive(Debug)]
struct ListedMember {
    name: HostName,
    live: bool,
}

/// One revision, or a range of unknown ones, which allot nothing.
#[derive(Debug)]
pub(super) struct WindowEntry {
    pub(super) id: u64,
    pub(super) first: TreeRevision,
    pub(super) last: TreeRevision,
    pub(super) content: Option<Arc<FleetSnapshot>>,
    members: Vec<ListedMember>,
    /// Whether the entry is a range of unknown revisions between two known ones; its members are
    /// the hosts that either of those lists.
    is_between: bool,
    /// The regions with listed hosts.
    pub(super) regions: BTreeSet<RegionName>,
    pub(super) entered: Instant,
    pub(super) superseded: Option<Instant>,
    /// Since when no majority of the entry's hosts can confirm it.
    quorum_lost: Option<Instant>,
    /// When the entry stopped limiting the host's fraction of the region's share.
    pub(super) region_left: Option<Instant>,
    /// When the entry stopped limiting the region's share of the total.
    pub(super) fleet_left: Option<Instant>,
}

impl WindowEntry {
    pub(super) fn new(
        id: u64,
        first: TreeRevision,
        last: TreeRevision,
        content: Option<Arc<FleetSnapshot>>,
        region: &RegionName,
        now: Instant,
    ) -> Self {
        let members = content.as_ref().map_or_else(Vec::new, |content| {
            let listed = content.hosts.in_region(region);
            listed
                .map(|host| ListedMember {
                    name: host.name.clone(),
                    live: host.state == HostState::Live,
                })
                .collect()
        });
        let hosts = content.iter().flat_map(|content| &content.hosts.hosts);
        let regions = hosts.map(|host| host.region.clone()).collect();
        Self {
            id,
            first,
            last,
            content,
            members,
            is_between: false,
            regions,
            entered: now,
            superseded: None,
            quorum_lost: None,
            region_left: None,
            fleet_left: None,
        }
    }

    /// Turns the entry into unknown revisions between two known ones. Their listed hosts are
    /// inferred from the known ones.
    pub(super) fn between(
        mut self,
        before: &FleetSnapshot,
        after: &FleetSnapshot,
        region: &RegionName,
    ) -> Self {
        let live_before = live_hosts(before, region);
        let live_after = live_hosts(after, region);
        let listed = before.hosts.in_region(region);
        let listed = listed.chain(after.hosts.in_region(region));
        let names: BTreeSet<&HostName> = listed.map(|host| &host.name).collect();
        self.members = names
            .into_iter()
            .map(|name| ListedMember {
                name: name.clone(),
                live: live_before.contains(name) && live_after.contains(name),
            })
            .collect();
        self.is_between = true;
        self
    }

    /// Whether the entry is the range of all revisions before the first adopted one.
    pub(super) fn is_before_first(&self) -> bool {
        self.first == TreeRevision::default() && self.content.is_none()
    }

    /// Whether the entry is superseded but still limits the host's allotments.
    pub(super) fn is_superseded_in_use(&self) -> bool {
        self.superseded.is_some() && self.left().is_none()
    }

    /// When the entry stopped limiting any allotment.
    pub(super) fn left(&self) -> Option<Instant> {
        Some(self.region_left?.max(self.fleet_left?))
    }

    /// The instants at which the entry changed the host's allotments.
    pub(super) fn changes(&self) -> impl Iterator<Item = Instant> {
        [Some(self.entered), self.region_left, self.fleet_left]
            .into_iter()
            .flatten()
    }

    /// The names of the listed hosts of the own region.
    pub(super) fn members(&self) -> impl Iterator<Item = &str> {
        self.members.iter().map(|member| member.name.as_str())
    }

    /// The region's share of the team's total.
    pub(super) fn region_total(&self, region: &RegionName, team: &TeamName) -> Allotment {
        let Some(content) = &self.content else {
            return Allotment::default();
        };
        let Some(settings) = content.settings.teams.get(team) else {
            return Allotment::default();
        };
        let weight = region_weight(content, region);
        Allotment {
            rate: settings.rate * weight,
            burst: settings.burst * weight,
        }
    }

    /// Records when half of the entry's hosts are known to hold a newer revision: from then on
    /// every majority includes a host that no longer confirms the entry.
    pub(super) fn update_quorum(
        &mut self,
        own: &HostName,
        peer_revisions: &HashMap<HostName, TreeRevision>,
        now: Instant,
    ) {
        if self.superseded.is_none() || self.quorum_lost.is_some() {
            return;
        }
        let newer = |member: &&ListedMember| {
            &member.name == own
                || peer_revisions
                    .get(&member.name)
                    .is_some_and(|held| *held > self.last)
        };
        let all = MemberCount::new(self.members.iter(), newer);
        let live = MemberCount::new(self.members.iter().filter(|member| member.live), newer);
        let quorum_lost = match (&self.content, self.is_between) {
            // The lease needs a majority of all listed hosts or of the live ones, so both are
            // checked.
            (Some(_), _) => all.blocks_quorum() && live.blocks_quorum(),
            (None, true) => all.blocks_unknown_quorum(&live),
            (None, false) => false,
        };
        if quorum_lost {
            self.quorum_lost = Some(now);
        }
    }

    /// Records whether the whole region has started anew.
    pub(super) fn set_cold_start(&mut self, cold_start: bool, now: Instant) {
        self.quorum_lost = cold_start.then(|| self.quorum_lost.unwrap_or(now));
    }

    /// Lets the entry leave the region's window if no host of the region can use it any more; true
    /// if it left.
    pub(super) fn leave_region(
        &mut self,
        oldest: TreeRevision,
        newest: &FleetSnapshot,
        now: Instant,
    ) -> bool {
        let Some(superseded) = self.superseded.filter(|_| self.region_left.is_none()) else {
            return false;
        };
        let quorum_lost = self.quorum_lost.map(|since| since.max(superseded));
        let expired = quorum_lost.is_some_and(|since| now >= since + window_length(self, newest));
        if oldest > self.last || expired || self.is_stale(superseded, newest, now) {
            self.region_left = Some(now);
        }
        self.region_left.is_some()
    }

    /// Lets the entry leave the fleet's window if no host of any region can use it any more; true
    /// if it left. Regions without listed hosts cannot use a revision and are left out; for unknown
    /// revisions, the newest list is taken.
    pub(super) fn leave_fleet(
        &mut self,
        retained: &RetainedRevisions,
        (newest, newest_regions): (&FleetSnapshot, &BTreeSet<RegionName>),
        now: Instant,
    ) -> bool {
        let Some(superseded) = self.superseded.filter(|_| self.fleet_left.is_none()) else {
            return false;
        };
        let known = self.content.is_some();
        let regions = if known { &self.regions } else { newest_regions };
        let mut regions = regions.iter();
        let unused = regions.all(|region| retained.oldest(region) > self.last);
        if unused || self.is_stale(superseded, newest, now) {
            self.fleet_left = Some(now);
        }
        self.fleet_left.is_some()
    }

    fn is_stale(&self, superseded: Instant, newest: &FleetSnapshot, now: Instant) -> bool {
        let settings = self.settings(newest);
        let isolation_limit = drift_adjusted(settings.stale_region, settings.clock_drift_ppm);
        now >= superseded + isolation_limit + window_length(self, newest)
    }

    fn settings<'a>(&'a self, newest: &'a FleetSnapshot) -> &'a FreshnessSettings {
        let content = self.content.as_deref().unwrap_or(newest);
        &content.settings.freshness
    }
}

/// The number of members of an entry, and of those known to hold a newer revision.
#[derive(Clone, Copy, Debug)]
struct MemberCount {
    members: usize,
    newer: usize,
}

impl MemberCount {
    fn new<'a>(
        members: impl Iterator<Item = &'a ListedMember>,
        newer: impl Fn(&&ListedMember) -> bool,
    ) -> Self {
        let mut count = Self {
            members: 0,
            newer: 0,
        };
        for member in members {
            count.members += 1;
            count.newer += usize::from(newer(&member));
        }
        count
    }

    fn blocks_quorum(&self) -> bool {
        2 * self.newer >= self.members
    }

    /// Whether at least half of the hosts that each unknown revision listed are known to hold a
    /// newer one. `self` counts the hosts listed by either of the known revisions around them,
    /// `continuing` those that are live in both. An unknown revision lists all hosts of
    /// `continuing` except a few. Of other hosts, it lists at most those not known to hold a newer
    /// revision and a few that were listed only in between. These two groups of few hosts are
    /// assumed to make up at most a third of the hosts in `self` (assumption A8).
    fn blocks_unknown_quorum(&self, continuing: &Self) -> bool {
        let unconfirmed = self.members - self.newer;
        self.members > 0 && 3 * continuing.newer >= 3 * unconfirmed + self.members
    }
}

fn live_hosts<'a>(snapshot: &'a FleetSnapshot, region: &'a RegionName) -> BTreeSet<&'a HostName> {
    let listed = snapshot.hosts.in_region(region);
    let live = listed.filter(|host| host.state == HostState::Live);
    live.map(|host| &host.name).collect()
}

/// How long a host may use a superseded revision at most, including loans granted under it.
fn window_length(entry: &WindowEntry, newest: &FleetSnapshot) -> Duration {
    let settings = entry.settings(newest);
    let real = settings.lease + settings.list_lag + LOAN_TERM;
    drift_adjusted(real, settings.clock_drift_ppm)
}

/// The drift of a clock as a fraction of the elapsed time.
pub(super) fn drift_fraction(ppm: u32) -> f64 {
    f64::from(ppm) / PARTS_PER_MILLION
}

/// The time that a fast clock shows while a slow one shows `shown`.
pub(super) fn drift_adjusted(shown: Duration, ppm: u32) -> Duration {
    let drift = drift_fraction(ppm);
    shown.mul_f64((1.0 + drift) / (1.0 - drift))
}
