//! The daemon that runs on every entry host.

use clap::Parser;
use eyre::{Result, WrapErr};
use kws_allocator::limit_arenas;
use kws_daemon::{DaemonOptions, RunningDaemon, load_options, start_daemon, start_logging};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{interval, sleep},
};

/// The daemon of the proxy fleet.
#[derive(Clone, Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
struct DaemonArgs {
    /// Settings file of this host.
    #[arg(
        long,
        env = "KNAPWEEDSEAM_CONFIG",
        default_value = "examples/quickstart/host.yaml",
        value_name = "FILE"
    )]
    settings: PathBuf,
    /// Name of this host as the platform lists it; must be new for each run of the daemon.
    #[arg(long, env = "KNAPWEEDSEAM_HOST")]
    name: Option<String>,
    /// Address on which callers connect; overrides the settings file.
    #[arg(long, value_name = "IP:PORT")]
    listen: Option<SocketAddr>,
    /// Number of threads that serve callers.
    #[arg(long)]
    workers: Option<usize>,
    /// Seconds to keep serving after a stop signal, until the load balancer has noticed. Defaults
    /// to a part of the host's `grace`.
    #[arg(long)]
    drain_lag: Option<u64>,
}

/// How often the settings file is reread, since it may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

const EXAMPLES: &str = "Examples:
  knapweedseamd
  knapweedseamd --settings /etc/knapweedseam/host.yaml --name entry-7f3a

Exit codes: 0 stopped after a signal, 1 invalid settings or listener address, 2 wrong usage.";

/// How often settings that are incomplete at the start are read again.
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of reads after the first: the platform may be writing the file while the daemon starts.
const SETTINGS_RETRIES: usize = 20;

/// The signals that the daemon handles.
struct DaemonSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl DaemonSignals {
    fn install() -> Result<Self> {
        let install = |kind, name| {
            signal(kind).wrap_err_with(|| format!("failed to install the {name} handler"))
        };
        Ok(Self {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let Err(error) = run().await else {
        return ExitCode::SUCCESS;
    };
    // Operators need the finding and its place in the settings, not a source location.
    eprintln!("knapweedseamd: {error:#}");
    ExitCode::FAILURE
}

async fn run() -> Result<()> {
    // Before anything else: a signal that has no handler yet ends the process.
    let mut signals = DaemonSignals::install()?;
    let args = DaemonArgs::parse();
    let loaded = tokio::select! {
        _ = signals.terminate.recv() => return Ok(()),
        _ = signals.interrupt.recv() => return Ok(()),
        loaded = load_when_complete(&args) => loaded,
    };
    let mut options = loaded?;
    if let Some(workers) = args.workers {
        options.workers = workers.max(1);
    }
    if let Some(seconds) = args.drain_lag {
        options.drain_lag = Duration::from_secs(seconds);
    }
    limit_arenas(options.workers);
    start_logging(&options.settings.log)?;
    let mut daemon = start_daemon(&options)?;
    let mut checks = interval(SETTINGS_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(&mut daemon, &args, "signal"),
            _ = checks.tick() => reload(&mut daemon, &args, "check"),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Reads the settings, again for a while if they are missing or invalid.
async fn load_when_complete(args: &DaemonArgs) -> Result<DaemonOptions> {
    let load = || load_options(&args.settings, args.name.as_deref(), args.listen);
    for _ in 0..SETTINGS_RETRIES {
        if let Ok(options) = load() {
            return Ok(options);
        }
        sleep(SETTINGS_RETRY_INTERVAL).await;
    }
    Ok(load()?)
}

/// Rereads the settings. When they are invalid, the active ones are kept.
fn reload(daemon: &mut RunningDaemon, args: &DaemonArgs, cause: &str) {
    match load_options(&args.settings, args.name.as_deref(), args.listen) {
        Ok(options) => daemon.reload(&options.settings, cause),
        Err(error) => log::error!(
            cause = cause,
            error = error.to_string().as_str();
            "invalid settings, keeping the active ones"
        ),
    }
}
