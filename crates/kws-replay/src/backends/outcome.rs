//! Checks the stated outcomes while the trace runs.

use super::trace::{BackendsTrace, TraceOutcome, names_member};
use crate::ReplayFinding;
use std::{collections::BTreeMap, time::Duration};

/// What one host makes of one server at a moment.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    pub(super) center: String,
    pub(super) name: String,
    pub(super) out: bool,
}

/// What one host sees at a moment.
#[derive(Clone, Debug)]
pub(super) struct HostView {
    pub(super) center: String,
    pub(super) name: String,
    pub(super) servers: Vec<ServerView>,
    /// Whether its capacity is at or above the floor, or nothing is ejected.
    pub(super) floor_held: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerCount {
    all: u64,
    bad: u64,
}

/// The outcomes of a trace with what was seen of them so far.
pub(super) struct OutcomeBook<'a> {
    trace: &'a BackendsTrace,
    counts: Vec<AnswerCount>,
    /// The first breach of each outcome.
    breaches: BTreeMap<usize, ReplayFinding>,
}

impl<'a> OutcomeBook<'a> {
    pub(super) fn new(trace: &'a BackendsTrace) -> Self {
        Self {
            trace,
            counts: vec![AnswerCount::default(); trace.outcomes.len()],
            breaches: BTreeMap::new(),
        }
    }

    /// Counts one answer that a caller of `host` got.
    pub(super) fn answer(&mut self, center: &str, host: &str, bad: bool, at: Duration) {
        for (index, outcome) in self.trace.outcomes.iter().enumerate() {
            let outcome = &outcome.value;
            if is_due(outcome, at) && names_member(&outcome.hosts, center, host) {
                self.counts[index].all += 1;
                self.counts[index].bad += u64::from(bad);
            }
        }
    }

    /// Checks what a host sees now.
    pub(super) fn look(&mut self, host: &HostView, at: Duration) {
        for index in 0..self.trace.outcomes.len() {
            let outcome = &self.trace.outcomes[index].value;
            if !is_due(outcome, at) || !names_member(&outcome.hosts, &host.center, &host.name) {
                continue;
            }
            if outcome
                .floor_held
                .is_some_and(|held| held != host.floor_held)
            {
                self.breach(index, at, format!("{}: the floor is not held", host.name));
            }
            let Some(out) = outcome.out else { continue };
            let named = host
                .servers
                .iter()
                .filter(|server| names_member(&outcome.servers, &server.center, &server.name));
            if let Some(server) = named.into_iter().find(|server| server.out != out) {
                let state = if server.out { "out" } else { "in use" };
                let text = format!("{}: {} is {state}", host.name, server.name);
                self.breach(index, at, text);
            }
        }
    }

    fn breach(&mut self, index: usize, at: Duration, text: String) {
        let line = self.trace.outcomes[index].referenced.line();
        self.breaches
            .entry(index)
            .or_insert(ReplayFinding { line, at, text });
    }

    /// The outcomes that did not hold, in the order of the file.
    pub(super) fn close(mut self) -> Vec<ReplayFinding> {
        for index in 0..self.trace.outcomes.len() {
            let outcome = &self.trace.outcomes[index].value;
            let AnswerCount { all, bad } = self.counts[index];
            let end = Duration::from_secs_f64(outcome.to);
            let share = 100.0 * bad as f64 / all.max(1) as f64;
            if outcome.bad_answers.is_some_and(|most| share > most) {
                self.breach(index, end, format!("{share:.2} % of {all} answers are bad"));
            }
            if outcome.answers.is_some_and(|least| all < least) {
                self.breach(index, end, format!("{all} answers"));
            }
        }
        self.breaches.into_values().collect()
    }
}

fn is_due(outcome: &TraceOutcome, at: Duration) -> bool {
    let now = at.as_secs_f64();
    outcome.from <= now && now <= outcome.to
}
