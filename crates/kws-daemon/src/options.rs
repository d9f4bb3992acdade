//! The daemon's settings from its file, with overrides from the command line.

use kws_peer::PeerSecret;
use kws_tree::{Finding, HostSettings, parse_host};
use std::{
    fmt::{self, Write},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// Stands for the secret of a daemon that listens for peers on loopback only, or that trusts the
/// network of its peers.
const OPEN_SECRET: &[u8] = b"peers on loopback only";
/// The longest time that a stopping daemon serves on for the balancer's sake.
const LONGEST_DRAIN_LAG: Duration = Duration::from_secs(5);
/// The part of the grace that a stopping daemon serves on: two missed checks of readiness take 2 s
/// of the shortest grace known, and requests in flight need the rest.
const DRAIN_LAG_PART: f64 = 0.4;

/// What the daemon runs with.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The checked settings of the host.
    pub settings: HostSettings,
    /// The fleet's secret.
    pub secret: PeerSecret,
    /// Threads that serve callers.
    pub workers: usize,
    /// How long a stopping daemon serves on after its readiness went off.
    pub drain_lag: Duration,
}

/// Why the settings can't be used.
#[derive(Debug)]
pub enum OptionsError {
    /// A file can't be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        message: String,
    },
    /// The settings have findings.
    Findings(Vec<Finding>),
    /// The peer secret can't be used.
    Secret(String),
}

impl fmt::Display for OptionsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, message } => write!(formatter, "{}: {message}", path.display()),
            Self::Findings(findings) => {
                let mut text = String::new();
                for finding in findings {
                    let _ = writeln!(text, "{finding}");
                }
                formatter.write_str(text.trim_end())
            }
            Self::Secret(message) => formatter.write_str(message),
        }
    }
}

impl std::error::Error for OptionsError {}

/// Reads the settings file and the secret that it names.
///
/// # Errors
/// [`OptionsError`] with every finding and its place.
pub fn load_options(
    path: &Path,
    name: Option<&str>,
    listen: Option<SocketAddr>,
) -> Result<DaemonOptions, OptionsError> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let mut settings = parse_host(&text, &file).map_err(OptionsError::Findings)?;
    if let Some(name) = name {
        settings.name = Some(name.to_owned());
    }
    if let Some(listen) = listen {
        settings.listen = listen;
    }
    let bytes = match &settings.peer_secret_file {
        Some(secret) => read_text(secret)?.into_bytes(),
        None => OPEN_SECRET.to_vec(),
    };
    let secret =
        PeerSecret::new(&bytes).map_err(|error| OptionsError::Secret(error.to_string()))?;
    let drain_lag = settings.grace.mul_f64(DRAIN_LAG_PART);
    Ok(DaemonOptions {
        settings,
        secret,
        workers: default_workers(),
        drain_lag: drain_lag.min(LONGEST_DRAIN_LAG),
    })
}

fn read_text(path: &Path) -> Result<String, OptionsError> {
    fs::read_to_string(path).map_err(|error| OptionsError::File {
        path: path.to_path_buf(),
        message: error.to_string(),
    })
}

/// Leaves some cores to the other duties; entry hosts are small.
fn default_workers() -> usize {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    (cores / 2).clamp(1, 8)
}
