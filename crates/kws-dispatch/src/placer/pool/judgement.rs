//! Judges servers by the reported results of tries, and keeps the capacity floor in use.

use super::ServicePool;
use crate::placer::{PlaceAction, PlaceReport, evidence::ServerHealth, server::EndedRequest};
use kws_protocol::{ServerName, SlotOutcome};
use std::time::Duration;
use tokio::time::Instant;

/// Smoothing factor of the moving average of the service time, between 0 and 1.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// A bad response is abrupt if it came within this share of the average service time.
const ABRUPT_SHARE: f64 = 0.25;

/// A request is overdue after this many average service times, and counts as a failure.
const OVERDUE_FACTOR: f64 = 4.0;

/// A request is not overdue before this time.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(800);

impl ServicePool {
    /// Applies the reported result of a try to its server.
    pub(super) fn apply_report(
        &mut self,
        name: &ServerName,
        report: PlaceReport<'_>,
        ended: EndedRequest,
        now: Instant,
    ) -> Option<PlaceAction> {
        let outcome = report.outcome;
        self.record_unknown(outcome.outcome, ended);
        let path_failure = matches!(
            outcome.outcome,
            SlotOutcome::TimedOut | SlotOutcome::ConnectFailed
        );
        if path_failure && !self.failure_reports.record(report.reporter, name, now) {
            return None;
        }
        let may_eject = self.may_eject(name, now);
        let limit = self.overdue_limit();
        let abrupt = outcome.latency < self.service_time.mul_f64(ABRUPT_SHARE);
        let settings = self.settings.as_ref()?;
        let server = self.servers.get_mut(name)?;
        let was_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        let (ejected, cause) = match outcome.outcome {
            SlotOutcome::Succeeded => {
                server.record_good(ended.placed_at, now);
                (false, "good answer")
            }
            SlotOutcome::Failed => (
                server.record_bad(abrupt, &settings.ejection, may_eject, now),
                "bad answer",
            ),
            // The request had little time left, so its timeout says nothing about the server.
            SlotOutcome::TimedOut if outcome.latency < limit => (false, "late answer"),
            SlotOutcome::TimedOut => (
                server.record_late(&settings.ejection, may_eject, now),
                "late answer",
            ),
            SlotOutcome::ConnectFailed => (
                server.record_unreachable(&settings.ejection, may_eject, now),
                "not reached",
            ),
            SlotOutcome::NotRun => {
                server.record_overload(now);
                self.demand.record_rejection(now);
                (false, "turned away")
            }
            SlotOutcome::Misdirected => {
                server.record_departure(now);
                (true, "another server has the address")
            }
            SlotOutcome::Cancelled => (false, "cancelled"),
        };
        if outcome.draining {
            server.record_departure(now);
        }
        let is_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        if outcome.outcome == SlotOutcome::Succeeded {
            self.update_service_time(outcome.latency);
        }
        let changed = ejected || was_unhealthy != is_unhealthy;
        changed.then(|| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name.clone(),
            ejected: ejected || is_unhealthy,
            cause,
        })
    }

    /// Running time from which a request is overdue.
    fn overdue_limit(&self) -> Duration {
        self.service_time
            .mul_f64(OVERDUE_FACTOR)
            .max(MIN_OVERDUE_TIME)
    }

    /// Records how a request fared on a server of unknown state.
    fn record_unknown(&mut self, outcome: SlotOutcome, ended: EndedRequest) {
        let counts = ended.health == ServerHealth::Healthy && ended.was_unknown;
        if counts && matches!(outcome, SlotOutcome::Failed | SlotOutcome::Succeeded) {
            self.demand.record_unknown(outcome == SlotOutcome::Failed);
        }
    }

    fn update_service_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - SERVICE_TIME_SMOOTHING)
            + time.mul_f64(SERVICE_TIME_SMOOTHING);
    }

    /// Whether the region's remaining capacity stays at or above the floor if `name` is ejected.
    fn may_eject(&self, name: &ServerName, now: Instant) -> bool {
        let floor = self
            .settings
            .as_ref()
            .map_or(1.0, |settings| settings.floor);
        let servers = || {
            self.servers
                .iter()
                .filter(|(_, server)| self.is_in_region(server))
        };
        let total: u32 = servers().map(|(_, server)| server.settings.slots).sum();
        let remaining: u32 = servers()
            .filter(|(other, server)| {
                *other != name
                    && server.is_available(now)
                    && server.health(now) < ServerHealth::Unhealthy
            })
            .map(|(_, server)| server.settings.slots)
            .sum();
        f64::from(remaining) >= floor * f64::from(total)
    }

    /// Handles the confirmation that a request is still running.
    pub(crate) fn confirm_running(&mut self, key: u64, now: Instant) -> Option<PlaceAction> {
        let name = self.placements.get(&key)?.clone();
        let limit = self.overdue_limit();
        if !self.servers.get(&name)?.is_overdue(key, limit, now) {
            return None;
        }
        let may_eject = self.may_eject(&name, now);
        let ejection = &self.settings.as_ref()?.ejection;
        let server = self.servers.get_mut(&name)?;
        let ejected = server.record_overdue(key, ejection, may_eject, now);
        ejected.then(|| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name,
            ejected: true,
            cause: "no answer for long",
        })
    }

    /// Handles timeouts: maintains the capacity floor.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<PlaceAction> {
        self.maintain_floor(now)
    }

    /// Brings ejected servers back while the capacity in use is below the floor, those with the
    /// least evidence first.
    fn maintain_floor(&mut self, now: Instant) -> Vec<PlaceAction> {
        let floor = self
            .settings
            .as_ref()
            .map_or(0.0, |settings| settings.floor);
        let servers = || {
            self.servers
                .iter()
                .filter(|(_, server)| self.is_in_region(server))
        };
        let total: u32 = servers().map(|(_, server)| server.settings.slots).sum();
        let in_use = self.slots_in_use(now);
        let mut missing = floor * f64::from(total) - f64::from(in_use);
        let mut ejected: Vec<(f64, ServerName, u32)> = servers()
            .filter(|(_, server)| server.is_available(now) && server.is_ejected(now))
            .map(|(name, server)| (server.evidence(now), name.clone(), server.settings.slots))
            .collect();
        ejected.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut actions = Vec::new();
        for (_, name, slots) in ejected {
            if missing <= 0.0 {
                break;
            }
            missing -= f64::from(slots);
            if let Some(server) = self.servers.get_mut(&name) {
                server.end_ejection();
            }
            actions.push(PlaceAction::HealthChanged {
                service: self.name.clone(),
                server: name,
                ejected: false,
                cause: "floor",
            });
        }
        actions
    }

    fn slots_in_use(&self, now: Instant) -> u32 {
        let servers = self
            .servers
            .values()
            .filter(|server| self.is_in_region(server));
        servers
            .filter(|server| server.is_available(now) && !server.is_ejected(now))
            .map(|server| server.settings.slots)
            .sum()
    }
}
