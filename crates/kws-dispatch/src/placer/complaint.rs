//! Which hosts complain of many servers at once: their own path, or a pause of theirs, is the likelier
//! cause.

use kws_protocol::{HostName, ServerName};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// How far back complaints count.
const WINDOW: Duration = Duration::from_secs(2);

/// A host that complains of more servers than this within the window is not believed.
const MOST_SERVERS: usize = 2;

/// The late answers and failed connections that hosts told of lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathComplaints {
    hosts: HashMap<HostName, Vec<(Instant, ServerName)>>,
}

impl PathComplaints {
    /// Notes a complaint; whether it speaks against the server.
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
