//! Daemons as separate processes, with settings like those of the template in `deploy/`.

use crate::http;
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that is still running.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().iter() {
        // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
}

/// The addresses of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
}

impl Addresses {
    /// Free ports on a loopback address of the daemon's own.
    pub fn free(number: u8) -> Self {
        let ip = format!("127.0.0.{}", 10 + number);
        let bound: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind((ip.as_str(), 0)).expect("a free port"))
            .collect();
        let address = |at: usize| bound[at].local_addr().expect("an address");
        Self {
            listen: address(0),
            ready: address(1),
            admin: address(2),
            peer: address(3),
        }
    }
}

pub struct Daemon {
    pub name: String,
    pub addresses: Addresses,
    child: Child,
}

/// The zones of a deployment, each with its region.
pub type Zones<'a> = &'a [(&'a str, &'a str)];

impl Daemon {
    /// Starts the program of the deploy file.
    pub fn start(
        folder: &Path,
        name: &str,
        addresses: Addresses,
        zone: &str,
        zones: Zones<'_>,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Self {
        let region = zones
            .iter()
            .find(|(one, _)| *one == zone)
            .expect("a zone")
            .1;
        let mut text = format!(
            "region: \"{region}\"\ncenter: \"{zone}\"\nlisten: \"{}\"\nready: \"{}\"\nadmin: \"{}\"\npeer: \"{}\"\n\
             trust_peer_network: true\nseeds:\n",
            addresses.listen, addresses.ready, addresses.admin, addresses.peer
        );
        for seed in seeds {
            text.push_str(&format!("  - \"{seed}\"\n"));
        }
        text.push_str("centers:\n");
        for (one, region) in zones {
            text.push_str(&format!("  \"{one}\":\n    region: \"{region}\"\n"));
        }
        text.push_str(&format!(
            "grace: \"6s\"\nplatform:\n  store: \"{store}\"\n  terms:\n    floor: 0.7\n    retry_ratio: 0.2\n\
             processors: 1\nprocessor_share: 0.2\nlog: info\n"
        ));
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .expect("the log can be written");
        let child = Command::new("target/release/knapweedseamd")
            .args(["--workers", "1"])
            .env("KNAPWEEDSEAM_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        RUNNING.lock().unwrap().push(child.id());
        Self {
            name: name.to_owned(),
            addresses,
            child,
        }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        self.get(self.addresses.ready, "/ready")
            .is_some_and(|(status, _)| status == 200)
    }

    /// How many reads of the platform the daemon has made.
    pub fn platform_reads(&self) -> f64 {
        let Some((_, text)) = self.get(self.addresses.admin, "/metrics") else {
            return 0.0;
        };
        text.lines()
            .filter(|line| !line.starts_with('#') && line.contains("platform_calls_total"))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, String)> {
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        let response = http::exchange(address, request.as_bytes(), Duration::from_secs(1))?;
        Some((
            response.status,
            String::from_utf8_lossy(&response.body).into_owned(),
        ))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        RUNNING
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until every daemon is ready. Returns whether they are.
pub fn wait_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
