//! Servers that start again under new ids at their old addresses, and repeat their refusals.

use crate::{
    caller::{CallerGroup, Outcome},
    fault::script,
    fleet::SoakFleet,
    promise::broken_promises,
};
use kws_standin::backend::{BackendFault, RefusalCopies};
use std::{collections::BTreeMap, fmt, time::Duration};
use tokio::time::sleep;

/// Callers of each host.
const CALLERS: usize = 1;
/// How long the old entry of a server stays after its start.
const OLD_ENTRY_TIME: Duration = Duration::from_millis(600);
/// The time between the removal of the old entry and the next start.
const CALM: Duration = Duration::from_millis(100);

/// What callers and servers saw.
#[derive(Debug, Default)]
pub struct RebirthReport {
    /// What broke a promise.
    pub findings: Vec<String>,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that a server refused since they named another one.
    pub misdirected: usize,
}

impl fmt::Display for RebirthReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} of {} served, {} misdirected: {:#?}",
            self.served, self.requests, self.misdirected, self.findings
        )
    }
}

/// Starts the first of `servers` servers again `rounds` times. Each refusal is repeated.
pub async fn restart_servers(
    hosts: usize,
    servers: usize,
    rounds: usize,
    copies: RefusalCopies,
) -> RebirthReport {
    let mut fleet = SoakFleet::start(hosts, servers).await;
    let group = CallerGroup::only_once();
    let mut callers = Vec::new();
    for (number, host) in fleet.hosts.iter().enumerate() {
        callers.extend((0..CALLERS).map(|_| group.start(number, host.listen)));
    }
    for _ in 0..rounds {
        let script = script(BackendFault::CopiedRefusals(copies));
        fleet.restart_server(0, script).await;
        sleep(OLD_ENTRY_TIME).await;
        fleet.expire_entry(0);
        sleep(CALM).await;
    }
    group.stop();
    for caller in callers {
        caller.await.expect("callers don't panic");
    }
    report(&fleet, &group.outcomes())
}

fn report(fleet: &SoakFleet, outcomes: &[Outcome]) -> RebirthReport {
    let served = outcomes.iter().filter(|one| one.status == Some(200));
    let arrivals = fleet.servers.iter().flat_map(|server| server.server.seen());
    RebirthReport {
        findings: broken_promises(fleet, outcomes, &BTreeMap::new()),
        requests: outcomes.len(),
        served: served.count(),
        misdirected: arrivals.filter(|one| one.refusal == Some(421)).count(),
    }
}
