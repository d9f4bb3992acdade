//! The known members of the mesh, each with the time when any host last heard from it.

use kws_protocol::{HashedAge, HostName, MemberReport, MeshMember, RegionName, name_hash};
use std::{
    cell::OnceCell,
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// A member that no host has heard for this long is not live and gets no work. Three rounds of
/// heartbeats may be lost.
pub(crate) const LIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// A member that leaves a message of this host unanswered for this long counts as silent. Replies
/// take milliseconds, and more on a host that is short of processor time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a member counts as silent unless it is asked again. By then it is no longer live if all
/// others find it silent as well.
const SILENCE_RETENTION: Duration = LIVE_TIMEOUT;

/// A member that no host has heard for this long is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the name of a member that left is not accepted again. By then reports about it from
/// before it left have expired.
const LEFT_RETENTION: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct MemberRecord {
    member: MeshMember,
    heard: Instant,
    /// When this host added it.
    added: Instant,
    /// Hash of its name.
    hash: u64,
    /// Whether its own reads of the platform fail.
    platform_unreachable: bool,
    /// Whether it orders revisions without the era, as it reported.
    ignores_eras: bool,
    /// When this host itself last heard it.
    direct: Option<Instant>,
    /// When it was sent the oldest message that it has not answered.
    asked: Option<Instant>,
}

impl MemberRecord {
    fn is_silent(&self, now: Instant) -> bool {
        let waited = self.asked.map(|at| now.saturating_duration_since(at));
        waited.is_some_and(|waited| (REPLY_TIMEOUT..SILENCE_RETENTION).contains(&waited))
    }
}

/// The members known to one host, without the host itself.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    own: MeshMember,
    /// Whether this host has announced its stop.
    has_left: bool,
    records: BTreeMap<HostName, MemberRecord>,
    left: BTreeMap<HostName, Instant>,
    /// Hash of the names of all members, this host included, until these change.
    digest: OnceCell<u64>,
}

impl MemberTable {
    pub(crate) fn new(own: MeshMember) -> Self {
        Self {
            own,
            has_left: false,
            records: BTreeMap::new(),
            left: BTreeMap::new(),
            digest: OnceCell::new(),
        }
    }

    pub(crate) fn own(&self) -> &MeshMember {
        &self.own
    }

    /// Records that this host has announced its stop.
    pub(crate) fn leave(&mut self) {
        self.has_left = true;
    }

    /// Whether this host has announced its stop.
    pub(crate) fn has_left(&self) -> bool {
        self.has_left
    }

    /// Adds or refreshes a member last heard at `heard`. Returns whether the set of members
    /// changed.
    pub(crate) fn upsert(&mut self, member: &MeshMember, heard: Instant, now: Instant) -> bool {
        let expired = now.saturating_duration_since(heard) >= EVICTION_TIMEOUT;
        if expired || member.name == self.own.name || self.left.contains_key(&member.name) {
            return false;
        }
        if member.address == self.own.address {
            // An earlier run of this host, under another name.
            return false;
        }
        if let Some(record) = self.records.get_mut(&member.name) {
            record.heard = record.heard.max(heard);
            return false;
        }
        let previous = self.find_by_address(member);
        if previous.as_ref().is_some_and(|(_, known)| *known > heard) {
            return false;
        }
        if let Some((name, _)) = previous {
            self.records.remove(&name);
        }
        let record = MemberRecord {
            member: member.clone(),
            heard,
            added: now,
            hash: name_hash(&member.name),
            platform_unreachable: false,
            ignores_eras: false,
            direct: None,
            asked: None,
        };
        self.digest.take();
        self.records.insert(member.name.clone(), record);
        true
    }

    /// Another run of the same daemon: its name and when it was last heard.
    fn find_by_address(&self, member: &MeshMember) -> Option<(HostName, Instant)> {
        let mut records = self.records.iter();
        let (name, record) = records.find(|(_, record)| record.member.address == member.address)?;
        Some((name.clone(), record.heard))
    }

    /// Records that a message from `name` arrived.
    pub(crate) fn mark_heard(&mut self, name: &HostName, now: Instant) {
        if let Some(record) = self.records.get_mut(name) {
            record.heard = record.heard.max(now);
            record.direct = Some(now);
            record.asked = None;
        }
    }

    /// Records that `name` was sent a message that it has to answer.
    pub(crate) fn mark_asked(&mut self, name: &HostName, now: Instant) {
        if let Some(record) = self.records.get_mut(name) {
            let since = record
                .asked
                .filter(|at| now.saturating_duration_since(*at) < SILENCE_RETENTION);
            record.asked = since.or(Some(now));
        }
    }

    /// Forgets which messages are unanswered.
    pub(crate) fn clear_asked(&mut self) {
        for record in self.records.values_mut() {
            record.asked = None;
        }
    }

    /// Whether a member has left a message of this host unanswered for [`REPLY_TIMEOUT`].
    pub(crate) fn is_silent(&self, name: &HostName, now: Instant) -> bool {
        let record = self.records.get(name);
        record.is_some_and(|record| record.is_silent(now))
    }

    /// Whether any member is silent.
    pub(crate) fn has_silent(&self, now: Instant) -> bool {
        self.records.values().any(|record| record.is_silent(now))
    }

    /// Whether a message to a member is unanswered.
    pub(crate) fn is_asked(&self, name: &HostName) -> bool {
        let record = self.records.get(name);
        record.is_some_and(|record| record.asked.is_some())
    }

    /// Whether this host itself has heard a member within `period`.
    pub(crate) fn was_heard(&self, name: &HostName, period: Duration, now: Instant) -> bool {
        let heard = self.records.get(name).and_then(|record| record.direct);
        heard.is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Records whether the reads of a member from the platform fail, as it reported.
    pub(crate) fn record_platform_unreachable(&mut self, name: &HostName, unreachable: bool) {
        if let Some(record) = self.records.get_mut(name) {
            record.platform_unreachable = unreachable;
        }
    }

    /// Whether a member reported that its reads of the platform fail.
    pub(crate) fn platform_unreachable(&self, name: &HostName) -> bool {
        self.records
            .get(name)
            .is_some_and(|record| record.platform_unreachable)
    }

    /// Records whether a member orders revisions without the era. Returns whether that is news.
    pub(crate) fn record_ignores_eras(&mut self, name: &HostName, ignores: bool) -> bool {
        let record = self.records.get_mut(name);
        record.is_some_and(|record| std::mem::replace(&mut record.ignores_eras, ignores) != ignores)
    }

    /// Whether a member reported that it orders revisions without the era.
    pub(crate) fn ignores_eras(&self, name: &HostName) -> bool {
        self.records
            .get(name)
            .is_some_and(|record| record.ignores_eras)
    }

    /// Removes a member that announced its stop. Returns whether it was known.
    pub(crate) fn mark_left(&mut self, name: &HostName, now: Instant) -> bool {
        self.left.insert(name.clone(), now);
        self.digest.take();
        self.records.remove(name).is_some()
    }

    /// The names of the members that announced their stop in the last [`LEFT_RETENTION`].
    pub(crate) fn left(&self) -> impl Iterator<Item = &HostName> {
        self.left.keys()
    }

    /// Merges the ages in a peer's table with the same members, in the order of their names. The
    /// peer itself is among them.
    pub(crate) fn merge_ages(&mut self, ages: &[Duration], reported_at: Instant) {
        if ages.len() != self.count() {
            return;
        }
        let own = self.records.range(..self.own.name.clone()).count();
        let others = ages.iter().enumerate().filter(|(at, _)| *at != own);
        for (record, (_, age)) in self.records.values_mut().zip(others) {
            if let Some(heard) = reported_at.checked_sub(*age) {
                record.heard = record.heard.max(heard);
            }
        }
    }

    /// Evicts members not heard for [`EVICTION_TIMEOUT`]. Returns whether the set changed. A host
    /// that is not `connected` may itself be the partitioned one, so it evicts none.
    pub(crate) fn prune(&mut self, now: Instant, connected: bool) -> bool {
        self.left
            .retain(|_, at| now.saturating_duration_since(*at) < LEFT_RETENTION);
        if !connected {
            return false;
        }
        let before = self.records.len();
        self.digest.take();
        self.records
            .retain(|_, record| now.saturating_duration_since(record.heard) < EVICTION_TIMEOUT);
        self.records.len() != before
    }

    /// The names of all members in order, this host included.
    fn names(&self) -> Vec<&HostName> {
        let mut names: Vec<&HostName> = self.records.keys().collect();
        let own = names.partition_point(|name| **name < self.own.name);
        names.insert(own, &self.own.name);
        names
    }

    /// Number of members, this host included.
    pub(crate) fn count(&self) -> usize {
        self.records.len() + 1
    }

    /// A hash of the names of all members, this host included.
    pub(crate) fn digest(&self) -> u64 {
        *self.digest.get_or_init(|| {
            let mut hasher = Xxh3::new();
            for name in self.names() {
                hasher.update(name.as_str().as_bytes());
                hasher.update(&[0]);
            }
            hasher.digest()
        })
    }

    /// The ages of all members in the order of their names.
    pub(crate) fn ages(&self, now: Instant) -> Vec<Duration> {
        let age = |name: &HostName| {
            let record = self.records.get(name);
            record.map_or(Duration::ZERO, |record| {
                now.saturating_duration_since(record.heard)
            })
        };
        self.names().into_iter().map(age).collect()
    }

    /// The ages of all members by the hashes of their names.
    pub(crate) fn hashed_ages(&self, now: Instant) -> Vec<HashedAge> {
        let others = self.records.values().map(|record| HashedAge {
            member: record.hash,
            age: now.saturating_duration_since(record.heard),
        });
        let own = HashedAge {
            member: name_hash(&self.own.name),
            age: Duration::ZERO,
        };
        others.chain([own]).collect()
    }

    /// Merges the ages in the table of a peer whose members differ.
    pub(crate) fn merge_hashed_ages(&mut self, ages: &[HashedAge], reported_at: Instant) {
        if ages.is_empty() {
            return;
        }
        let ages: HashMap<u64, Duration> = ages.iter().map(|one| (one.member, one.age)).collect();
        for record in self.records.values_mut() {
            let age = ages.get(&record.hash);
            if let Some(heard) = age.and_then(|age| reported_at.checked_sub(*age)) {
                record.heard = record.heard.max(heard);
            }
        }
    }

    /// The members that this host added at `since` or later, or all, with the time since each was
    /// last heard; this host included.
    pub(crate) fn entries(&self, since: Option<Instant>, now: Instant) -> Vec<MemberReport> {
        let added = move |record: &&MemberRecord| since.is_none_or(|since| record.added >= since);
        let others = self
            .records
            .values()
            .filter(added)
            .map(|record| MemberReport {
                member: record.member.clone(),
                age: now.saturating_duration_since(record.heard),
            });
        let own = MemberReport {
            member: self.own.clone(),
            age: Duration::ZERO,
        };
        others.chain([own]).collect()
    }

    /// The other members that were heard within [`LIVE_TIMEOUT`].
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = &MeshMember> {
        let live = move |record: &&MemberRecord| {
            now.saturating_duration_since(record.heard) < LIVE_TIMEOUT
        };
        self.records
            .values()
            .filter(live)
            .map(|record| &record.member)
    }

    /// When each other known member of `region` was last heard.
    pub(crate) fn heard_in<'a>(
        &'a self,
        region: &'a RegionName,
    ) -> impl Iterator<Item = Instant> + 'a {
        let records = self.records.values();
        records
            .filter(move |record| &record.member.region == region)
            .map(|record| record.heard)
    }

    pub(crate) fn is_alone(&self) -> bool {
        self.records.is_empty()
    }
}
