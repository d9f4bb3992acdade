//! The freshness lease, reduced to what the limits depend on.

use kws_protocol::{FleetSnapshot, HostName, RegionName};
use std::{collections::HashMap, sync::Arc};
use tokio::time::Instant;

/// What one host holds and who confirmed it, all by its own clock.
#[derive(Debug, Default)]
pub struct LeaseModel {
    /// The newest revision held.
    pub held: Option<Arc<FleetSnapshot>>,
    /// When the last question left that the platform answered.
    pub platform_sent: Option<Instant>,
    /// When the platform last confirmed any revision to this host or one that it heard.
    pub platform_seen: Option<Instant>,
    /// When the last question left that each peer answered knowing nothing newer.
    pub answers: HashMap<HostName, Instant>,
}

impl LeaseModel {
    /// Until when the host is current.
    pub fn until(&self, own: &HostName, region: &RegionName, now: Instant) -> Option<Instant> {
        let held = self.held.as_ref()?;
        let freshness = &held.settings.freshness;
        let by_platform = self.platform_sent.map(|sent| sent + freshness.lease);
        let listed = held.hosts.in_region(region).map(|host| &host.name);
        let mut sent: Vec<Option<Instant>> = listed
            .map(|name| {
                let answer = self.answers.get(name).copied();
                if name == own { Some(now) } else { answer }
            })
            .collect();
        sent.sort_by(|left, right| right.cmp(left));
        let majority = sent.get(sent.len() / 2).copied().flatten();
        let by_peers = majority
            .zip(self.platform_seen)
            .map(|(sent, seen)| (sent + freshness.lease).min(seen + freshness.stale_region));
        by_platform.max(by_peers)
    }

    /// Takes a newer revision; true when it is news.
    pub fn hold(&mut self, snapshot: &Arc<FleetSnapshot>) -> bool {
        let newer = |held: &Arc<FleetSnapshot>| held.revision >= snapshot.revision;
        if self.held.as_ref().is_some_and(newer) {
            return false;
        }
        self.held = Some(Arc::clone(snapshot));
        self.answers.clear();
        true
    }
}
