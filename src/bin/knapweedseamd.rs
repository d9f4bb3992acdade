//! The daemon that runs on every entry host.

use clap::Parser;
use eyre::{Result, WrapErr};
use kws_allocator::limit_arenas;
use kws_daemon::{RunningDaemon, load_options, start_daemon, start_logging};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::interval,
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

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let Err(error) = run(DaemonArgs::parse()).await else {
        return ExitCode::SUCCESS;
    };
    // Operators need the finding and its place in the settings, not a source location.
    eprintln!("knapweedseamd: {error:#}");
    ExitCode::FAILURE
}

async fn run(args: DaemonArgs) -> Result<()> {
    let mut options = load_options(&args.settings, args.name.as_deref(), args.listen)?;
    if let Some(workers) = args.workers {
        options.workers = workers.max(1);
    }
    if let Some(seconds) = args.drain_lag {
        options.drain_lag = Duration::from_secs(seconds);
    }
    limit_arenas(options.workers);
    start_logging(&options.settings.log)?;
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("failed to install the SIGINT handler")?;
    let mut hangup =
        signal(SignalKind::hangup()).wrap_err("failed to install the SIGHUP handler")?;
    let mut daemon = start_daemon(&options)?;
    let mut checks = interval(SETTINGS_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&mut daemon, &args, "signal"),
            _ = checks.tick() => reload(&mut daemon, &args, "check"),
        }
    }
    daemon.stop().await;
    Ok(())
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
