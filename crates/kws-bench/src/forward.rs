//! The table of forwarding: what the listener adds to a request, with a control that always grants.

mod granting;
mod process;

use crate::daemons::{CENTER, REGION, daemon_options, publish_fleet, wait_ready};
use clap::Args;
use eyre::eyre;
use granting::GrantingControl;
use hdrhistogram::Histogram;
use kws_daemon::{RunningDaemon, start_daemon};
use kws_forward::{ListenerHandle, ListenerSettings, run_listener};
use kws_standin::{
    PlatformService,
    backend::{BackendHandle, BackendScript, BackendServer},
    caller::CallerConnection,
};
use process::{listener_seconds, resident_kib};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    runtime::Builder,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// The request of every measurement.
const REQUEST: &str = "GET /listing/rows HTTP/1.1\r\nhost: farm.test\r\n\
    authorization: Bearer demo-orchard-key\r\naccept: */*\r\n\r\n";
/// The digest of the key in the request.
const KEY_DIGEST: &str = "sha256:a65e85820909c0c7bef91b959ced58e1db5e333d19557f436dbfa4f71b619756";
/// The quantiles of the latency table.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// The name of the threads that callers and the backend server run on.
const THREAD_NAME: &str = "bench";

/// What to measure.
#[derive(Args, Clone, Debug)]
pub struct ForwardArgs {
    /// Callers of the latency table, each with one request at a time.
    #[arg(long, default_value_t = 4)]
    callers: usize,
    /// Requests of each caller, through the listener and directly.
    #[arg(long, default_value_t = 5000)]
    requests: usize,
    /// Callers that keep one worker of the listener busy.
    #[arg(long, default_value_t = 64)]
    busy: usize,
    /// How long they do so, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Idle connections; each takes two of the process's descriptors.
    #[arg(long, default_value_t = 9000)]
    idle: usize,
    /// The size of answers, in bytes.
    #[arg(long, default_value_t = 1024)]
    body: u64,
    /// Measure a whole daemon, with admission and dispatch, in place of the listener alone.
    #[arg(long)]
    daemon: bool,
}

/// A listener before one backend server.
struct ForwardBench {
    backend: BackendHandle,
    listener: BenchListener,
}

/// The listener with a control that always grants, or within a whole daemon.
enum BenchListener {
    Alone(ListenerHandle),
    Daemon(Box<RunningDaemon>),
}

impl BenchListener {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Alone(listener) => listener.address(),
            Self::Daemon(daemon) => daemon.address(),
        }
    }

    async fn stop(self) {
        match self {
            Self::Alone(listener) => listener.stop().await,
            Self::Daemon(daemon) => daemon.stop().await,
        }
    }
}

fn start_listener(backend: SocketAddr) -> eyre::Result<BenchListener> {
    let control = Arc::new(GrantingControl::new(backend));
    let settings = ListenerSettings::new((Ipv4Addr::LOCALHOST, 0).into(), 1);
    Ok(BenchListener::Alone(run_listener(settings, control)?))
}

/// Starts a daemon whose only team may send as much as it likes, and waits until it admits.
async fn start_whole(backend: SocketAddr) -> eyre::Result<BenchListener> {
    let platform = PlatformService::start();
    let daemons = [start_daemon(&daemon_options(&platform, 0)?)?];
    let tree = format!(
        "freshness: {{lease: 1s, list_lag: 500ms}}\n\
         regions:\n  {REGION}: {{weight: 100%, centers: [{CENTER}]}}\n\
         defaults:\n  service: {{floor: 0%, server: {{region: {REGION}, center: {CENTER}}}}}\n\
         services:\n  listing:\n    servers:\n      \
         listing-1: {{address: \"{backend}\", slots: 1000, connections: 10000}}\n\
         routes:\n  rows: {{path: /listing, service: listing, access: any_team}}\n\
         teams:\n  orchard: {{rate: 1000000/s, burst: 1000000, keys: [\"{KEY_DIGEST}\"]}}\n"
    );
    publish_fleet(&platform, &daemons, &tree)?;
    wait_ready(&daemons)?;
    let [daemon] = daemons;
    while !is_admitted(daemon.address()).await? {
        sleep(Duration::from_millis(100)).await;
    }
    Ok(BenchListener::Daemon(Box::new(daemon)))
}

impl ForwardArgs {
    /// Prints the table.
    ///
    /// # Errors
    /// When a request fails.
    pub fn run(&self) -> eyre::Result<()> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        runtime.block_on(self.measure())
    }

    async fn measure(&self) -> eyre::Result<()> {
        let script = BackendScript {
            body_bytes: self.body,
            ..BackendScript::default()
        };
        let backend = BackendServer::start(script).await?;
        let listener = if self.daemon {
            start_whole(backend.address()).await?
        } else {
            start_listener(backend.address())?
        };
        let bench = ForwardBench { backend, listener };
        self.print_latency(&bench).await?;
        self.print_rate(&bench).await?;
        self.print_memory(&bench).await?;
        bench.listener.stop().await;
        Ok(())
    }

    async fn print_latency(&self, bench: &ForwardBench) -> eyre::Result<()> {
        let mut callers = JoinSet::new();
        for _ in 0..self.callers {
            let (direct, through) = (bench.backend.address(), bench.listener.address());
            callers.spawn(alternate(direct, through, self.requests));
        }
        let (mut direct, mut through) = (micros()?, micros()?);
        while let Some(measured) = callers.join_next().await {
            let (one, other) = measured??;
            direct.add(one)?;
            through.add(other)?;
        }
        println!("quantile  direct_us  listener_us  added_us");
        for quantile in QUANTILES {
            let (one, other) = (
                direct.value_at_quantile(quantile),
                through.value_at_quantile(quantile),
            );
            let added = other.saturating_sub(one);
            println!("{quantile:8}  {one:9}  {other:11}  {added:8}");
        }
        Ok(())
    }

    async fn print_rate(&self, bench: &ForwardBench) -> eyre::Result<()> {
        let until = Instant::now() + Duration::from_secs(self.seconds);
        let before = listener_seconds(THREAD_NAME)?;
        let mut callers = JoinSet::new();
        for _ in 0..self.busy {
            callers.spawn(ask_until(bench.listener.address(), until));
        }
        let mut requests = 0;
        while let Some(asked) = callers.join_next().await {
            requests += asked??;
        }
        let used = listener_seconds(THREAD_NAME)? - before;
        let rate = requests as f64 / self.seconds as f64;
        let for_core = requests as f64 / used;
        println!("requests_s  core_s_used  requests_for_core_s");
        println!("{rate:10.0}  {used:11.2}  {for_core:19.0}");
        Ok(())
    }

    async fn print_memory(&self, bench: &ForwardBench) -> eyre::Result<()> {
        let before = resident_kib()?;
        let mut connections = Vec::with_capacity(self.idle);
        for _ in 0..self.idle {
            let mut connection = CallerConnection::connect(bench.listener.address()).await?;
            connection.exchange(REQUEST).await?;
            connections.push(connection.into_idle());
        }
        let added = resident_kib()?.saturating_sub(before);
        let each = added as f64 / connections.len().max(1) as f64;
        println!("idle_connections  added_kib  kib_a_connection_with_both_ends");
        println!("{:16}  {added:9}  {each:31.2}", connections.len());
        Ok(())
    }
}

async fn is_admitted(address: SocketAddr) -> eyre::Result<bool> {
    let mut connection = CallerConnection::connect(address).await?;
    Ok(connection.exchange(REQUEST).await?.status() == 200)
}

fn micros() -> eyre::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 60_000_000, 3)?)
}

/// Asks both ways in turn, so that both meet the same load of the machine.
async fn alternate(
    direct: SocketAddr,
    through: SocketAddr,
    requests: usize,
) -> eyre::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut direct = CallerConnection::connect(direct).await?;
    let mut through = CallerConnection::connect(through).await?;
    let (mut one, mut other) = (micros()?, micros()?);
    for _ in 0..requests {
        one.record(ask(&mut direct).await?)?;
        other.record(ask(&mut through).await?)?;
    }
    Ok((one, other))
}

/// The time of one request, in microseconds.
async fn ask(connection: &mut CallerConnection) -> eyre::Result<u64> {
    let started = Instant::now();
    let answer = connection.exchange(REQUEST).await?;
    if answer.status() != 200 {
        return Err(eyre!("status {}", answer.status()));
    }
    Ok((started.elapsed().as_micros() as u64).max(1))
}

async fn ask_until(address: SocketAddr, until: Instant) -> eyre::Result<u64> {
    let mut connection = CallerConnection::connect(address).await?;
    let mut requests = 0;
    while Instant::now() < until {
        let patience = Duration::from_secs(10);
        timeout(patience, ask(&mut connection)).await??;
        requests += 1;
    }
    Ok(requests)
}
