//! The promises, as checked after each step and at each change of what a host has in force.

use super::{
    CONFIG_APPLY, CONTACT, DRAIN, JOIN,
    host::OrderHost,
    seconds,
    values::{ActiveState, LifeId},
    world::World,
};
use std::{fmt, time::Duration};
use tokio::time::Instant;

/// A promise that did not hold.
#[derive(Clone, Debug)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: &'static str,
    /// Time since the start of the order.
    pub at: Duration,
    /// The host.
    pub host: usize,
    /// What was found.
    pub found: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, host) = (seconds(self.at), self.host);
        write!(
            formatter,
            "{at} host {host}: {}: {}",
            self.promise, self.found
        )
    }
}

const REGRESSED: &str = "the version doesn't go down";
const MIXED: &str = "the state in force was once written";
const LEFT_BACK: &str = "a server known to have left doesn't come back";
const OLDER_START: &str = "an older start of a server doesn't come back";
const CONFIG_LATE: &str = "a configuration is in force in time";
const LEFT_USED: &str = "a server that left is out of use in time";
const GONE_USED: &str = "a server whose entry is gone is out of use in time";
const GAP: &str = "a living server stays in use";
const JOIN_LATE: &str = "a server that joined is in use in time";
const NOT_SERVING: &str = "a host in touch is current and ready";
const NOT_SETTLED: &str = "in calm all hosts hold what the store holds";

/// What a check has found wrong at a host.
type Finding = (&'static str, String);

impl World {
    /// Takes over what a host has published, and checks it against what the host knew before.
    pub(super) fn record_published(&mut self, number: usize, state: ActiveState) {
        let Some(host) = self.hosts.get(&number) else {
            return;
        };
        if host.active.as_ref() == Some(&state) {
            return;
        }
        let revision = host.view.revision();
        self.note(&format!("host {number}: {state}, revision {revision}"));
        let findings = self.check_published(number, &state);
        self.report(number, findings);
        let lives = self.backends.lives();
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        host.highest_version = host.highest_version.max(state.version);
        for (id, started) in &state.servers {
            host.used.insert((id.clone(), *started));
            let latest = host.latest_start.entry(id.clone()).or_default();
            *latest = (*latest).max(*started);
        }
        let has_left = |life| lives.get(life).is_some_and(|record| record.left.is_some());
        let left = host.used.iter();
        let left = left.filter(|life| !state.uses(life) && has_left(life));
        for life in left {
            host.known_left.entry(life.clone()).or_insert(self.now);
        }
        host.active = Some(state);
    }

    fn check_published(&self, number: usize, state: &ActiveState) -> Vec<Finding> {
        let host = &self.hosts[&number];
        let mut findings = Vec::new();
        if state.version < host.highest_version {
            let found = format!("{} after {}", state.version, host.highest_version);
            findings.push((REGRESSED, found));
        }
        if self.operator.keys(state.version) != Some(&state.keys) {
            let found = format!("keys {:?} in version {}", state.keys, state.version);
            findings.push((MIXED, found));
        }
        for (id, started) in &state.servers {
            let life = (id.clone(), *started);
            if !self.backends.lives().contains_key(&life) {
                findings.push((MIXED, format!("{id} started at {started}")));
            }
            if host.known_left.contains_key(&life) {
                findings.push((LEFT_BACK, format!("{id}/{started}")));
            }
            let latest = host.latest_start.get(id).copied().unwrap_or_default();
            if *started < latest {
                findings.push((OLDER_START, format!("{id}/{started} after {latest}")));
            }
        }
        findings
    }

    fn report(&mut self, number: usize, findings: Vec<Finding>) {
        for (promise, found) in findings {
            let known = |broken: &BrokenPromise| broken.promise == promise && broken.host == number;
            if self.broken.iter().any(known) {
                continue;
            }
            let broken = BrokenPromise {
                promise,
                at: self.elapsed(),
                host: number,
                found,
            };
            self.note(&format!(
                "BROKEN host {number}: {promise}: {}",
                broken.found
            ));
            self.broken.push(broken);
        }
    }

    /// Checks all hosts after a step.
    pub(super) fn check_hosts(&mut self) {
        let mut found = Vec::new();
        for (number, host) in &self.hosts {
            if host.is_impaired() || self.now < host.impaired + CONTACT {
                continue;
            }
            let mut findings = self.check_gaps(host);
            if self.store.is_stable(self.now) {
                findings.extend(self.check_in_touch(host));
            }
            found.push((*number, findings));
        }
        for (number, findings) in found {
            self.report(number, findings);
        }
    }

    /// Servers that live and that the host has used.
    fn check_gaps(&self, host: &OrderHost) -> Vec<Finding> {
        let Some(active) = &host.active else {
            return Vec::new();
        };
        let used = host.used.iter().filter(|life| !active.uses(life));
        let lives = used.filter(|life| self.backends.lives()[*life].in_service);
        lives
            .map(|life| (GAP, format!("{}/{}", life.0, life.1)))
            .collect()
    }

    /// What holds at hosts that are in touch.
    fn check_in_touch(&self, host: &OrderHost) -> Vec<Finding> {
        let mut findings = Vec::new();
        if !host.is_ready || !host.is_current(self.now) {
            let state = (host.is_ready, host.is_current(self.now));
            findings.push((NOT_SERVING, format!("(ready, current) {state:?}")));
        }
        let Some(active) = &host.active else {
            return findings;
        };
        let due = self.operator.confirmed_by(self.before(CONFIG_APPLY));
        if active.version < due {
            findings.push((CONFIG_LATE, format!("{} instead of {due}", active.version)));
        }
        for (life, record) in self.backends.lives() {
            let name = || format!("{}/{}", life.0, life.1);
            let is_used = active.uses(life);
            let confirmed = record.left.filter(|left| left.was_stable);
            let is_due = |at: Instant, limit| self.now >= at + limit;
            if is_used
                && confirmed.is_some_and(|left| is_due(left.at, DRAIN))
                && self.is_known_to_have_left(life)
            {
                findings.push((LEFT_USED, name()));
            }
            if is_used && record.absent_since.is_some_and(|at| is_due(at, DRAIN)) {
                findings.push((GONE_USED, name()));
            }
            let is_held = record.in_service && record.absent_since.is_none();
            if !is_used && is_held && record.written.is_some_and(|at| is_due(at, JOIN)) {
                findings.push((JOIN_LATE, name()));
            }
        }
        findings
    }

    /// Whether a host that isn't impaired has known for `drain` that a server has left. Where none has, nobody
    /// can tell its entry in a copy from that of a living server.
    fn is_known_to_have_left(&self, life: &LifeId) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| {
            let is_calm = !host.is_impaired() && self.now >= host.impaired + CONTACT;
            let known = host.known_left.get(life);
            is_calm && known.is_some_and(|at| self.now >= *at + DRAIN)
        })
    }

    /// Checks all hosts at the end, after a calm time.
    pub(super) fn check_settled(&mut self) {
        let wanted = ActiveState::of_values(self.store.values());
        let revision = self.store.revision();
        let mut found = Vec::new();
        for (number, host) in &self.hosts {
            let held = host.view.revision();
            let is_serving = host.is_ready && host.is_current(self.now);
            if host.active.as_ref() == Some(&wanted) && held == revision && is_serving {
                continue;
            }
            let active = host.active.as_ref().map(ToString::to_string);
            let text = format!(
                "{} at revision {held} instead of {wanted} at {revision}, (ready, current) {:?}",
                active.unwrap_or_default(),
                (host.is_ready, host.is_current(self.now)),
            );
            found.push((*number, vec![(NOT_SETTLED, text)]));
        }
        for (number, findings) in found {
            self.report(number, findings);
        }
    }
}
