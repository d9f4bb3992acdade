//! The members that a host knows, as told to peers and to the daemon.

use super::{MeshView, lists::ListScope, seed_name};
use crate::FleetAction;
use kws_protocol::{
    HostList, HostName, HostState, ListedHost, MemberReport, MeshMember, MeshMessage,
};
use std::time::Duration;
use tokio::time::Instant;

/// The shortest interval between two publications of the members. While a large fleet starts, they
/// change with nearly every message.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(200);

impl MeshView {
    /// Compares a peer's set of members, by its digest and count, with this host's. Returns whether
    /// they are the same.
    pub(super) fn reconcile_members(
        &mut self,
        from: &HostName,
        (digest, count): (u64, u32),
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        self.table.mark_heard(from, now);
        if digest == self.table.digest() {
            return true;
        }
        let own_count = self.table.count();
        let since = match self.lists.choose(from, count as usize, own_count, now) {
            ListScope::All => None,
            ListScope::Since(since) => Some(since),
        };
        let entries = self.table.entries(since, now);
        actions.push(Self::send(from, MeshMessage::Members(entries)));
        false
    }

    /// The reply to a heartbeat of a host whose set of members `agrees` with this host's, or not.
    pub(super) fn reply(&self, nonce: u64, agrees: bool, now: Instant) -> MeshMessage {
        let (ages, hashed_ages) = if agrees {
            (self.table.ages(now), Vec::new())
        } else {
            (Vec::new(), self.table.hashed_ages(now))
        };
        MeshMessage::Reply {
            nonce,
            view: self.view(now),
            members_digest: self.table.digest(),
            member_count: self.table.count() as u32,
            ages,
            hashed_ages,
        }
    }

    pub(super) fn merge_members(
        &mut self,
        from: &HostName,
        entries: &[MemberReport],
        now: Instant,
    ) {
        for entry in entries {
            if let Some(heard) = now.checked_sub(entry.age) {
                self.table.upsert(&entry.member, heard, now);
            }
        }
        self.table.mark_heard(from, now);
    }

    /// The hosts that share the region's work. One that has announced its stop is no longer among them by
    /// its own view either: the others have given its work to another host.
    pub(super) fn host_list(&self, now: Instant) -> HostList {
        let own = (!self.table.has_left()).then(|| self.table.own());
        let members = self.table.live(now).chain(own);
        HostList {
            hosts: members.map(to_listed_host).collect(),
            servers: Vec::new(),
        }
    }

    /// Passes contacts and a snapshot to the daemon when the set of live members has changed, at
    /// most once in [`PUBLICATION_INTERVAL`].
    pub(super) fn publish_members(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.next_publication {
            return;
        }
        let live = self.table.live(now);
        let names: Vec<HostName> = live.map(|member| member.name.clone()).collect();
        if self.published_members.as_ref() == Some(&names) {
            return;
        }
        log::info!(
            members = names.len(),
            known = self.table.count() - 1,
            reads = self.is_reader(now);
            "members changed"
        );
        self.published_members = Some(names);
        self.next_publication = now + PUBLICATION_INTERVAL;
        let seeds = self.seeds.iter().map(|seed| ListedHost {
            name: seed_name(*seed),
            region: self.table.own().region.clone(),
            center: self.table.own().center.clone(),
            peer: *seed,
            state: HostState::Live,
            millicores: 0,
        });
        let known = self.table.entries(None, now);
        let known = known.iter().map(|entry| to_listed_host(&entry.member));
        actions.push(FleetAction::SetContacts(known.chain(seeds).collect()));
        self.publish(now, actions);
    }
}

fn to_listed_host(member: &MeshMember) -> ListedHost {
    ListedHost {
        name: member.name.clone(),
        region: member.region.clone(),
        center: member.center.clone(),
        peer: member.address,
        state: HostState::Live,
        millicores: member.millicores,
    }
}
