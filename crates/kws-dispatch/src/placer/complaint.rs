//! Detects hosts that report failures of many servers at once: a fault of the host's own network
//! path, or a pause of the host, is then the more likely cause.

use kws_protocol::{HostName, ServerName};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Age up to which failure reports are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Reports of a host that names more servers than this within the window are ignored.
const MOST_SERVERS: usize = 2;

/// Recent timeouts and failed connections, by the host that reported them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathComplaints {
    hosts: HashMap<HostName, Vec<(Instant, ServerName)>>,
}

impl PathComplaints {
    /// Records a failure report and returns whether it counts against the server.
    pub(crate) fn note(&mut self, host: &HostName, server: &ServerName, now: Instant) -> bool {
        self.hosts.retain(|_, told| {
            told.retain(|(at, _)| now.saturating_duration_since(*at) < WINDOW);
            !told.is_empty()
        });
        let told = self.hosts.entry(host.clone()).or_default();
        told.push((now, server.clone()));
        let servers: BTreeSet<&ServerName> = told.iter().map(|(_, server)| server).collect();
        servers.len() <= MOST_SERVERS
    }
}
