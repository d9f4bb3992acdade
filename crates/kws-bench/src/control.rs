//! What control costs a host: whole daemons over real sockets, without requests.

use clap::Args;
use eyre::{Result, WrapErr, ensure};
use kws_daemon::{DaemonOptions, RunningDaemon, start_daemon};
use kws_peer::PeerSecret;
use kws_protocol::{CenterName, HostList, HostName, HostState, ListedHost, RegionName};
use kws_standin::PlatformService;
use kws_tree::{HostSettings, PlatformSource};
use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

const REGION: &str = "local";
const CENTER: &str = "local-a";
/// How long the daemons may take to get ready.
const PATIENCE: Duration = Duration::from_mins(1);
/// How long the fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(5);
/// How long it is measured.
const MEASURE: Duration = Duration::from_secs(20);
/// Clock ticks a second in `/proc`, the same on every Linux that the fleet runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measure the control traffic, processor time and memory of whole daemons.
#[derive(Args, Debug)]
pub struct ControlArgs {
    /// Hosts of one region, all in this process.
    #[arg(long, default_value_t = 20)]
    hosts: usize,
    /// Backend servers.
    #[arg(long, default_value_t = 40)]
    servers: usize,
}

/// The counters of all daemons together at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct ControlSample {
    cpu_seconds: f64,
    sent_bytes: f64,
    sent_messages: f64,
    platform_calls: f64,
    platform_bytes: f64,
}

impl ControlArgs {
    /// Runs the measurement and prints one row.
    ///
    /// # Errors
    /// When the daemons can't be started or don't get ready.
    pub fn run(&self) -> Result<()> {
        let platform = PlatformService::start();
        let before = resident_bytes()?;
        let daemons = self.start_daemons(&platform)?;
        self.publish(&platform, &daemons)?;
        wait_ready(&daemons)?;
        sleep(SETTLE);
        let first = sample(&daemons)?;
        sleep(MEASURE);
        let last = sample(&daemons)?;
        let memory = (resident_bytes()? - before) / self.hosts as f64;
        self.print(first, last, memory);
        Ok(())
    }

    fn start_daemons(&self, platform: &PlatformService) -> Result<Vec<RunningDaemon>> {
        let address: SocketAddr = platform.url().replace("http://", "").parse()?;
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        (0..self.hosts)
            .map(|number| {
                let settings = HostSettings {
                    name: Some(format!("host-{number}")),
                    region: RegionName::new(REGION),
                    center: CenterName::new(CENTER),
                    listen: any,
                    admin: any,
                    peer: any,
                    peer_secret_file: None,
                    backend_ca_file: None,
                    platform: PlatformSource::Service {
                        address,
                        prefix: "fleet/".to_owned(),
                    },
                    tls: None,
                    log: "error".to_owned(),
                };
                start_daemon(&DaemonOptions {
                    settings,
                    secret: PeerSecret::new(b"a secret of the benchmark")?,
                    workers: 1,
                    drain_lag: Duration::ZERO,
                })
            })
            .collect()
    }

    fn publish(&self, platform: &PlatformService, daemons: &[RunningDaemon]) -> Result<()> {
        let hosts = daemons
            .iter()
            .enumerate()
            .map(|(number, daemon)| ListedHost {
                name: HostName::new(&format!("host-{number}")),
                region: RegionName::new(REGION),
                center: CenterName::new(CENTER),
                peer: daemon.peer(),
                state: HostState::Live,
            });
        let list = HostList {
            hosts: hosts.collect(),
            servers: Vec::new(),
        };
        let list = serde_json::to_string(&list)?;
        let tree = self.tree()?;
        platform.publish_all([("root.yaml", tree.as_str()), ("hosts.json", list.as_str())]);
        Ok(())
    }

    fn tree(&self) -> Result<String> {
        let mut tree = format!(
            "regions:\n  {REGION}: {{weight: 100%, centers: [{CENTER}]}}\n\
             defaults:\n  service: {{server: {{region: {REGION}, center: {CENTER}}}}}\n\
             teams:\n  orchard: {{rate: 100/s, burst: 100}}\n\
             services:\n  listing:\n    servers:\n"
        );
        for number in 0..self.servers {
            let port = 20_000 + number;
            writeln!(
                tree,
                "      listing-{number}: {{address: \"127.0.0.1:{port}\"}}"
            )?;
        }
        Ok(tree)
    }

    fn print(&self, first: ControlSample, last: ControlSample, memory: f64) {
        let per_host = MEASURE.as_secs_f64() * self.hosts as f64;
        println!(
            "| hosts | core % | MB | sent KB/s | messages/s | platform calls/s | platform KB/s |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        println!(
            "| {} | {:.2} | {:.1} | {:.2} | {:.1} | {:.2} | {:.2} |",
            self.hosts,
            (last.cpu_seconds - first.cpu_seconds) / per_host * 100.0,
            memory / 1e6,
            (last.sent_bytes - first.sent_bytes) / per_host / 1e3,
            (last.sent_messages - first.sent_messages) / per_host,
            (last.platform_calls - first.platform_calls) / per_host,
            (last.platform_bytes - first.platform_bytes) / per_host / 1e3,
        );
    }
}

fn wait_ready(daemons: &[RunningDaemon]) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while !daemons.iter().all(RunningDaemon::is_ready) {
        ensure!(Instant::now() < deadline, "a daemon didn't get ready");
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn sample(daemons: &[RunningDaemon]) -> Result<ControlSample> {
    let mut sum = ControlSample {
        cpu_seconds: cpu_seconds()?,
        ..ControlSample::default()
    };
    for daemon in daemons {
        let text = daemon.render_metrics()?;
        sum.sent_bytes += total(&text, "knapweedseam_peer_bytes_total", "direction=\"sent\"");
        sum.sent_messages += total(
            &text,
            "knapweedseam_peer_messages_total",
            "direction=\"sent\"",
        );
        sum.platform_calls += total(&text, "knapweedseam_platform_calls_total", "");
        sum.platform_bytes += total(&text, "knapweedseam_platform_bytes_total", "");
    }
    Ok(sum)
}

/// Adds up the lines of one metric that hold `label`.
fn total(text: &str, metric: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(metric) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Processor time of this process so far, user and system.
fn cpu_seconds() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat").wrap_err("no processor time")?;
    // The name of the process is in parentheses and may hold spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_bytes() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status").wrap_err("no memory figure")?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<f64>().ok());
    Ok(kilobytes.unwrap_or_default() * 1024.0)
}
