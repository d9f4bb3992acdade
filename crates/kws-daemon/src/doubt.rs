//! Hosts that did not answer lately.

use kws_protocol::{HostName, rendezvous_order};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// A host that did not answer is asked again after this.
const DOUBT_TIME: Duration = Duration::from_secs(1);

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

    /// The first of `hosts` by rendezvous for `subject` that is not in doubt.
    pub(crate) fn first_trusted<'a>(
        &self,
        subject: &str,
        hosts: impl Iterator<Item = &'a HostName>,
        now: Instant,
    ) -> Option<HostName> {
        let trusted = hosts.filter(|host| !self.is_doubted(host, now));
        let order = rendezvous_order(subject, trusted.map(HostName::as_str));
        order.first().map(|name| HostName::new(name))
    }

    fn is_doubted(&self, host: &HostName, now: Instant) -> bool {
        self.0.get(host).is_some_and(|until| now < *until)
    }
}
