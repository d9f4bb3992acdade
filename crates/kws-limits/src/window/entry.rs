//! One revision, or a stretch of unknown ones, in the window.

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

/// One revision, or a stretch of unknown ones: those allot nothing.
#[derive(Debug)]
pub(super) struct WindowEntry {
    pub(super) id: u64,
    pub(super) first: TreeRevision,
    pub(super) last: TreeRevision,
    pub(super) content: Option<Arc<FleetSnapshot>>,
    members: Vec<ListedMember>,
    /// The regions with listed hosts.
    pub(super) regions: BTreeSet<RegionName>,
    pub(super) entered: Instant,
    pub(super) superseded: Option<Instant>,
    /// Since when no host can get a majority of the entry's hosts to confirm it.
    outvoted: Option<Instant>,
    /// When it stopped to bound the fraction of the region's share.
    pub(super) region_left: Option<Instant>,
    /// When it stopped to bound the region's share itself.
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
            regions,
            entered: now,
            superseded: None,
            outvoted: None,
            region_left: None,
            fleet_left: None,
        }
    }

    /// Whether it stands for everything before the first revision adopted.
    pub(super) fn is_past(&self) -> bool {
        self.first == TreeRevision(0) && self.content.is_none()
    }

    /// Whether it was superseded but still bounds the host's allotments.
    pub(super) fn is_waiting(&self) -> bool {
        self.superseded.is_some() && self.left().is_none()
    }

    /// When it left the window wholly.
    pub(super) fn left(&self) -> Option<Instant> {
        Some(self.region_left?.max(self.fleet_left?))
    }

    /// When it entered and left.
    pub(super) fn changes(&self) -> impl Iterator<Item = Instant> {
        [Some(self.entered), self.region_left, self.fleet_left]
            .into_iter()
            .flatten()
    }

    /// The listed hosts of the own region.
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

    /// Notes whether half of the entry's hosts are known to hold a newer revision: then any
    /// majority of them has one that denies the entry. Both all listed and the live are counted,
    /// so that the rule holds whichever of the two the lease asks.
    pub(super) fn count_holders(
        &mut self,
        own: &HostName,
        peers: &HashMap<HostName, TreeRevision>,
        now: Instant,
    ) {
        if self.superseded.is_none() || self.content.is_none() || self.outvoted.is_some() {
            return;
        }
        let newer = |member: &&ListedMember| {
            &member.name == own
                || peers
                    .get(&member.name)
                    .is_some_and(|held| *held > self.last)
        };
        let live = || self.members.iter().filter(|member| member.live);
        let of_all = 2 * self.members.iter().filter(newer).count() >= self.members.len();
        let of_live = 2 * live().filter(newer).count() >= live().count();
        if of_all && of_live {
            self.outvoted = Some(now);
        }
    }

    /// Notes whether the whole region has started anew.
    pub(super) fn confirm_past(&mut self, cold_start: bool, now: Instant) {
        self.outvoted = cold_start.then(|| self.outvoted.unwrap_or(now));
    }

    /// Lets the entry leave the region's window when no host of the region can use it.
    pub(super) fn leave_region(
        &mut self,
        oldest: TreeRevision,
        newest: &FleetSnapshot,
        now: Instant,
    ) -> bool {
        let Some(superseded) = self.superseded.filter(|_| self.region_left.is_none()) else {
            return false;
        };
        let outvoted = self.outvoted.map(|outvoted| outvoted.max(superseded));
        let settled = outvoted.is_some_and(|since| now >= since + window_length(self, newest));
        if oldest > self.last || settled || self.is_stale(superseded, newest, now) {
            self.region_left = Some(now);
        }
        self.region_left.is_some()
    }

    /// Lets the entry leave the fleet's window when no host of any region can use it. Regions
    /// without listed hosts have nothing to use; for unknown revisions the newest list counts.
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
        let settled = regions.all(|region| retained.oldest(region) > self.last);
        if settled || self.is_stale(superseded, newest, now) {
            self.fleet_left = Some(now);
        }
        self.fleet_left.is_some()
    }

    fn is_stale(&self, superseded: Instant, newest: &FleetSnapshot, now: Instant) -> bool {
        let settings = self.settings(newest);
        let cut_off = stretch(settings.stale_region, settings.clock_drift_ppm);
        now >= superseded + cut_off + window_length(self, newest)
    }

    fn settings<'a>(&'a self, newest: &'a FleetSnapshot) -> &'a FreshnessSettings {
        let content = self.content.as_deref().unwrap_or(newest);
        &content.settings.freshness
    }
}

/// How long a host may use a superseded revision at the most, loans included.
fn window_length(entry: &WindowEntry, newest: &FleetSnapshot) -> Duration {
    let settings = entry.settings(newest);
    let real = settings.lease + settings.list_lag + LOAN_TERM;
    stretch(real, settings.clock_drift_ppm)
}

/// The drift of a clock as a share of the time passed.
pub(super) fn drift_share(ppm: u32) -> f64 {
    f64::from(ppm) / PARTS_PER_MILLION
}

/// How long a fast clock shows while a slow clock shows `shown`.
pub(super) fn stretch(shown: Duration, ppm: u32) -> Duration {
    let drift = drift_share(ppm);
    shown.mul_f64((1.0 + drift) / (1.0 - drift))
}
