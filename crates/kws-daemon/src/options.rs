//! Loads the daemon's settings from its file, with overrides from the command line.

use kws_peer::PeerSecret;
use kws_tree::{Finding, HostSettings, parse_host};
use std::{
    fmt::{self, Write},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// The peer secret when the settings name no secret file, as with a peer listener on loopback or a
/// trusted peer network. All hosts without a file must use the same bytes.
const DEFAULT_SECRET: &[u8] = b"peers on loopback only";
/// Maximum time that a stopping daemon keeps serving until the load balancer has noticed.
const MAX_DRAIN_LAG: Duration = Duration::from_secs(5);
/// Part of the grace period for which a stopping daemon keeps serving. Two failed readiness checks
/// take 2 s of the shortest known grace period; requests in flight need the rest.
const DRAIN_LAG_RATIO: f64 = 0.4;

/// Options of the daemon.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The validated settings of the host.
    pub settings: HostSettings,
    /// The secret shared by all hosts of the fleet.
    pub secret: PeerSecret,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// How long a stopping daemon keeps serving after it turned its readiness off.
    pub drain_lag: Duration,
}

/// Why the settings can't be loaded.
#[derive(Debug)]
pub enum OptionsError {
    /// A file can't be read.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error message of the operating system.
        message: String,
    },
    /// The settings are invalid.
    Findings(Vec<Finding>),
    /// The peer secret is invalid.
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

/// Reads the settings file and the secret file that it names. `name` and `listen` override the
/// file.
///
/// # Errors
/// [`OptionsError`]: a file can't be read, the settings are invalid (with every finding and its
/// place), or the peer secret is invalid.
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
        None => DEFAULT_SECRET.to_vec(),
    };
    let secret =
        PeerSecret::new(&bytes).map_err(|error| OptionsError::Secret(error.to_string()))?;
    let drain_lag = settings.grace.mul_f64(DRAIN_LAG_RATIO);
    Ok(DaemonOptions {
        settings,
        secret,
        workers: default_workers(),
        drain_lag: drain_lag.min(MAX_DRAIN_LAG),
    })
}

fn read_text(path: &Path) -> Result<String, OptionsError> {
    fs::read_to_string(path).map_err(|error| OptionsError::File {
        path: path.to_path_buf(),
        message: error.to_string(),
    })
}

/// Half of the cores: entry hosts are small, and the other threads need the rest.
fn default_workers() -> usize {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    (cores / 2).clamp(1, 8)
}
