//! Whether the stated outcomes hold.

use super::{
    checker::key_digest,
    host::{HostPhase, TraceHost},
    trace::TraceOutcome,
};
use crate::ReplayFinding;
use kws_membership::{KeyIndex, KeyMatch};
use serde_saphyr::Spanned;
use std::time::Duration;
use tokio::time::Instant;

/// One outcome and its first breach.
pub(super) struct OutcomeCheck<'a> {
    outcome: &'a TraceOutcome,
    line: u64,
    checked: bool,
    breach: Option<ReplayFinding>,
}

impl<'a> OutcomeCheck<'a> {
    pub(super) fn new(outcome: &'a Spanned<TraceOutcome>) -> Self {
        Self {
            outcome: &outcome.value,
            line: outcome.referenced.line(),
            checked: false,
            breach: None,
        }
    }

    /// When the outcome begins to hold.
    pub(super) fn begins(&self) -> Duration {
        Duration::from_secs_f64(self.outcome.from)
    }

    /// The names that the outcome is about, while it is open at `at`.
    pub(super) fn open_names(&self, at: Duration) -> Option<&'a [String]> {
        let end = self.outcome.to.unwrap_or(self.outcome.from);
        let open = self.begins() <= at && at <= Duration::from_secs_f64(end);
        (open && self.breach.is_none()).then_some(&self.outcome.hosts)
    }

    /// Checks one host.
    pub(super) fn check(&mut self, host: &TraceHost, now: Instant, at: Duration) {
        if host.phase != HostPhase::Running || self.breach.is_some() {
            return;
        }
        self.checked = true;
        self.breach = breach(self.outcome, host, now).map(|text| ReplayFinding {
            line: self.line,
            at,
            text: format!("{}: {text}", host.identity.name),
        });
    }

    /// The breach; an outcome that no host was held to is one too.
    pub(super) fn into_finding(self) -> Option<ReplayFinding> {
        if self.checked {
            return self.breach;
        }
        Some(ReplayFinding {
            line: self.line,
            at: self.begins(),
            text: String::from("never checked: no host named here ran at that time"),
        })
    }
}

fn breach(outcome: &TraceOutcome, host: &TraceHost, now: Instant) -> Option<String> {
    let current = host.node.is_current(now);
    let ready = host.node.is_ready();
    let revision = host
        .node
        .snapshot()
        .map_or(0, |snapshot| snapshot.revision.count());
    if outcome.current.is_some_and(|stated| stated != current) {
        return Some(format!("current is {current}"));
    }
    if outcome.ready.is_some_and(|stated| stated != ready) {
        return Some(format!("ready is {ready}"));
    }
    if outcome
        .min_revision
        .is_some_and(|least| current && revision < least)
    {
        return Some(format!("acts on revision {revision}"));
    }
    let key = outcome.key.as_ref()?;
    let admitted = current && admits(host, key);
    (outcome.admits? != admitted).then(|| format!("key {key} admitted is {admitted}"))
}

fn admits(host: &TraceHost, key: &str) -> bool {
    let digest = key_digest(key);
    host.node.snapshot().is_some_and(|snapshot| {
        let index = KeyIndex::new(&snapshot.settings);
        matches!(index.find(&digest), KeyMatch::Team(_))
    })
}
