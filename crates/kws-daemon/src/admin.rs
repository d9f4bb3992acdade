//! Readiness, status and metrics of this daemon for the admin listener.

use crate::{
    fleet::count_listed_hosts, logging::dropped_lines, shared::DaemonShared, threads::start_thread,
};
use eyre::Result;
use kws_admin::{AdminView, FleetMetrics, run_admin};
use kws_protocol::StatusReport;
use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};
use tokio::time::Instant;

struct DaemonView(Arc<DaemonShared>);

impl AdminView for DaemonView {
    fn ready(&self) -> Result<(), String> {
        if self.0.is_stopping() {
            return Err("stopping".to_owned());
        }
        let readiness = self.0.readiness();
        if !readiness.is_ready() {
            return Err(readiness.to_string());
        }
        if !self.0.is_current() {
            return Err("not_current".to_owned());
        }
        Ok(())
    }

    fn status(&self) -> StatusReport {
        let shared = &self.0;
        let snapshot = shared.snapshot();
        let ready = self.ready();
        StatusReport {
            host: shared.identity.host.clone(),
            region: shared.identity.region.clone(),
            center: shared.identity.center.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            uptime_seconds: Instant::now().duration_since(shared.started_at).as_secs(),
            revision: snapshot
                .as_ref()
                .map(|snapshot| snapshot.revision)
                .unwrap_or_default(),
            current: shared.is_current(),
            ready: ready.is_ok(),
            reason: ready.err().unwrap_or_default(),
            listed_hosts: snapshot
                .as_ref()
                .map_or(0, |snapshot| count_listed_hosts(snapshot, shared)),
            servers: shared.servers(),
        }
    }

    fn metrics(&self) -> &FleetMetrics {
        self.0.metrics.set_log_dropped(dropped_lines());
        &self.0.metrics
    }
}

/// How often a daemon tries again to bind an optional admin address.
const BIND_INTERVAL: Duration = Duration::from_secs(5);

/// Starts the admin listener once its address can be bound.
pub(crate) fn start_optional_admin(shared: Arc<DaemonShared>, address: SocketAddr) -> Result<()> {
    start_thread("admin", move || {
        let mut is_logged = false;
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) if !is_logged => {
                    is_logged = true;
                    log::error!(
                        address = address.to_string().as_str(),
                        error = error.to_string().as_str();
                        "no status and metrics until the admin address is free"
                    );
                }
                Err(_) => {}
            }
            thread::sleep(BIND_INTERVAL);
        };
        serve_admin(shared, listener);
    })
}

/// Starts the admin listener.
pub(crate) fn start_admin(shared: Arc<DaemonShared>, listener: TcpListener) -> Result<()> {
    start_thread("admin", move || serve_admin(shared, listener))
}

fn serve_admin(shared: Arc<DaemonShared>, listener: TcpListener) {
    if let Err(error) = run_admin(listener, Arc::new(DaemonView(shared))) {
        panic!("failed to serve the admin listener: {error}");
    }
}
