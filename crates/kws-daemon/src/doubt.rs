//! Hosts that did not answer lately.

use kws_protocol::HostName;
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

    /// Whether `host` should be passed over now.
    pub(crate) fn is_doubted(&self, host: &HostName, now: Instant) -> bool {
        self.0.get(host).is_some_and(|until| now < *until)
    }
}
