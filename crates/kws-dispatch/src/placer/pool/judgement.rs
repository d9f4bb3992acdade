//! Judges servers by the reported results of tries, and keeps the capacity floor in use.

use super::ServicePool;
use crate::placer::{
    PlaceAction, PlaceOutcome, PlaceReport,
    evidence::ServerHealth,
    server::{EndedRequest, PoolServer},
};
use kws_protocol::{EjectionSettings, ServerName, SlotOutcome};
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

/// Interval between checks of the capacity floor.
const FLOOR_PERIOD: Duration = Duration::from_millis(100);

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
        let judgement = Judgement {
            outcome,
            ended,
            limit: self.overdue_limit(),
            abrupt: outcome.latency < self.service_time.mul_f64(ABRUPT_SHARE),
            may_eject: self.may_eject(name),
        };
        let ejection = self.settings.as_ref()?.ejection.clone();
        let apply = |server: &mut PoolServer| judgement.apply(server, &ejection, now);
        let (change, cause) = self.servers.update(name, now, apply)?;
        match outcome.outcome {
            SlotOutcome::Succeeded => self.update_service_time(outcome.latency),
            SlotOutcome::NotRun => self.demand.record_rejection(now),
            _ => {}
        }
        change.map(|ejected| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name.clone(),
            ejected,
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
    fn may_eject(&self, name: &ServerName) -> bool {
        let floor = self
            .settings
            .as_ref()
            .map_or(1.0, |settings| settings.floor);
        let (total, remaining) = self.servers.slots_without(name);
        f64::from(remaining) >= floor * f64::from(total)
    }

    /// Handles the confirmation that a request is still running.
    pub(crate) fn confirm_running(&mut self, key: u64, now: Instant) -> Option<PlaceAction> {
        let name = self.placements.get(&key)?.clone();
        let limit = self.overdue_limit();
        if !self.servers.get(&name)?.is_overdue(key, limit, now) {
            return None;
        }
        let may_eject = self.may_eject(&name);
        let ejection = self.settings.as_ref()?.ejection.clone();
        let ejected = self.servers.update(&name, now, |server| {
            server.record_overdue(key, &ejection, may_eject, now)
        })?;
        ejected.then(|| PlaceAction::HealthChanged {
            service: self.name.clone(),
            server: name,
            ejected: true,
            cause: "no answer for long",
        })
    }

    /// Handles timeouts: maintains the capacity floor, every [`FLOOR_PERIOD`].
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<PlaceAction> {
        if self.next_floor_check.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_floor_check = Some(now + FLOOR_PERIOD);
        self.maintain_floor(now)
    }

    /// Brings ejected servers back while the capacity in use is below the floor, those with the
    /// least evidence first.
    fn maintain_floor(&mut self, now: Instant) -> Vec<PlaceAction> {
        let floor = self
            .settings
            .as_ref()
            .map_or(0.0, |settings| settings.floor);
        let (mut total, mut in_use) = (0, 0);
        let mut ejected: Vec<(f64, ServerName, u32)> = Vec::new();
        for (name, server) in self.servers.local() {
            let slots = server.settings.slots;
            total += slots;
            if !server.is_available(now) {
                continue;
            }
            if server.is_ejected(now) {
                ejected.push((server.evidence(now), name.clone(), slots));
            } else {
                in_use += slots;
            }
        }
        let mut missing = floor * f64::from(total) - f64::from(in_use);
        ejected.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut actions = Vec::new();
        for (_, name, slots) in ejected {
            if missing <= 0.0 {
                break;
            }
            missing -= f64::from(slots);
            self.servers.update(&name, now, PoolServer::end_ejection);
            actions.push(PlaceAction::HealthChanged {
                service: self.name.clone(),
                server: name,
                ejected: false,
                cause: "floor",
            });
        }
        actions
    }
}

/// A reported result with what its effect on the server depends on.
struct Judgement {
    outcome: PlaceOutcome,
    ended: EndedRequest,
    /// Time from which a missing response counts as late.
    limit: Duration,
    /// Whether the response came much sooner than the server can do its work.
    abrupt: bool,
    /// Whether the capacity floor allows to eject the server.
    may_eject: bool,
}

impl Judgement {
    /// Applies the result to its server. Returns whether the server is ejected now if that changed
    /// or it was ejected again, and the cause.
    fn apply(
        &self,
        server: &mut PoolServer,
        ejection: &EjectionSettings,
        now: Instant,
    ) -> (Option<bool>, &'static str) {
        let was_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        let (ejected, cause) = self.record(server, ejection, now);
        if self.outcome.draining {
            server.record_departure(now);
        }
        let is_unhealthy = server.health(now) == ServerHealth::Unhealthy;
        let changed = ejected || was_unhealthy != is_unhealthy;
        (changed.then_some(ejected || is_unhealthy), cause)
    }

    fn record(
        &self,
        server: &mut PoolServer,
        ejection: &EjectionSettings,
        now: Instant,
    ) -> (bool, &'static str) {
        let may_eject = self.may_eject;
        match self.outcome.outcome {
            SlotOutcome::Succeeded => {
                server.record_good(self.ended.placed_at, now);
                (false, "good answer")
            }
            SlotOutcome::Failed => (
                server.record_bad(self.abrupt, ejection, may_eject, now),
                "bad answer",
            ),
            // The request had little time left, so its timeout says nothing about the server.
            SlotOutcome::TimedOut if self.outcome.latency < self.limit => (false, "late answer"),
            SlotOutcome::TimedOut => (server.record_late(ejection, may_eject, now), "late answer"),
            SlotOutcome::ConnectFailed => (
                server.record_unreachable(ejection, may_eject, now),
                "not reached",
            ),
            SlotOutcome::NotRun => {
                server.record_overload(now);
                (false, "turned away")
            }
            SlotOutcome::Misdirected => {
                server.record_departure(now);
                (true, "another server has the address")
            }
            SlotOutcome::Cancelled => (false, "cancelled"),
        }
    }
}
