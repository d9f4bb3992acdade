//! Metrics and logs.

use super::{
    fit::FitPoint,
    probe::{best_of, nanos_each, on_fresh_heap, resident},
    report::{MeasuredSlope, RoleCost, RoleReport},
    synthetic::service_name,
    target::{HOST_REQUESTS, SERVICES},
};
use kws_admin::{FleetMetrics, RequestRecord};
use std::time::Duration;

const SERVICE_SIZES: [usize; 3] = [10, 90, SERVICES];
const STATUSES: [u16; 5] = [200, 404, 429, 502, 503];
const STATES: [&str; 5] = ["serving", "draining", "ejected", "leaving", "unlisted"];
const RECORDS: usize = 20_000;
/// Routes of each service: 1,600 over 270 services.
const ROUTES_EACH: usize = 6;
/// Reads of the metrics, a second.
const SCRAPE_RATE: f64 = 1.0 / 15.0;

/// What a number of services costs.
struct MetricCost {
    record: f64,
    render: f64,
    bytes: f64,
    held: f64,
}

/// Measures the role.
pub fn measure() -> RoleReport {
    let costs = SERVICE_SIZES.map(|services| {
        let cost = on_fresh_heap(move || metric_cost(services));
        (services, cost)
    });
    let slope = |what, unit, value: fn(&MetricCost) -> f64| {
        let points = costs.iter();
        let points = points.map(|(services, cost)| FitPoint::new(*services, value(cost)));
        MeasuredSlope::new(what, unit, "services", points.collect(), SERVICES as f64)
    };
    let record = slope("count one request", "ns", |cost| cost.record);
    let render = slope("render all metrics", "us", |cost| cost.render / 1e3);
    let bytes = slope("metrics as text", "bytes", |cost| cost.bytes);
    let held = slope("counters held", "bytes", |cost| cost.held);
    let core = record.at_target() * HOST_REQUESTS / 1e9 + render.at_target() * SCRAPE_RATE / 1e6;
    RoleReport {
        role: "Metrics and logs",
        cost: RoleCost {
            core,
            memory: held.at_target(),
            network: bytes.at_target() * SCRAPE_RATE,
            messages: 0.0,
        },
        slopes: vec![record, render, bytes, held],
        lines: Vec::new(),
    }
}

fn metric_cost(services: usize) -> MetricCost {
    let before = resident();
    let metrics = FleetMetrics::new().expect("the names are right");
    let names: Vec<_> = (0..services).map(service_name).collect();
    let routes: Vec<String> = (0..services * ROUTES_EACH)
        .map(|number| format!("route-{number}"))
        .collect();
    for name in &names {
        for state in STATES {
            metrics.set_servers(name.as_str(), state, 1);
        }
    }
    for (number, route) in routes.iter().enumerate() {
        for status in STATUSES {
            let name = &names[number % services];
            metrics.record_request(record(name.as_str(), route, status));
        }
    }
    let held = resident() - before;
    let count = |call: usize| {
        let name = &names[call % names.len()];
        let route = &routes[call % routes.len()];
        metrics.record_request(record(
            name.as_str(),
            route,
            STATUSES[call % STATUSES.len()],
        ));
    };
    MetricCost {
        record: nanos_each(RECORDS, count),
        render: best_of(5, || metrics.render()),
        bytes: metrics.render().map_or(f64::NAN, |text| text.len() as f64),
        held,
    }
}

fn record<'a>(service: &'a str, route: &'a str, status: u16) -> RequestRecord<'a> {
    RequestRecord {
        service,
        route,
        status,
        waited: Duration::from_millis(2),
        latency: Duration::from_millis(9),
    }
}
