//! This host's knowledge of the other hosts, from the platform's host list and from their messages.

mod plan;
mod roster;

use kws_protocol::{
    HostList, HostName, HostState, ListedHost, RegionName, RevisionView, TreeRevision,
};
use roster::HostRoster;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The identity of this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostIdentity {
    /// Its name, different at each start of the daemon.
    pub name: HostName,
    /// The region in which it runs.
    pub region: RegionName,
}

/// The state of one host as seen from this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It replied to a query sent within the last lease period.
    Reached,
    /// The host list marks it as leaving.
    Leaving,
    /// Its messages arrive, but it has not replied for a whole lease: the connection to it, or its
    /// receiving side, has failed.
    OneWay,
    /// It has neither replied nor sent anything for a whole lease, although it was queried.
    Unresponsive,
    /// It has not replied within the lease, but no query has been open for a whole lease.
    NotQueried,
}

/// A reply of a peer to a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReply {
    /// When the query was sent.
    pub(crate) sent: Instant,
    /// The revision that the peer holds.
    pub(crate) view: RevisionView,
    /// Whether the reply counts towards a majority.
    pub(crate) voting: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    at: Instant,
    revision: TreeRevision,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    reply: Option<PeerReply>,
    report: Option<PeerReport>,
    waiting_since: Option<Instant>,
}

impl PeerRecord {
    fn is_overdue(&self, now: Instant, lease: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_duration_since(since) >= lease)
    }

    fn is_heard(&self, now: Instant, lease: Duration) -> bool {
        self.report
            .is_some_and(|report| now.saturating_duration_since(report.at) < lease)
    }

    fn is_reached(&self, now: Instant, lease: Duration) -> bool {
        self.reply
            .is_some_and(|reply| now.saturating_duration_since(reply.sent) < lease)
    }
}

/// The hosts of the fleet: the platform's list and the state of the message exchange with each.
#[derive(Clone, Debug)]
pub struct FleetMembers {
    identity: HostIdentity,
    roster: Option<HostRoster>,
    seeds: Vec<HostName>,
    peers: BTreeMap<HostName, PeerRecord>,
}

impl FleetMembers {
    pub(crate) fn new(identity: HostIdentity) -> Self {
        Self {
            identity,
            roster: None,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    /// The identity of this host.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// The state of `name` at `now`, given the lease duration `lease`.
    pub fn state(&self, name: &HostName, now: Instant, lease: Duration) -> MemberState {
        if self.listed_state(name) == Some(HostState::Leaving) {
            return MemberState::Leaving;
        }
        let Some(peer) = self.peers.get(name) else {
            return MemberState::NotQueried;
        };
        if peer.is_reached(now, lease) {
            return MemberState::Reached;
        }
        match (peer.is_overdue(now, lease), peer.is_heard(now, lease)) {
            (true, true) => MemberState::OneWay,
            (true, false) => MemberState::Unresponsive,
            (false, _) => MemberState::NotQueried,
        }
    }

    pub(crate) fn set_list(&mut self, list: &HostList) {
        self.roster = Some(HostRoster::new(list, &self.identity));
    }

    pub(crate) fn add_seed(&mut self, name: HostName) {
        self.seeds.push(name);
    }

    /// Adds the live hosts of this host's region as seeds and returns them.
    pub(crate) fn seed_from(&mut self, list: &HostList) -> Vec<ListedHost> {
        let in_region = list.in_region(&self.identity.region);
        let peers: Vec<ListedHost> = in_region
            .filter(|host| host.state == HostState::Live && host.name != self.identity.name)
            .cloned()
            .collect();
        self.seeds
            .extend(peers.iter().map(|host| host.name.clone()));
        peers
    }

    /// Whether the host list marks this host as leaving.
    pub(crate) fn leaving(&self) -> bool {
        self.listed_state(&self.identity.name) == Some(HostState::Leaving)
    }

    pub(crate) fn record_query(&mut self, name: &HostName, now: Instant) {
        let peer = self.peers.entry(name.clone()).or_default();
        peer.waiting_since = peer.waiting_since.or(Some(now));
    }

    /// Records the revision that a peer reported. This is no evidence that it receives the messages
    /// of this host.
    pub(crate) fn record_report(&mut self, name: &HostName, revision: TreeRevision, now: Instant) {
        let peer = self.peers.entry(name.clone()).or_default();
        // A message that arrives out of order must not lower the revision.
        let newest = peer
            .report
            .map_or(revision, |report| report.revision.max(revision));
        peer.report = Some(PeerReport {
            at: now,
            revision: newest,
        });
    }

    pub(crate) fn record_reply(&mut self, name: &HostName, reply: PeerReply, now: Instant) {
        self.record_report(name, reply.view.revision, now);
        let peer = self.peers.entry(name.clone()).or_default();
        peer.waiting_since = None;
        if peer.reply.is_none_or(|known| known.sent <= reply.sent) {
            peer.reply = Some(reply);
        }
    }

    /// Discards all replies.
    pub(crate) fn clear_replies(&mut self) {
        for peer in self.peers.values_mut() {
            peer.reply = None;
        }
    }

    /// Removes hosts that are neither listed nor heard within the lease, which bounds the memory.
    pub(crate) fn prune(&mut self, now: Instant, lease: Duration) {
        let Some(roster) = &self.roster else {
            return;
        };
        self.peers
            .retain(|name, peer| peer.is_heard(now, lease) || roster.state(name).is_some());
    }

    /// When the oldest of the queries was sent whose replies, together with this host, form the
    /// most recent majority of the region. `agrees` tells which replies support the revision held
    /// here.
    pub(crate) fn majority_sent(
        &self,
        now: Instant,
        agrees: impl Fn(&RevisionView) -> bool,
    ) -> Option<Instant> {
        let mut sent: Vec<Instant> = self
            .voter_replies()
            .filter(|reply| reply.voting && agrees(&reply.view))
            .map(|reply| reply.sent)
            .collect();
        match self.replies_needed()? {
            0 => Some(now),
            needed if needed > sent.len() => None,
            needed => {
                let (_, oldest, _) =
                    sent.select_nth_unstable_by(needed - 1, |left, right| right.cmp(left));
                Some(*oldest)
            }
        }
    }

    /// Whether a majority of the region has ever replied; a single host is its own majority.
    pub(crate) fn majority_replied(&self) -> bool {
        self.replies_needed()
            .is_some_and(|needed| self.voter_replies().count() >= needed)
    }

    /// Hosts heard within the lease that hold a revision for which `lacks` returns true. Sorted by
    /// revision, newest first, then hosts of the own region first, then by their last reply.
    pub(crate) fn holders(
        &self,
        now: Instant,
        lease: Duration,
        lacks: impl Fn(TreeRevision) -> bool,
    ) -> Vec<(&HostName, TreeRevision)> {
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_heard(now, lease));
        let mut holders: Vec<_> = heard
            .filter_map(|(name, peer)| Some((name, peer.report?.revision, peer.reply)))
            .filter(|(_, revision, _)| lacks(*revision))
            .collect();
        holders.sort_by_key(|(name, revision, reply)| {
            // Traffic between regions is charged by volume.
            let local = self.region_peers().contains(name);
            Reverse((*revision, local, reply.map(|reply| reply.sent)))
        });
        let holders = holders.into_iter();
        holders
            .map(|(name, revision, _)| (name, revision))
            .collect()
    }

    /// Whether [`Self::holders`] returns any host.
    pub(crate) fn any_holder(
        &self,
        now: Instant,
        lease: Duration,
        lacks: impl Fn(TreeRevision) -> bool,
    ) -> bool {
        self.peers
            .values()
            .filter(|peer| peer.is_heard(now, lease))
            .any(|peer| peer.report.is_some_and(|report| lacks(report.revision)))
    }

    /// The newest revision that `name` has reported.
    pub(crate) fn heard_revision(&self, name: &HostName) -> Option<TreeRevision> {
        Some(self.peers.get(name)?.report?.revision)
    }

    /// Whether a query to `name` has been without a reply for `time` or longer.
    pub(crate) fn is_overdue(&self, name: &HostName, now: Instant, time: Duration) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.is_overdue(now, time))
    }

    fn listed_state(&self, name: &HostName) -> Option<HostState> {
        self.roster.as_ref()?.state(name)
    }

    /// The other live listed hosts of the region.
    fn region_peers(&self) -> &[HostName] {
        self.roster.as_ref().map_or(&[], HostRoster::peers)
    }

    fn voter_replies(&self) -> impl Iterator<Item = PeerReply> {
        let peers = self.region_peers().iter();
        peers.filter_map(|name| self.peers.get(name)?.reply)
    }

    fn replies_needed(&self) -> Option<usize> {
        self.roster.as_ref()?.replies_needed()
    }
}
