//! Names that a trace uses without making them.

use super::trace::{ALL, FleetTrace, PLATFORM, TraceStep};
use crate::ReplayFinding;
use std::{collections::BTreeSet, time::Duration};

/// One finding for each unknown name, with the line that uses it.
pub(super) fn unknown_names(trace: &FleetTrace) -> Vec<ReplayFinding> {
    let known = known_names(trace);
    let finding = |line: u64, name: &str| {
        let unknown = !known.contains(name);
        unknown.then(|| ReplayFinding {
            line,
            at: Duration::ZERO,
            text: format!("unknown name `{name}`"),
        })
    };
    let mut findings = Vec::new();
    for event in &trace.events {
        let names = step_names(&event.value.step);
        let line = event.referenced.line();
        findings.extend(names.filter_map(|name| finding(line, name)));
    }
    for outcome in &trace.outcomes {
        let names = outcome.value.hosts.iter();
        let line = outcome.referenced.line();
        findings.extend(names.filter_map(|name| finding(line, name)));
    }
    findings
}

fn known_names(trace: &FleetTrace) -> BTreeSet<&str> {
    let mut known = BTreeSet::from([ALL, PLATFORM]);
    for (region, names) in &trace.hosts {
        known.insert(region);
        known.extend(names.iter().map(String::as_str));
    }
    for event in &trace.events {
        if let TraceStep::Start(start) = &event.value.step {
            known.extend([start.host.as_str(), start.region.as_str()]);
        }
    }
    known
}

/// The hosts, regions and ends of links in a step.
fn step_names(step: &TraceStep) -> Box<dyn Iterator<Item = &str> + '_> {
    let (first, second): (&[String], &[String]) = match step {
        TraceStep::Publish(publish) => (&publish.remove, &publish.leaving),
        TraceStep::Stale(stale) => (&stale.hosts, &[]),
        TraceStep::Fresh(names)
        | TraceStep::Pause(names)
        | TraceStep::Resume(names)
        | TraceStep::Kill(names) => (names, &[]),
        TraceStep::Cut(link) | TraceStep::Heal(link) => (&link.from, &link.to),
        TraceStep::Slow(link) => (&link.from, &link.to),
        TraceStep::Lossy(link) => (&link.from, &link.to),
        TraceStep::PlatformDown | TraceStep::PlatformUp | TraceStep::Start(_) => (&[], &[]),
    };
    Box::new(first.iter().chain(second).map(String::as_str))
}
