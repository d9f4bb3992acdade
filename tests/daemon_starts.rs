//! Daemon processes that start where an address is in use or the address space is limited: they start,
//! and go on running.

#[path = "common/address.rs"]
mod address;

use address::free_address;
use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};
use tempfile::TempDir;

/// How long a daemon may take to start beside other load.
const START_LIMIT: Duration = Duration::from_secs(30);
/// How long a daemon must go on running: its threads have started by then.
const RUN_PERIOD: Duration = Duration::from_secs(2);
/// The least memory of a host of the users, in KiB.
const LEAST_MEMORY: u64 = 160 * 1024;

/// Name of the settings file.
const SETTINGS: &str = "host.yaml";

struct Addresses {
    listen: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
}

impl Addresses {
    fn new() -> Self {
        Self {
            listen: free_address(),
            admin: free_address(),
            peer: free_address(),
        }
    }

    /// Settings of a host with these addresses and a store that doesn't answer.
    fn settings(&self) -> String {
        let (listen, admin, peer) = (self.listen, self.admin, self.peer);
        format!(
            "region: vidzemes\ncenter: turaida\nlisten: \"{listen}\"\nadmin: \"{admin}\"\n\
             admin_optional: true\npeer: \"{peer}\"\ntrust_peer_network: true\ncenters:\n  \
             turaida: {{region: vidzemes}}\nplatform:\n  store: \"{}\"\n",
            free_address()
        )
    }
}

/// A daemon process, killed when dropped.
struct StartedDaemon {
    child: Child,
    lines: Receiver<String>,
    folder: TempDir,
}

impl StartedDaemon {
    /// Starts a daemon by `command`, whose last argument is its program, with a store that doesn't answer.
    fn start(command: Command, addresses: &Addresses) -> Self {
        let folder = TempDir::new().expect("a folder");
        fs::write(folder.path().join(SETTINGS), addresses.settings()).expect("settings");
        Self::start_in(folder, command)
    }

    /// Starts a daemon whose settings lie in `folder`, or will.
    fn start_in(folder: TempDir, mut command: Command) -> Self {
        let settings = folder.path().join(SETTINGS);
        let mut child = command
            .env("KNAPWEEDSEAM_CONFIG", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon runs");
        let output = child.stdout.take().expect("its output");
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Self {
            child,
            lines,
            folder,
        }
    }

    /// Requires that the daemon logs its start and then goes on running.
    fn assert_running(&mut self) {
        loop {
            let line = self.lines.recv_timeout(START_LIMIT);
            let line = line.unwrap_or_else(|_| panic!("no start, {:?}", self.child.try_wait()));
            if line.contains("\"event\":\"started\"") {
                break;
            }
        }
        thread::sleep(RUN_PERIOD);
        let ended = self.child.try_wait().expect("its state");
        let lines: Vec<String> = self.lines.try_iter().collect();
        assert_eq!(ended, None, "{lines:?}");
    }
}

impl Drop for StartedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_knapweedseamd"));
    command.args(["--workers", "1"]);
    command
}

/// Guards against hosts that don't start because others at the same IP address hold the admin port.
#[test]
fn shared_admin() {
    let first = Addresses::new();
    let others = [(); 2].map(|()| Addresses {
        admin: first.admin,
        ..Addresses::new()
    });
    let mut daemons: Vec<StartedDaemon> = [first]
        .iter()
        .chain(&others)
        .map(|addresses| StartedDaemon::start(daemon(), addresses))
        .collect();
    for daemon in &mut daemons {
        daemon.assert_running();
    }
}

/// Guards against a host that doesn't start because it was given the admin port for its callers.
#[test]
fn admin_for_callers() {
    let addresses = Addresses::new();
    let shared = Addresses {
        admin: addresses.listen,
        ..addresses
    };
    StartedDaemon::start(daemon(), &shared).assert_running();
}

/// Guards against a host that ends because an address is in use for a moment.
#[test]
fn held_addresses() {
    let addresses = Addresses::new();
    let held = [addresses.listen, addresses.peer]
        .map(|address| TcpListener::bind(address).expect("a free address"));
    let mut daemon = StartedDaemon::start(daemon(), &addresses);
    thread::sleep(Duration::from_secs(1));
    drop(held);
    daemon.assert_running();
}

/// Guards against a host whose allocator reserves more addresses than the host has memory.
#[test]
fn address_space() {
    let mut daemon = StartedDaemon::start(daemon(), &Addresses::new());
    daemon.assert_running();
    let status = format!("/proc/{}/status", daemon.child.id());
    let status = fs::read_to_string(status).expect("its state");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmPeak:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    let peak: u64 = peak.expect("a size").parse().expect("a number");
    assert!(peak <= LEAST_MEMORY, "{peak} kB of addresses");
}

/// Guards against a host that can't allocate memory under a limit on its address space.
#[test]
fn limited_addresses() {
    let mut limited = Command::new("sh");
    let script = format!("ulimit -v {LEAST_MEMORY} && exec \"$@\"");
    limited.args(["-c", &script, "sh", env!("CARGO_BIN_EXE_knapweedseamd")]);
    limited.args(["--workers", "1"]);
    StartedDaemon::start(limited, &Addresses::new()).assert_running();
}

/// Guards against a host that is ended by the signal that its settings have changed while it starts.
#[test]
fn early_hangup() {
    let folder = TempDir::new().expect("a folder");
    let settings = folder.path().join(SETTINGS);
    // The daemon waits in the midst of its start until the test writes its settings.
    run("mkfifo", &[settings.to_str().expect("text")]);
    let mut daemon = StartedDaemon::start_in(folder, daemon());
    thread::sleep(Duration::from_millis(500));
    run("kill", &["-HUP", &daemon.child.id().to_string()]);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(daemon.child.try_wait().expect("its state"), None);
    fs::write(settings, Addresses::new().settings()).expect("settings");
    daemon.assert_running();
}

/// Guards against a host that ends because the platform is writing its settings while it starts.
#[test]
fn unfinished_settings() {
    let folder = TempDir::new().expect("a folder");
    let text = Addresses::new().settings();
    fs::write(folder.path().join(SETTINGS), &text[..text.len() / 2]).expect("settings");
    let mut daemon = StartedDaemon::start_in(folder, daemon());
    thread::sleep(Duration::from_millis(300));
    fs::write(daemon.folder.path().join(SETTINGS), text).expect("settings");
    daemon.assert_running();
}

fn run(program: &str, arguments: &[&str]) {
    let status = Command::new(program).args(arguments).status();
    assert!(
        status.expect("it runs").success(),
        "{program} {arguments:?}"
    );
}
