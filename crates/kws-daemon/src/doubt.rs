//! Hosts that did not answer lately.

use kws_membership::{HostCandidate, rank_hosts};
use kws_protocol::{HostName, ListedHost};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// A host that did not answer is asked again after this, or once it is heard. Until then each request
/// would wait for it in vain.
const DOUBT_TIME: Duration = Duration::from_secs(4);

/// The hosts in doubt.
#[derive(Debug, Default)]
pub(crate) struct DoubtList(HashMap<HostName, Instant>);

impl DoubtList {
    /// `host` did not answer.
    pub(crate) fn doubt(&mut self, host: &HostName, now: Instant) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(host.clone(), now + DOUBT_TIME);
    }

    /// `host` was heard.
    pub(crate) fn trust(&mut self, host: &HostName) {
        self.0.remove(host);
    }

    /// The host not in doubt that takes `subject`, which takes `needed` thousandths of a processor.
    pub(crate) fn first_trusted<'a>(
        &self,
        (subject, needed): (&str, u32),
        hosts: impl Iterator<Item = &'a ListedHost>,
        now: Instant,
    ) -> Option<HostName> {
        let trusted = hosts.filter(|host| !self.is_doubted(&host.name, now));
        let candidates = trusted.map(|host| HostCandidate {
            name: &host.name,
            millicores: host.millicores,
        });
        let order = rank_hosts(subject, needed, candidates);
        order.first().copied().cloned()
    }

    fn is_doubted(&self, host: &HostName, now: Instant) -> bool {
        self.0.get(host).is_some_and(|until| now < *until)
    }
}
