//! What this host knows of the other hosts: from the list, and from their own words.

mod plan;
mod roster;

use kws_protocol::{
    HostList, HostName, HostState, ListedHost, RegionName, RevisionView, TreeRevision,
};
use roster::HostRoster;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Which host this is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostIdentity {
    /// Its name, new for each life.
    pub name: HostName,
    /// Its region.
    pub region: RegionName,
}

/// What is known of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It answered within the lease.
    Reached,
    /// The platform lists it as leaving.
    Leaving,
    /// It is heard but does not answer: the way to it, or its hearing, is cut.
    OneWay,
    /// Asked for a whole lease, it neither answered nor was heard.
    Silent,
    /// Not asked lately.
    Unasked,
}

/// One answer of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerWord {
    /// When the question was sent.
    pub(crate) sent: Instant,
    /// What the peer holds.
    pub(crate) view: RevisionView,
    /// Whether the word counts to a majority.
    pub(crate) counts: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerNews {
    at: Instant,
    revision: TreeRevision,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    word: Option<PeerWord>,
    news: Option<PeerNews>,
    waiting_since: Option<Instant>,
}

impl PeerRecord {
    fn waits(&self, now: Instant, lease: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_duration_since(since) >= lease)
    }

    fn heard(&self, now: Instant, lease: Duration) -> bool {
        self.news
            .is_some_and(|news| now.saturating_duration_since(news.at) < lease)
    }

    fn reached(&self, now: Instant, lease: Duration) -> bool {
        self.word
            .is_some_and(|word| now.saturating_duration_since(word.sent) < lease)
    }
}

/// The hosts of the fleet as this one knows them.
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

    /// This host.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// What is known of `name` at `now`, under a lease of `lease`.
    pub fn state(&self, name: &HostName, now: Instant, lease: Duration) -> MemberState {
        if self.listed_state(name) == Some(HostState::Leaving) {
            return MemberState::Leaving;
        }
        let Some(peer) = self.peers.get(name) else {
            return MemberState::Unasked;
        };
        if peer.reached(now, lease) {
            return MemberState::Reached;
        }
        match (peer.waits(now, lease), peer.heard(now, lease)) {
            (true, true) => MemberState::OneWay,
            (true, false) => MemberState::Silent,
            (false, _) => MemberState::Unasked,
        }
    }

    pub(crate) fn set_list(&mut self, list: &HostList) {
        self.roster = Some(HostRoster::new(list, &self.identity));
    }

    pub(crate) fn add_seed(&mut self, name: HostName) {
        self.seeds.push(name);
    }

    /// Takes the live hosts of the own region as seeds and returns them.
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

    /// Whether the list says that this host is leaving.
    pub(crate) fn leaving(&self) -> bool {
        self.listed_state(&self.identity.name) == Some(HostState::Leaving)
    }

    pub(crate) fn note_asked(&mut self, name: &HostName, now: Instant) {
        let peer = self.peers.entry(name.clone()).or_default();
        peer.waiting_since = peer.waiting_since.or(Some(now));
    }

    /// A peer said what it holds: news, but no sign that it hears this host.
    pub(crate) fn note_news(&mut self, name: &HostName, revision: TreeRevision, now: Instant) {
        let peer = self.peers.entry(name.clone()).or_default();
        // A message overtaken on its way must not take back newer news.
        let newest = peer
            .news
            .map_or(revision, |news| news.revision.max(revision));
        peer.news = Some(PeerNews {
            at: now,
            revision: newest,
        });
    }

    pub(crate) fn note_word(&mut self, name: &HostName, word: PeerWord, now: Instant) {
        self.note_news(name, word.view.revision, now);
        let peer = self.peers.entry(name.clone()).or_default();
        peer.waiting_since = None;
        if peer.word.is_none_or(|known| known.sent <= word.sent) {
            peer.word = Some(word);
        }
    }

    /// Forgets every answer.
    pub(crate) fn forget_words(&mut self) {
        for peer in self.peers.values_mut() {
            peer.word = None;
        }
    }

    /// Forgets hosts that are neither listed nor lately heard, so that memory stays bounded.
    pub(crate) fn prune(&mut self, now: Instant, lease: Duration) {
        let Some(roster) = &self.roster else {
            return;
        };
        self.peers
            .retain(|name, peer| peer.heard(now, lease) || roster.state(name).is_some());
    }

    /// When the oldest question was sent of those whose answers make up a majority of the region
    /// with this host; `agrees` says which words support what it holds.
    pub(crate) fn majority_sent(
        &self,
        now: Instant,
        agrees: impl Fn(&RevisionView) -> bool,
    ) -> Option<Instant> {
        let mut sent: Vec<Instant> = self
            .voter_words()
            .filter(|word| word.counts && agrees(&word.view))
            .map(|word| word.sent)
            .collect();
        match self.answers_needed()? {
            0 => Some(now),
            needed if needed > sent.len() => None,
            needed => {
                let (_, oldest, _) =
                    sent.select_nth_unstable_by(needed - 1, |left, right| right.cmp(left));
                Some(*oldest)
            }
        }
    }

    /// Whether a majority of the region has answered at all; one host alone is its own majority.
    pub(crate) fn majority_answered(&self) -> bool {
        self.answers_needed()
            .is_some_and(|needed| self.voter_words().count() >= needed)
    }

    /// Hosts heard within the lease that hold a revision which `lacks` says is missing here: the
    /// newest revision first, of equal ones the own region, and there the latest reached.
    pub(crate) fn holders(
        &self,
        now: Instant,
        lease: Duration,
        lacks: impl Fn(TreeRevision) -> bool,
    ) -> Vec<(&HostName, TreeRevision)> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard(now, lease));
        let mut holders: Vec<_> = heard
            .filter_map(|(name, peer)| Some((name, peer.news?.revision, peer.word)))
            .filter(|(_, revision, _)| lacks(*revision))
            .collect();
        holders.sort_by_key(|(name, revision, word)| {
            // The link between regions is paid by volume.
            let local = self.region_peers().contains(name);
            Reverse((*revision, local, word.map(|word| word.sent)))
        });
        let holders = holders.into_iter();
        holders
            .map(|(name, revision, _)| (name, revision))
            .collect()
    }

    /// Whether [`Self::holders`] would name any.
    pub(crate) fn any_holder(
        &self,
        now: Instant,
        lease: Duration,
        lacks: impl Fn(TreeRevision) -> bool,
    ) -> bool {
        self.peers
            .values()
            .filter(|peer| peer.heard(now, lease))
            .any(|peer| peer.news.is_some_and(|news| lacks(news.revision)))
    }

    /// The revision that `name` was last heard at.
    pub(crate) fn heard_revision(&self, name: &HostName) -> Option<TreeRevision> {
        Some(self.peers.get(name)?.news?.revision)
    }

    /// Whether `name` has left a question open for `time` or longer.
    pub(crate) fn waits(&self, name: &HostName, now: Instant, time: Duration) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.waits(now, time))
    }

    fn listed_state(&self, name: &HostName) -> Option<HostState> {
        self.roster.as_ref()?.state(name)
    }

    /// The other live listed hosts of the region.
    fn region_peers(&self) -> &[HostName] {
        self.roster.as_ref().map_or(&[], HostRoster::peers)
    }

    fn voter_words(&self) -> impl Iterator<Item = PeerWord> {
        let peers = self.region_peers().iter();
        peers.filter_map(|name| self.peers.get(name)?.word)
    }

    fn answers_needed(&self) -> Option<usize> {
        self.roster.as_ref()?.answers_needed()
    }
}
