//! Whole daemons in this process, for the tables.

use eyre::{Result, ensure};
use kws_daemon::{DaemonOptions, RunningDaemon};
use kws_peer::PeerSecret;
use kws_protocol::{CenterName, HostList, HostName, HostState, ListedHost, RegionName};
use kws_standin::PlatformService;
use kws_tree::{HostSettings, PlatformSource};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

/// The only region, as trees of the tables name it.
pub const REGION: &str = "local";
/// Its only data centre.
pub const CENTER: &str = "local-a";
/// How long daemons may take to get ready.
const PATIENCE: Duration = Duration::from_mins(1);

/// The options of host `number`, on free ports.
///
/// # Errors
/// When the platform's address can't be read.
pub fn daemon_options(platform: &PlatformService, number: usize) -> Result<DaemonOptions> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let settings = HostSettings {
        millicores: 1_000,
        name: Some(host_name(number)),
        region: RegionName::new(REGION),
        center: CenterName::new(CENTER),
        centers: BTreeMap::new(),
        grace: Duration::from_secs(30),
        ready: None,
        seeds: Vec::new(),
        trust_peer_network: false,
        listen: any,
        admin: any,
        admin_optional: false,
        peer: any,
        peer_secret_file: None,
        backend_ca_file: None,
        platform: PlatformSource::Service {
            address: platform.url().replace("http://", "").parse()?,
            prefix: "fleet/".to_owned(),
        },
        tls: None,
        log: "error".to_owned(),
    };
    Ok(DaemonOptions {
        settings,
        secret: PeerSecret::new(b"a secret of the benchmark")?,
        workers: 1,
        drain_lag: Duration::ZERO,
    })
}

/// Publishes a tree and the list of `daemons`, which are numbered from 0.
///
/// # Errors
/// When the list can't be written.
pub fn publish_fleet(
    platform: &PlatformService,
    daemons: &[RunningDaemon],
    tree: &str,
) -> Result<()> {
    let hosts = daemons
        .iter()
        .enumerate()
        .map(|(number, daemon)| ListedHost {
            name: HostName::new(&host_name(number)),
            region: RegionName::new(REGION),
            center: CenterName::new(CENTER),
            peer: daemon.peer(),
            state: HostState::Live,
            millicores: 1_000,
        });
    let list = HostList {
        hosts: hosts.collect(),
        servers: Vec::new(),
    };
    let list = serde_json::to_string(&list)?;
    platform.publish_all([("root.yaml", tree), ("hosts.json", list.as_str())]);
    Ok(())
}

/// Waits until all daemons are ready.
///
/// # Errors
/// When one is not ready in time.
pub fn wait_ready(daemons: &[RunningDaemon]) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while !daemons.iter().all(RunningDaemon::is_ready) {
        ensure!(Instant::now() < deadline, "a daemon didn't get ready");
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}
