//! What a host knows beyond the platform's data once the platform has come back from an older copy:
//! versions that the copy lacks, servers that it lacks and servers that had left.

mod state;

use crate::{TreeChecker, ValueOrder};
use kws_protocol::{PublishedValues, RetainedValue};
use state::RetainedState;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// How long values that the copy lacks are kept: servers that live have written theirs again within 2 s,
/// and readers need time to see that.
const REWRITE_TIME: Duration = Duration::from_millis(2_500);

/// The time that readers need to see that the platform has removed the value of a silent server.
const REMOVAL_LAG: Duration = Duration::from_millis(2_500);

/// How long a server that the copy shows isn't used by a host that didn't have it in force: time for other
/// hosts to report that it had left.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// How long departures of servers are remembered: the oldest copy that the platform may come back from.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(1);

/// How long a server that had left isn't used although the copy shows it.
pub(crate) fn expiry_time(checker: &dyn TreeChecker) -> Duration {
    checker.registration_expiry() + REMOVAL_LAG
}

/// Values by key.
pub(crate) type Values = BTreeMap<String, Arc<str>>;

/// What was in force on this host when the platform came back from an older copy.
#[derive(Clone, Debug)]
pub(crate) struct WitnessedValues {
    /// When the platform last confirmed its values before.
    pub(crate) confirmed: Instant,
    /// The values in force.
    pub(crate) values: Values,
}

/// How many values of each kind are retained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RetainedCounts {
    /// Versions newer than the platform's.
    pub(crate) newer: usize,
    /// Values that the platform lacks.
    pub(crate) missing: usize,
    /// Values of servers that had left.
    pub(crate) left: usize,
    /// Values of servers that may have left.
    pub(crate) unconfirmed: usize,
}

/// The leaving of a server, as this host learned of it.
#[derive(Clone, Copy, Debug)]
struct ServerDeparture {
    started_at_ms: u64,
    at: Instant,
}

impl ServerDeparture {
    /// The state of a server that has left and is in service in the values `copied`, with which the platform
    /// came back at `began`; none if it isn't.
    fn retain(
        &self,
        checker: &dyn TreeChecker,
        key: &str,
        copied: &Values,
        began: Instant,
    ) -> Option<RetainedState> {
        let is_copied = has_server(checker, copied, key, self.started_at_ms);
        is_copied.then(|| RetainedState::Left {
            started_at_ms: self.started_at_ms,
            copied: copied.get(key).cloned(),
            learned: self.at,
            until: began + expiry_time(checker),
        })
    }
}

/// The values retained, and the departures from which they are derived when the platform comes back
/// from an older copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedValues {
    states: BTreeMap<String, RetainedState>,
    departures: BTreeMap<String, ServerDeparture>,
}

fn started_in_service(order: ValueOrder) -> Option<u64> {
    match order {
        ValueOrder::Registration {
            started_at_ms,
            in_service: true,
        } => Some(started_at_ms),
        _ => None,
    }
}

fn version(checker: &dyn TreeChecker, values: &Values, key: &str) -> Option<u64> {
    match checker.order(key, values.get(key)?) {
        ValueOrder::Versioned(version) => Some(version),
        _ => None,
    }
}

/// Whether `values` have a server in service under `key` that was started at `started_at_ms` or earlier.
fn has_server(checker: &dyn TreeChecker, values: &Values, key: &str, started_at_ms: u64) -> bool {
    let order = values.get(key).map(|text| checker.order(key, text));
    let started = order.and_then(started_in_service);
    started.is_some_and(|started| started <= started_at_ms)
}

/// Whether `values` lack the server with the entry `text`.
fn lacks_server(checker: &dyn TreeChecker, values: &Values, key: &str, text: &str) -> bool {
    let started = |text| match checker.order(key, text) {
        ValueOrder::Registration { started_at_ms, .. } => Some(started_at_ms),
        _ => None,
    };
    values
        .get(key)
        .is_none_or(|shown| started(shown) < started(text))
}

/// The servers that the values `copied` have in service, and of which the values `before` know nothing.
fn unconfirmed_servers(
    checker: &dyn TreeChecker,
    before: &Values,
    copied: &Values,
    now: Instant,
) -> impl Iterator<Item = (String, RetainedState)> {
    let unknown = copied.iter().filter(move |(key, text)| {
        !before.contains_key(*key) && started_in_service(checker.order(key, text)).is_some()
    });
    unknown.map(move |(key, text)| {
        let unconfirmed = RetainedState::Unconfirmed {
            copied: Arc::clone(text),
            until: now + REPORT_TIME,
        };
        (key.clone(), unconfirmed)
    })
}

impl RetainedValues {
    pub(crate) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Whether the time of a value has passed, as far as the clock tells.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        let mut ends = self.states.values().filter_map(RetainedState::until);
        ends.any(|until| now >= until)
    }

    /// Whether the time of a value has passed; the platform last confirmed its values at `confirmed`.
    pub(crate) fn is_due(&self, confirmed: Instant, now: Instant) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.is_due(confirmed, now))
    }

    /// Drops the values whose time has passed. An earlier start of a missing server isn't used either while
    /// the platform's `values` still have it from the copy.
    pub(crate) fn drop_expired(
        &mut self,
        checker: &dyn TreeChecker,
        values: &Values,
        (confirmed, now): (Instant, Instant),
    ) {
        let mut earlier = Vec::new();
        self.states.retain(|key, state| {
            if !state.is_due(confirmed, now) {
                return true;
            }
            if let RetainedState::Missing { started_at_ms, .. } = state {
                let departure = ServerDeparture {
                    started_at_ms: *started_at_ms,
                    at: now,
                };
                let left = departure.retain(checker, key, values, now);
                earlier.extend(left.map(|left| (key.clone(), left)));
            }
            false
        });
        self.states.extend(earlier);
    }

    pub(crate) fn counts(&self) -> RetainedCounts {
        let mut counts = RetainedCounts::default();
        for state in self.states.values() {
            match state {
                RetainedState::Left { .. } => counts.left += 1,
                RetainedState::Missing { .. } => counts.missing += 1,
                RetainedState::Newer { .. } => counts.newer += 1,
                RetainedState::Unconfirmed { .. } => counts.unconfirmed += 1,
            }
        }
        counts
    }

    /// A hash of what other hosts may lack; 0 if there is nothing. Servers that the platform lacks are left
    /// out: a host that was cut off may hold some that are gone. So are those that this host can't tell of.
    pub(crate) fn digest(&self) -> u64 {
        let ordered = self.states.iter().filter_map(|(key, state)| match state {
            RetainedState::Left { started_at_ms, .. } => Some((key, *started_at_ms)),
            RetainedState::Newer { version, .. } => Some((key, *version)),
            RetainedState::Missing { .. } | RetainedState::Unconfirmed { .. } => None,
        });
        hash_orders(ordered)
    }

    /// A hash of the versions that the platform lacks; 0 if there are none.
    pub(crate) fn newer_digest(&self) -> u64 {
        let newer = self.states.iter().filter_map(|(key, state)| match state {
            RetainedState::Newer { version, .. } => Some((key, *version)),
            _ => None,
        });
        hash_orders(newer)
    }

    /// The versions that the platform lacks, as reports.
    fn newer(&self) -> impl Iterator<Item = RetainedValue> {
        self.states.iter().filter_map(|(key, state)| match state {
            RetainedState::Newer { text, .. } => Some(RetainedValue::Newer {
                key: key.clone(),
                text: Arc::clone(text),
            }),
            _ => None,
        })
    }

    /// The reports of a host that may have left out the versions which this host holds as well.
    pub(crate) fn with_newer(&self, reports: &[RetainedValue]) -> Vec<RetainedValue> {
        let is_newer = |report: &RetainedValue| matches!(report, RetainedValue::Newer { .. });
        if reports.iter().any(is_newer) {
            return reports.to_vec();
        }
        let mut all: Vec<RetainedValue> = reports.iter().cloned().chain(self.newer()).collect();
        all.sort_by(|left, right| left.key().cmp(right.key()));
        all
    }

    /// The digest of the host that sent `reports`.
    pub(crate) fn reported_digest(checker: &dyn TreeChecker, reports: &[RetainedValue]) -> u64 {
        let ordered = reports.iter().filter_map(|report| match report {
            RetainedValue::Left {
                key, started_at_ms, ..
            } => Some((key, *started_at_ms)),
            RetainedValue::Newer { key, text } => match checker.order(key, text) {
                ValueOrder::Versioned(version) => Some((key, version)),
                _ => None,
            },
        });
        hash_orders(ordered)
    }

    /// The values in force where the platform has `values`.
    pub(crate) fn apply(&self, checker: &dyn TreeChecker, values: &PublishedValues) -> Values {
        let mut effective = values.values.clone();
        for (key, state) in &self.states {
            match state {
                RetainedState::Left { .. } | RetainedState::Unconfirmed { .. } => {
                    effective.remove(key)
                }
                RetainedState::Missing { text, .. }
                    if lacks_server(checker, &effective, key, text) =>
                {
                    effective.insert(key.clone(), Arc::clone(text))
                }
                RetainedState::Newer {
                    text,
                    version: newer,
                } if version(checker, &effective, key) < Some(*newer) => {
                    effective.insert(key.clone(), Arc::clone(text))
                }
                RetainedState::Missing { .. } | RetainedState::Newer { .. } => None,
            };
        }
        effective
    }

    /// The platform came back at `began` from an older copy, from which `copied` stems; `before` was in force.
    pub(crate) fn begin_era(
        &mut self,
        checker: &dyn TreeChecker,
        before: &Values,
        copied: &Values,
        (began, now): (Instant, Instant),
    ) {
        let mut states = BTreeMap::new();
        for (key, text) in before {
            let retained = match checker.order(key, text) {
                ValueOrder::Registration {
                    started_at_ms,
                    in_service: true,
                } => lacks_server(checker, copied, key, text).then(|| RetainedState::Missing {
                    text: Arc::clone(text),
                    started_at_ms,
                    until: began + REWRITE_TIME,
                }),
                ValueOrder::Registration { started_at_ms, .. } => {
                    let departure = ServerDeparture {
                        started_at_ms,
                        at: now,
                    };
                    departure.retain(checker, key, copied, began)
                }
                ValueOrder::Unordered => None,
                ValueOrder::Versioned(newer) => {
                    (version(checker, copied, key) < Some(newer)).then(|| RetainedState::Newer {
                        text: Arc::clone(text),
                        version: newer,
                    })
                }
            };
            if let Some(state) = retained {
                states.insert(key.clone(), state);
            }
        }
        self.departures
            .retain(|_, departure| now < departure.at + DEPARTURE_RETENTION);
        for (key, departure) in &self.departures {
            if let Some(state) = departure.retain(checker, key, copied, began) {
                states.insert(key.clone(), state);
            }
        }
        for (key, departure) in self.left_servers() {
            let is_remembered = now < departure.at + DEPARTURE_RETENTION;
            if let Some(left) = departure.retain(checker, key, copied, began)
                && is_remembered
            {
                states.entry(key.clone()).or_insert(left);
            }
        }
        for (key, unconfirmed) in unconfirmed_servers(checker, before, copied, now) {
            if !matches!(self.states.get(&key), Some(RetainedState::Left { .. })) {
                states.entry(key).or_insert(unconfirmed);
            }
        }
        self.states = states;
    }

    /// The departures of the servers that count as having left.
    fn left_servers(&self) -> impl Iterator<Item = (&String, ServerDeparture)> {
        self.states.iter().filter_map(|(key, state)| match state {
            RetainedState::Left {
                started_at_ms,
                learned,
                ..
            } => Some((
                key,
                ServerDeparture {
                    started_at_ms: *started_at_ms,
                    at: *learned,
                },
            )),
            _ => None,
        })
    }

    /// Keeps servers that `values` have lost within the time in which living servers write their entries
    /// again, counted from the platform's return at `began`; `before` was in force. Late values may stem
    /// from that time, so it also lasts until the platform has `confirmed` what it held at its end.
    pub(crate) fn keep_missing(
        &mut self,
        checker: &dyn TreeChecker,
        (before, values): (&Values, &Values),
        began: Instant,
        (confirmed, now): (Option<Instant>, Instant),
    ) {
        let until = began + REWRITE_TIME;
        for (key, text) in before {
            let started = started_in_service(checker.order(key, text));
            if let Some(started_at_ms) = started
                && lacks_server(checker, values, key, text)
            {
                let missing = RetainedState::Missing {
                    text: Arc::clone(text),
                    started_at_ms,
                    until,
                };
                if confirmed.is_none_or(|confirmed| !missing.is_due(confirmed, now)) {
                    self.states.entry(key.clone()).or_insert(missing);
                }
            }
        }
    }

    /// The platform came back at `began`, earlier than known so far.
    pub(crate) fn advance_missing(&mut self, began: Instant) {
        for state in self.states.values_mut() {
            if let RetainedState::Missing { until, .. } = state {
                *until = (*until).min(began + REWRITE_TIME);
            }
        }
    }

    /// Drops what the platform's `values` have settled.
    pub(crate) fn settle(&mut self, checker: &dyn TreeChecker, values: &Values) {
        self.states.retain(|key, state| match state {
            RetainedState::Left {
                started_at_ms,
                copied,
                ..
            } => {
                let is_copy = values.get(key) == copied.as_ref();
                is_copy && has_server(checker, values, key, *started_at_ms)
            }
            RetainedState::Missing { text, .. } => lacks_server(checker, values, key, text),
            RetainedState::Newer { version: newer, .. } => {
                version(checker, values, key) < Some(*newer)
            }
            RetainedState::Unconfirmed { copied, .. } => values.get(key) == Some(copied),
        });
    }

    /// Remembers the servers among `changed` that have left between two states of the values in force.
    pub(crate) fn record_departures(
        &mut self,
        checker: &dyn TreeChecker,
        changed: &BTreeSet<String>,
        (before, after): (&Values, &Values),
        now: Instant,
    ) {
        for key in changed {
            if after.contains_key(key) {
                self.departures.remove(key);
                continue;
            }
            let order = before.get(key).map(|text| checker.order(key, text));
            if let Some(ValueOrder::Registration { started_at_ms, .. }) = order {
                let departure = ServerDeparture {
                    started_at_ms,
                    at: now,
                };
                self.departures.insert(key.clone(), departure);
            }
        }
        self.departures
            .retain(|_, departure| now < departure.at + DEPARTURE_RETENTION);
    }

    /// The retained values that other hosts may lack.
    pub(crate) fn reports(&self, now: Instant) -> Vec<RetainedValue> {
        let report = |(key, state): (&String, &RetainedState)| match state {
            RetainedState::Left {
                started_at_ms,
                learned,
                until,
                ..
            } => Some(RetainedValue::Left {
                key: key.clone(),
                started_at_ms: *started_at_ms,
                age: now.saturating_duration_since(*learned),
                remaining: until.saturating_duration_since(now),
            }),
            RetainedState::Newer { text, .. } => Some(RetainedValue::Newer {
                key: key.clone(),
                text: Arc::clone(text),
            }),
            RetainedState::Missing { .. } | RetainedState::Unconfirmed { .. } => None,
        };
        self.states.iter().filter_map(report).collect()
    }

    /// Adds what another host retains, unless the platform's `values` or those that this host has
    /// `witnessed` say otherwise.
    pub(crate) fn merge(
        &mut self,
        checker: &dyn TreeChecker,
        reports: &[RetainedValue],
        (values, witnessed): (&Values, Option<&WitnessedValues>),
        now: Instant,
    ) {
        for report in reports {
            let (key, state) = match report {
                RetainedValue::Left {
                    key,
                    started_at_ms,
                    age,
                    remaining,
                } => {
                    let learned = now.checked_sub(*age).unwrap_or(now);
                    let is_witnessed = witnessed.is_some_and(|witnessed| {
                        learned <= witnessed.confirmed
                            && has_server(checker, &witnessed.values, key, *started_at_ms)
                    });
                    if is_witnessed {
                        continue;
                    }
                    let state = RetainedState::Left {
                        started_at_ms: *started_at_ms,
                        copied: values.get(key).cloned(),
                        learned,
                        until: now + (*remaining).min(expiry_time(checker)),
                    };
                    (key, state)
                }
                RetainedValue::Newer { key, text } => {
                    let ValueOrder::Versioned(version) = checker.order(key, text) else {
                        continue;
                    };
                    let text = Arc::clone(text);
                    (key, RetainedState::Newer { text, version })
                }
            };
            if self
                .states
                .get(key)
                .is_none_or(|held| held.is_replaced_by(&state))
            {
                self.states.insert(key.clone(), state);
            }
        }
        self.settle(checker, values);
    }
}

/// A hash of keys in their order, each with a version or a start time; 0 for none.
fn hash_orders<'a>(ordered: impl Iterator<Item = (&'a String, u64)>) -> u64 {
    let mut hasher = Xxh3::new();
    let mut is_empty = true;
    for (key, order) in ordered {
        is_empty = false;
        hasher.update(key.as_bytes());
        hasher.update(&[0]);
        hasher.update(&order.to_le_bytes());
    }
    if is_empty { 0 } else { hasher.digest() }
}
