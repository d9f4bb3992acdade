//! Tokens of teams when the platform lists no hosts: in each region, one host owns the region's
//! share of a team. `docs/PLATFORM.md` states the guarantees of this mode.

use crate::partition::{PARTITION_COUNT, TokenPartition};
use kws_protocol::{FleetSettings, RegionName, TeamName, TeamSettings};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// How long a request may wait for its token, because a short wait serves the caller better than a
/// refusal.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Buckets unused for this long are taken to be full and dropped.
const IDLE_PERIOD: Duration = Duration::from_mins(1);

/// How often idle buckets are dropped.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// The longest retry delay given with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Teams with at least this rate, in requests per second, have no limit.
const UNLIMITED_RATE: f64 = 1e8;

/// The decision on a request for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenDecision {
    /// The request may be forwarded now.
    Granted,
    /// The request may be forwarded after this delay; the token is already taken.
    GrantedAfter(Duration),
    /// The team exceeds its rate and burst.
    Refused {
        /// The delay until a token is available.
        retry_after: Duration,
    },
    /// The settings do not define the team.
    UnknownTeam,
}

/// Time after its start in which a host may not know all others yet.
const JOINING_PERIOD: Duration = Duration::from_secs(5);

/// Period over which the growth of the known hosts tells how many are still unknown: two heartbeats of
/// hosts that start.
const GROWTH_PERIOD: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    level: f64,
    /// In tokens per second.
    rate: f64,
    filled: Instant,
}

impl TokenBucket {
    /// The time until a whole token is available, at most [`MAX_RETRY_AFTER`].
    fn time_to_token(&self) -> Duration {
        let seconds = (1.0 - self.level) / self.rate;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()))
    }
}

/// Token buckets of the teams that a host owns in its region, or of the fraction of a region's
/// share that it uses while an owner does not answer.
#[derive(Clone, Debug)]
pub struct TokenOwner {
    region: RegionName,
    buckets: HashMap<TeamName, TokenBucket>,
    /// By partition, the instant since which it is owned; `None` if another host owns it. New
    /// buckets fill from this instant; before it, another host may have owned them.
    owned_since: [Option<Instant>; PARTITION_COUNT as usize],
    /// Since when this host gets to know others: its start, or when it met the first one.
    started: Instant,
    /// The most hosts that the region may have, while this host has met no other; 1 afterwards.
    assumed_hosts: usize,
    /// The number of hosts of the region that this host knew, itself included, and since when;
    /// reaches back by [`GROWTH_PERIOD`].
    host_counts: VecDeque<(Instant, usize)>,
    next_sweep: Instant,
}

impl TokenOwner {
    /// Empty buckets for `region`, with all partitions owned since `now`. Until this host meets another, it
    /// uses an equal part for each of `most_hosts` of the region's share; 1 stands for a host that is told
    /// of no other.
    pub fn new(region: RegionName, most_hosts: usize, now: Instant) -> Self {
        Self {
            region,
            buckets: HashMap::new(),
            owned_since: [Some(now); PARTITION_COUNT as usize],
            started: now,
            assumed_hosts: most_hosts.max(1),
            host_counts: [(now, 1)].into(),
            next_sweep: now + SWEEP_PERIOD,
        }
    }

    /// Applies a change of owners. Buckets of partitions that are gained or lost are dropped: the
    /// other owner may just have granted, or may grant from now on, all that they hold.
    pub fn set_owned(&mut self, is_owned: impl Fn(TokenPartition) -> bool, now: Instant) {
        for partition in TokenPartition::all() {
            let since = &mut self.owned_since[partition.index()];
            let owned = is_owned(partition);
            if owned == since.is_some() {
                continue;
            }
            *since = owned.then_some(now);
            self.buckets
                .retain(|team, _| TokenPartition::of(team) != partition);
        }
    }

    /// Whether this host owns `partition`.
    pub fn owns(&self, partition: TokenPartition) -> bool {
        self.owned_since[partition.index()].is_some()
    }

    /// Records that this host has met another one of the fleet.
    pub fn record_met(&mut self, now: Instant) {
        if self.assumed_hosts > 1 {
            self.assumed_hosts = 1;
            self.started = now;
        }
    }

    /// Records that the region's hosts changed; this host knows `count` of them, itself included.
    ///
    /// A host that has just started knows few others and takes itself for the owner of too much, as
    /// others do that start at the same time. Until [`JOINING_PERIOD`] after its start, its buckets
    /// are emptied at each change.
    pub fn record_hosts(&mut self, count: usize, now: Instant) {
        let counts = &mut self.host_counts;
        counts.push_back((now, count.max(1)));
        while counts
            .get(1)
            .is_some_and(|(at, _)| *at + GROWTH_PERIOD <= now)
        {
            counts.pop_front();
        }
        if now >= self.started + JOINING_PERIOD {
            return;
        }
        for since in self.owned_since.iter_mut().flatten() {
            *since = now;
        }
        for bucket in self.buckets.values_mut() {
            // Tokens that were granted in advance stay owed.
            bucket.level = bucket.level.min(0.0);
            bucket.filled = now;
        }
    }

    /// The fraction of the region's share that this host may use. While it has met no other although it was
    /// told of some, each of them may be as alone and grant as much: it is an equal part of the most hosts
    /// that there may be. Otherwise it is less than 1 only while it still gets to know the others, and then the part of them that it knew [`GROWTH_PERIOD`] ago. The
    /// faster its view grows, the more other hosts may take themselves for the owner.
    fn joining_fraction(&self, now: Instant) -> f64 {
        if self.assumed_hosts > 1 {
            return 1.0 / self.assumed_hosts as f64;
        }
        if now >= self.started + JOINING_PERIOD {
            return 1.0;
        }
        let counts = || self.host_counts.iter();
        let earlier = counts().take_while(|(at, _)| *at + GROWTH_PERIOD <= now);
        let earlier = earlier.last().map_or(1, |(_, count)| *count);
        let known = counts().last().map_or(1, |(_, count)| *count);
        (earlier as f64 / known as f64).min(1.0)
    }

    /// Whether the team's rate counts as unlimited.
    pub fn is_unlimited(settings: &FleetSettings, team: &TeamName) -> bool {
        let settings = settings.teams.get(team);
        settings.is_some_and(|settings| settings.rate >= UNLIMITED_RATE)
    }

    /// Takes one token of the team, whose bucket gets `fraction` of the region's share.
    pub fn take(
        &mut self,
        settings: &FleetSettings,
        team: &TeamName,
        fraction: f64,
        now: Instant,
    ) -> TokenDecision {
        let Some(limit) = settings.teams.get(team) else {
            return TokenDecision::UnknownTeam;
        };
        if limit.rate >= UNLIMITED_RATE {
            return TokenDecision::Granted;
        }
        self.sweep(now);
        let bucket = self.fill(limit, fraction * region_share(settings, &self.region), now);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return TokenDecision::Granted;
        }
        let wait = bucket.time_to_token();
        if wait <= MAX_WAIT {
            bucket.level -= 1.0;
            return TokenDecision::GrantedAfter(wait);
        }
        TokenDecision::Refused { retry_after: wait }
    }

    /// Takes `count` tokens of the team that other hosts of the region have granted in place of this one.
    /// What the bucket doesn't hold is owed from later ones.
    pub fn charge(&mut self, settings: &FleetSettings, team: &TeamName, count: u32, now: Instant) {
        let Some(limit) = settings.teams.get(team) else {
            return;
        };
        let bucket = self.fill(limit, region_share(settings, &self.region), now);
        bucket.level -= f64::from(count);
    }

    /// Gives one token to the owner in another region, if one is available now.
    pub fn lend(
        &mut self,
        settings: &FleetSettings,
        team: &TeamName,
        now: Instant,
    ) -> TokenDecision {
        let Some(limit) = settings.teams.get(team) else {
            return TokenDecision::UnknownTeam;
        };
        let bucket = self.fill(limit, region_share(settings, &self.region), now);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return TokenDecision::Granted;
        }
        TokenDecision::Refused {
            retry_after: bucket.time_to_token(),
        }
    }

    /// The team's bucket with `fraction` of its rate and burst, filled up to `now`. The bucket of a
    /// team that another host owns starts empty and holds one token at most, since the owner may
    /// grant the burst.
    fn fill(&mut self, team: &TeamSettings, fraction: f64, now: Instant) -> &mut TokenBucket {
        let fraction = fraction * self.joining_fraction(now);
        let owned_since = self.owned_since[TokenPartition::of(&team.name).index()];
        let burst = match owned_since {
            Some(_) => (team.burst * fraction).max(1.0),
            None => 1.0,
        };
        let bucket = self
            .buckets
            .entry(team.name.clone())
            .or_insert_with(|| TokenBucket {
                level: 0.0,
                rate: 0.0,
                filled: owned_since.unwrap_or(now),
            });
        bucket.rate = (team.rate * fraction).max(f64::MIN_POSITIVE);
        let time = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.level = (bucket.level + time * bucket.rate).min(burst);
        bucket.filled = bucket.filled.max(now);
        bucket
    }

    fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_PERIOD;
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.filled) < IDLE_PERIOD);
    }

    /// The number of teams with a bucket.
    pub fn active_teams(&self) -> usize {
        self.buckets.len()
    }
}

/// The region's share of every team's rate and burst, from 0 to 1.
fn region_share(settings: &FleetSettings, region: &RegionName) -> f64 {
    let regions = &settings.regions;
    let sum: f64 = regions.values().map(|entry| entry.weight).sum();
    let own = regions.get(region).map_or(0.0, |entry| entry.weight);
    own.max(0.0) / sum.max(f64::MIN_POSITIVE)
}
