//! A small deployment: a store, upstreams and daemons in a temporary folder.

use crate::{
    daemon::{Addresses, Daemon, Zones, wait_ready},
    http::{self, Response},
    record::Record,
    store::Store,
    upstream::{Run, Upstream},
};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// How often an upstream writes its entry: `heartbeat` of the sites.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long the daemons may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Daemon>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    folder: PathBuf,
}

impl Fleet {
    pub fn new(record: &Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("knapweedseam-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Store::start(),
            upstreams: Vec::new(),
            daemons: Vec::new(),
            runs: Arc::default(),
            record: record.clone(),
            folder,
        }
    }

    /// Adds an upstream and writes its entry every heartbeat, with a higher sequence each time.
    pub fn add_upstream(&mut self, id: &str, service: &str, zone: &str, work: Duration) {
        let upstream = Upstream::start(id, service, work, &self.runs, &self.record);
        self.store
            .put(&format!("servers/{id}"), &upstream.entry(zone, "ready", 1));
        let (beating, store) = (upstream.clone(), self.store.clone());
        let zone = zone.to_owned();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if beating.has_left() {
                    return;
                }
                let entry = beating.entry(&zone, "ready", sequence);
                store.put(&format!("servers/{}", beating.id), &entry);
            }
        });
        // Upstreams don't beat in step.
        thread::sleep(HEARTBEAT / 10);
        self.upstreams.push(upstream);
    }

    /// An upstream leaves without reporting that it drains: its entry goes, and it serves on. The
    /// removal is confirmed when the call returns.
    pub fn remove_upstream(&self, id: &str) {
        for upstream in self.upstreams.iter().filter(|upstream| upstream.id == id) {
            upstream.leave();
        }
        self.store.remove(&format!("servers/{id}"));
        self.record
            .line(&format!("leave    {id}: its entry is removed"));
    }

    /// Writes a version of the configuration, which is confirmed when the call returns.
    pub fn configure(&self, text: &str) {
        self.store.put("op/config", text);
        self.record.line(&format!("config   confirmed: {text}"));
    }

    /// Starts one daemon a zone given, the first three of them seeds. Returns whether all became
    /// ready.
    pub fn start_daemons(&mut self, placed: &[&str], zones: Zones<'_>) -> bool {
        let addresses: Vec<Addresses> = (0..placed.len())
            .map(|at| Addresses::free(at as u8))
            .collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|one| one.peer).collect();
        for (at, (zone, one)) in placed.iter().zip(&addresses).enumerate() {
            let name = format!("front-{}", at + 1);
            self.record
                .line(&format!("start    {name} in {zone} at {}", one.listen));
            let daemon = Daemon::start(
                &self.folder,
                &name,
                *one,
                zone,
                zones,
                &seeds,
                self.store.address,
            );
            self.daemons.push(daemon);
        }
        wait_ready(&self.daemons, READY_TIMEOUT)
    }

    /// Sends a request to a daemon and records it with its answer.
    pub fn send(
        &self,
        daemon: usize,
        id: &str,
        line: &str,
        host: &str,
        key: &str,
    ) -> Option<Response> {
        let daemon = &self.daemons[daemon];
        self.record.line(&format!(
            "send     {id} {line} Host: {host} to {}",
            daemon.name
        ));
        let mut text =
            format!("{line} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n");
        if !key.is_empty() {
            text.push_str(&format!("Authorization: Bearer {key}\r\n"));
        }
        if line.starts_with("POST") {
            text.push_str("Content-Length: 0\r\n");
        }
        text.push_str("Connection: close\r\n\r\n");
        let response = http::exchange(
            daemon.addresses.listen,
            text.as_bytes(),
            Duration::from_secs(3),
        );
        let told = response
            .as_ref()
            .map_or("no answer".to_owned(), |response| {
                format!(
                    "{} signature={}",
                    response.status,
                    response.header("Server-Signature")
                )
            });
        self.record.line(&format!("answer   {id} {told}"));
        response
    }

    /// The runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.request.header("Request-Id") == id)
            .cloned()
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}
