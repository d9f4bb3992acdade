//! Detects hosts that report failures of many servers at once: a fault of the host's own network
//! path, or a pause of the host, is then the more likely cause.

use kws_protocol::{HostName, ServerName};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Age up to which failure reports are counted.
const REPORT_WINDOW: Duration = Duration::from_secs(2);

/// Reports of a host that names more servers than this within the window are ignored.
const MAX_SERVERS: usize = 2;

/// Recent timeouts and failed connections, by the host that reported them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureReports {
    by_host: HashMap<HostName, Vec<(Instant, ServerName)>>,
}

impl FailureReports {
    /// Records a failure report and returns whether it counts against the server.
    pub(crate) fn record(&mut self, host: &HostName, server: &ServerName, now: Instant) -> bool {
        self.by_host.retain(|_, reports| {
            reports.retain(|(at, _)| now.saturating_duration_since(*at) < REPORT_WINDOW);
            !reports.is_empty()
        });
        let reports = self.by_host.entry(host.clone()).or_default();
        reports.push((now, server.clone()));
        let servers: BTreeSet<&ServerName> = reports.iter().map(|(_, server)| server).collect();
        servers.len() <= MAX_SERVERS
    }
}
