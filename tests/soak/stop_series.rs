//! Hosts that stop in turn while callers keep their connections open.

use crate::{
    fault::script,
    fleet::{GRACE, SHORT_TIMEOUT, SoakFleet},
    kept_caller::{CallerPace, KeptCallers, KeptRequest},
    promise::NOT_RUN,
};
use kws_standin::backend::{BackendFault, BackendScript, SeenRequest};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

const HOSTS: usize = 4;
const SERVERS: usize = 6;
/// Callers of each host.
const CALLERS: usize = 16;
/// How long a connection may stay open after an unserved request whose last byte was sent.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How long requests may take and do take.
#[derive(Clone, Copy, Debug)]
pub struct SeriesLoad {
    timeout: Duration,
    pace: CallerPace,
    /// The delay of the fastest server, in milliseconds.
    min_delay_ms: u64,
    /// By how much the delay grows from one server to the next, in milliseconds.
    delay_step_ms: u64,
}

impl SeriesLoad {
    /// Requests that end within the grace of a host that stops.
    pub const SHORT: Self = Self {
        timeout: SHORT_TIMEOUT,
        pace: CallerPace {
            time_limit: Duration::from_secs(3),
            part_pause_ms: 150,
        },
        min_delay_ms: 200,
        delay_step_ms: 250,
    };
    /// Requests that may take longer than the grace.
    pub const LONG: Self = Self {
        timeout: Duration::from_secs(20),
        pace: CallerPace {
            time_limit: Duration::from_secs(12),
            part_pause_ms: 900,
        },
        min_delay_ms: 300,
        delay_step_ms: 900,
    };

    /// The script of a server; the servers differ in speed.
    fn server_script(&self, number: usize, fault: BackendFault) -> BackendScript {
        BackendScript {
            delay_ms: self.min_delay_ms + self.delay_step_ms * number as u64,
            ..script(fault)
        }
    }
}

/// A stop of a host, from the signal to the end of the process.
#[derive(Clone, Copy, Debug)]
struct HostStop {
    host: usize,
    signalled: Instant,
    ended: Instant,
}

#[derive(Debug, Default)]
struct SeriesReport {
    findings: Vec<String>,
    requests: usize,
    served: usize,
}

/// Disturbs the fleet in a way that excuses no lost request: another configuration, a server that sheds
/// requests and repeats its refusals, further signals for a stopping host.
fn disturb(load: SeriesLoad, fleet: &mut SoakFleet, rng: &mut SmallRng, stopping: Option<usize>) {
    let server = rng.random_range(0..SERVERS);
    let set_fault = |fault| {
        let script = load.server_script(server, fault);
        fleet.servers[server].set_script(script);
    };
    match (rng.random_range(0..5), stopping) {
        (0, _) => fleet.publish(),
        (1, _) => set_fault(BackendFault::RepeatedRefusal),
        (2, _) => set_fault(BackendFault::None),
        (3, Some(host)) => fleet.hosts[host].signal("-TERM"),
        (4, Some(host)) => fleet.hosts[host].signal("-HUP"),
        _ => {}
    }
}

/// Stops hosts one after the other; at times a second one before the first has ended.
async fn stop_hosts(
    load: SeriesLoad,
    fleet: &mut SoakFleet,
    rng: &mut SmallRng,
    count: usize,
    findings: &mut Vec<String>,
) -> Vec<HostStop> {
    let mut stops = Vec::new();
    let mut running: HashMap<usize, Instant> = HashMap::new();
    let mut started = 0;
    let mut next_disturbance = Instant::now();
    let mut next = Instant::now() + Duration::from_millis(rng.random_range(200..1_500));
    while started < count || !running.is_empty() {
        let now = Instant::now();
        if started < count && now >= next {
            let host = rng.random_range(0..HOSTS);
            if running.len() < 2 && !running.contains_key(&host) {
                fleet.hosts[host].signal("-TERM");
                running.insert(host, now);
                started += 1;
            }
            next = now + Duration::from_millis(rng.random_range(300..4_000));
        }
        if now >= next_disturbance {
            disturb(load, fleet, rng, running.keys().min().copied());
            next_disturbance = now + Duration::from_millis(rng.random_range(50..800));
        }
        let hosts: Vec<(usize, Instant)> = running.iter().map(|(host, at)| (*host, *at)).collect();
        for (host, signalled) in hosts {
            let has_ended = fleet.hosts[host].ended().is_some();
            if !has_ended && now < signalled + GRACE {
                continue;
            }
            if !has_ended {
                findings.push(format!("host {host} did not stop within its grace"));
            }
            fleet.hosts[host].restart();
            running.remove(&host);
            stops.push(HostStop {
                host,
                signalled,
                ended: Instant::now(),
            });
        }
        sleep(Duration::from_millis(10)).await;
    }
    stops
}

fn judge(
    requests: &[KeptRequest],
    arrivals: &[SeenRequest],
    stops: &[HostStop],
    findings: &mut Vec<String>,
) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for one in arrivals.iter().filter(|one| one.has_run()) {
        *runs
            .entry(one.header("Request-Id").unwrap_or_default())
            .or_default() += 1;
    }
    for request in requests {
        let ran = runs.get(request.id.as_str()).copied().unwrap_or_default();
        if ran > 1 {
            findings.push(format!("ran {ran} times: {request}"));
        }
        if ran > 0
            && request
                .status
                .is_some_and(|status| NOT_RUN.contains(&status))
        {
            findings.push(format!("ran and was refused: {request}"));
        }
        let Some(sent) = request.sent.filter(|_| request.status.is_none()) else {
            continue;
        };
        let late = request.ended - sent > LOSS_SLACK;
        if ran > 0 || late {
            let stop = stops.iter().find(|stop| {
                stop.host == request.host
                    && stop.signalled <= request.ended
                    && sent <= stop.ended + Duration::from_secs(1)
            });
            let since = stop.map(|stop| (sent - stop.signalled, request.ended - stop.signalled));
            findings.push(format!(
                "no response in {:?}, ran {ran} times, sent and ended {since:?} after the signal: {request}",
                request.ended - sent
            ));
        }
    }
}

async fn series(load: SeriesLoad, seed: u64, stops: usize) -> SeriesReport {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = SoakFleet::with_timeout(HOSTS, SERVERS, load.timeout).await;
    for (number, server) in fleet.servers.iter().enumerate() {
        let script = load.server_script(number, BackendFault::None);
        server.set_script(script);
    }
    let addresses: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.listen).collect();
    let callers = KeptCallers::new(load.pace);
    let tasks: Vec<_> = (0..HOSTS * CALLERS)
        .map(|number| callers.start(rng.random(), number % HOSTS, &addresses))
        .collect();
    let mut report = SeriesReport::default();
    let stops = stop_hosts(load, &mut fleet, &mut rng, stops, &mut report.findings).await;
    callers.stop();
    for task in tasks {
        task.await.expect("callers don't panic");
    }
    let requests = callers.requests();
    let arrivals: Vec<SeenRequest> = fleet
        .servers
        .iter()
        .flat_map(|server| server.server.seen())
        .collect();
    judge(&requests, &arrivals, &stops, &mut report.findings);
    report.requests = requests.len();
    report.served = requests
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    report
}

/// Stops hosts `stops` times.
///
/// # Panics
/// When a request was lost, ran twice or ran although it was refused as not run.
pub async fn keep_requests(load: SeriesLoad, seed: u64, stops: usize) {
    let report = series(load, seed, stops).await;
    println!(
        "seed {seed}: {} of {} served",
        report.served, report.requests
    );
    assert!(
        report.findings.is_empty(),
        "seed {seed}: {:#?}",
        report.findings
    );
}
