//! Health monitoring on one host.

use crate::{
    AvailabilitySource, LoadReport, ResponseOutcome, ServerAvailability, UnavailableReason,
    service::{ServiceMonitor, center_of},
};
use kws_protocol::{
    CenterName, FleetSnapshot, HealthMessage, HealthReport, HostName, ServerName, ServiceName,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Evaluates the health of the backend servers of every service on one host.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    host: HostName,
    services: BTreeMap<ServiceName, ServiceMonitor>,
    centers: BTreeMap<HostName, CenterName>,
}

impl HealthMonitor {
    /// Creates a monitor for `host` without any servers.
    pub fn new(host: HostName) -> Self {
        Self {
            host,
            services: BTreeMap::new(),
            centers: BTreeMap::new(),
        }
    }

    /// The host that this monitor belongs to.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Applies the servers, floors and ejection settings of a newer tree, and the platform's list.
    pub fn apply_settings(&mut self, snapshot: &FleetSnapshot, now: Instant) {
        let settings = &snapshot.settings.services;
        self.services.retain(|name, _| settings.contains_key(name));
        for (name, service) in settings {
            self.services
                .entry(name.clone())
                .or_insert_with(|| ServiceMonitor::new(&self.host, service, now))
                .apply_settings(service, snapshot, now);
        }
        self.centers = snapshot
            .hosts
            .hosts
            .iter()
            .filter_map(|listed| Some((listed.name.clone(), center_of(snapshot, &listed.name)?)))
            .collect();
    }

    /// Records the outcome of one of this host's own tries.
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
        outcome: ResponseOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let center = self.centers.get(&self.host).cloned();
        if let Some(monitor) = self.services.get_mut(service) {
            monitor.record_outcome(server, outcome, latency, center, now);
        }
    }

    /// Records that a server announced in a response that it is draining.
    pub fn record_drain(&mut self, service: &ServiceName, server: &ServerName, now: Instant) {
        if let Some(monitor) = self.services.get_mut(service) {
            monitor.record_drain(server, now);
        }
    }

    /// Records a report of a server's health and load endpoints.
    pub fn record_load(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
        report: LoadReport,
        now: Instant,
    ) {
        if let Some(monitor) = self.services.get_mut(service) {
            monitor.record_load(server, report, now);
        }
    }

    /// Applies a peer's reports, which replace the ejections that the peer reported before.
    pub fn receive(&mut self, from: &HostName, message: &HealthMessage, now: Instant) {
        if from == &self.host {
            return;
        }
        let HealthMessage::Reports(reports) = message;
        for monitor in self.services.values_mut() {
            monitor.record_contact(from, self.centers.get(from).cloned(), now);
        }
        for report in reports {
            if let Some(monitor) = self.services.get_mut(&report.service) {
                monitor.receive(from, report, now);
            }
        }
    }

    /// The reports of this host's observations since the last call. Requests in flight are left at
    /// 0; the dispatcher fills them in.
    pub fn take_reports(&mut self, _now: Instant) -> Vec<HealthReport> {
        self.services
            .iter_mut()
            .flat_map(|(name, monitor)| monitor.take_reports(name))
            .collect()
    }

    /// Evaluates all servers: ejects, ends ejections and enforces the floor. To be called about
    /// every 250 ms.
    pub fn tick(&mut self, now: Instant) {
        for monitor in self.services.values_mut() {
            monitor.tick(now);
        }
    }
}

impl AvailabilitySource for HealthMonitor {
    fn availability(
        &self,
        service: &ServiceName,
        server: &ServerName,
        now: Instant,
    ) -> ServerAvailability {
        self.services.get(service).map_or(
            ServerAvailability::unavailable(UnavailableReason::Unlisted),
            |monitor| monitor.availability(server, now),
        )
    }
}
