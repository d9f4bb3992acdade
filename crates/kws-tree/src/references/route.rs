//! Checks of routes: they lead somewhere, and each gets requests.

use super::field_finding;
use crate::{Finding, Problem, fields::name_finding, merge::MergedTree};
use kws_protocol::{FleetSettings, RouteAccess, RouteSettings};
use std::collections::BTreeMap;

/// What a request must match to come to a route, methods apart.
type RoutePlace<'a> = (Option<&'a str>, &'a str);

pub(super) fn check_routes(
    tree: &MergedTree,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) {
    let mut places: BTreeMap<RoutePlace<'_>, Vec<&RouteSettings>> = BTreeMap::new();
    for route in settings.routes.values() {
        check_targets(tree, settings, route, findings);
        check_times(tree, route, findings);
        let others = places
            .entry((route.host.as_deref(), &route.path))
            .or_default();
        if let Some(first) = others.iter().find(|other| hides(other, route)) {
            let first = first.name.to_string();
            let entry = &tree.routes[route.name.as_str()];
            findings.push(name_finding(entry, Problem::RouteShadowed { first }));
        }
        others.push(route);
    }
}

fn check_targets(
    tree: &MergedTree,
    settings: &FleetSettings,
    route: &RouteSettings,
    findings: &mut Vec<Finding>,
) {
    let entry = &tree.routes[route.name.as_str()];
    let service = &route.service;
    if entry.member("service").is_some() && !settings.services.contains_key(service) {
        let problem = Problem::DanglingService(service.to_string());
        findings.push(field_finding(entry, "service", problem));
    }
    for part in &route.split {
        if !settings.services.contains_key(&part.service) {
            let problem = Problem::DanglingService(part.service.to_string());
            findings.push(field_finding(entry, "split", problem));
        }
    }
    if let RouteAccess::Teams(teams) = &route.access {
        for team in teams {
            if !settings.teams.contains_key(team) {
                let problem = Problem::DanglingTeam(team.to_string());
                findings.push(field_finding(entry, "access", problem));
            }
        }
    }
}

fn check_times(tree: &MergedTree, route: &RouteSettings, findings: &mut Vec<Finding>) {
    let entry = &tree.routes[route.name.as_str()];
    if route.hedge.is_some_and(|hedge| hedge >= route.deadline) {
        let problem = Problem::Contradiction("`hedge` is not shorter than `deadline`");
        findings.push(field_finding(entry, "hedge", problem));
    }
    if route
        .objective
        .is_some_and(|objective| objective > route.deadline)
    {
        let problem = Problem::Contradiction("`objective` is longer than `deadline`");
        findings.push(field_finding(entry, "objective", problem));
    }
    if route.hedge.is_some() && route.repeatable == Some(false) {
        let problem = Problem::Contradiction("a request that is not `repeatable` has no `hedge`");
        findings.push(field_finding(entry, "hedge", problem));
    }
}

/// Whether `first` serves a method that `second` serves too; no methods means every one.
fn hides(first: &RouteSettings, second: &RouteSettings) -> bool {
    first.methods.is_empty()
        || second.methods.is_empty()
        || !first.methods.is_disjoint(&second.methods)
}
