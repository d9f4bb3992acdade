//! Caller listener and forwarding: the decisions that grow with the tree.

use super::{
    fit::FitPoint,
    probe::{NANOS, best_of, nanos_each, on_fresh_heap, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{TreeSize, snapshot},
    target::{REVISION_RATE, ROUTES, SERVICES, TEAMS, UPSTREAMS},
};
use kws_forward::RoutingView;
use kws_membership::KeyIndex;
use kws_protocol::{FleetSnapshot, KeyDigest};
use std::sync::Arc;

const ROUTE_SIZES: [usize; 3] = [100, 400, ROUTES];
const TEAM_SIZES: [usize; 3] = [2_000, 20_000, TEAMS];
const LOOKUPS: usize = 2_000;
/// The part of the added time that finding the route may take, in nanoseconds.
const ROUTE_BUDGET: f64 = 0.05 * 1.1e6;

/// Measures the role.
pub fn measure() -> RoleReport {
    let routes = ROUTE_SIZES.map(|routes| FitPoint::new(routes, route_nanos(routes)));
    let routes = MeasuredSlope::new("find a route", "ns", "routes", routes.into(), ROUTES as f64);
    let [build, find, bytes] = key_slopes();
    let route = routes.at_target();
    let cost = RoleCost {
        core: build.at_target() * 1e6 / NANOS * REVISION_RATE,
        memory: bytes.at_target(),
        ..RoleCost::default()
    };
    RoleReport {
        role: "Caller listener and forwarding",
        slopes: vec![routes, build, find, bytes],
        cost,
        lines: vec![BudgetLine {
            what: "finding the route, of 1.1 ms in all",
            value: route,
            budget: ROUTE_BUDGET,
            unit: "ns",
        }],
    }
}

fn route_nanos(routes: usize) -> f64 {
    let tree = snapshot(
        TreeSize {
            hosts: 3,
            services: SERVICES.min(routes),
            upstreams: 4 * SERVICES,
            routes,
            teams: 1,
        },
        1,
    );
    let paths: Vec<String> = (0..routes)
        .map(|route| format!("/part-{route:04}/item"))
        .collect();
    let view = RoutingView::new(tree);
    let find = |call: usize| {
        let path = &paths[call % paths.len()];
        view.route("gateway.example", path, "GET").is_some()
    };
    best_of(5, || nanos_each(LOOKUPS, find)) / LOOKUPS as f64
}

fn key_slopes() -> [MeasuredSlope; 3] {
    let mut build = Vec::new();
    let mut find = Vec::new();
    let mut bytes = Vec::new();
    for teams in TEAM_SIZES {
        let size = TreeSize {
            hosts: 3,
            services: 1,
            upstreams: UPSTREAMS / SERVICES,
            routes: 1,
            teams,
        };
        let tree = snapshot(size, 1);
        let (nanos, lookup, held) = on_fresh_heap(move || index_costs(&tree));
        build.push(FitPoint::new(teams, nanos / 1e6));
        find.push(FitPoint::new(teams, lookup));
        bytes.push(FitPoint::new(teams, held));
    }
    let target = TEAMS as f64;
    [
        MeasuredSlope::new("index the keys of a revision", "ms", "teams", build, target),
        MeasuredSlope::new("find a key", "ns", "teams", find, target),
        MeasuredSlope::new("index of keys held", "bytes", "teams", bytes, target),
    ]
}

/// Nanoseconds to build an index, nanoseconds to find a key, and bytes held.
fn index_costs(tree: &Arc<FleetSnapshot>) -> (f64, f64, f64) {
    let before = resident();
    let index = KeyIndex::new(&tree.settings);
    let held = resident() - before;
    let build = best_of(3, || KeyIndex::new(&tree.settings));
    let keys: Vec<KeyDigest> = tree
        .settings
        .teams
        .values()
        .flat_map(|team| team.keys.iter().copied())
        .collect();
    let lookup = nanos_each(LOOKUPS * 10, |call| {
        index.find(&keys[call * 7919 % keys.len()]) == index.find(&keys[0])
    });
    // Two keys are looked up in each call.
    (build, lookup / 2.0, held)
}
