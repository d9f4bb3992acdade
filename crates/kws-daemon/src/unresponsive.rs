//! Hosts that recently did not reply.

use kws_membership::{HostCandidate, rank_hosts};
use kws_protocol::{HostName, ListedHost};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time for which a host is skipped after it did not reply, unless a message from it arrives
/// earlier. Without this, each request would wait for the time-out.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(4);

/// Hosts that are skipped, with the end of their cooldown.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveHosts(HashMap<HostName, Instant>);

impl UnresponsiveHosts {
    /// Records that `host` did not reply.
    pub(crate) fn record_timeout(&mut self, host: &HostName, now: Instant) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(host.clone(), now + UNRESPONSIVE_COOLDOWN);
    }

    /// Records a message from `host`.
    pub(crate) fn record_message(&mut self, host: &HostName) {
        self.0.remove(host);
    }

    /// Owner of `subject`, which needs `needed` millicores, among the hosts that are not skipped.
    pub(crate) fn first_responsive<'a>(
        &self,
        (subject, needed): (&str, u32),
        hosts: impl Iterator<Item = &'a ListedHost>,
        now: Instant,
    ) -> Option<HostName> {
        let responsive = hosts.filter(|host| !self.is_unresponsive(&host.name, now));
        let candidates = responsive.map(|host| HostCandidate {
            name: &host.name,
            millicores: host.millicores,
        });
        let order = rank_hosts(subject, needed, candidates);
        order.first().copied().cloned()
    }

    fn is_unresponsive(&self, host: &HostName, now: Instant) -> bool {
        self.0.get(host).is_some_and(|until| now < *until)
    }
}
