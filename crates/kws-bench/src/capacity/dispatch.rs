//! Choice of backend server, queues and subsets.

use super::{
    fit::FitPoint,
    health::{peer_digest, services, tree},
    probe::{best_of, nanos_each, on_fresh_heap, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{host_name, region_name, service_name, team_name},
    target::{HOST_REQUESTS, HOSTS, REGION_PEERS, REGIONS, REVISION_RATE, UPSTREAMS},
};
use kws_dispatch::{DispatchAction, DispatchRequest, Dispatcher, TicketId, TicketOutcome};
use kws_health::HealthMonitor;
use kws_protocol::{FleetSnapshot, TryKind};
use std::time::Duration;
use tokio::time::Instant;

const UPSTREAM_SIZES: [usize; 3] = [100, 1_000, UPSTREAMS];
/// Teams with a request in one queue.
const WAITING_SIZES: [usize; 3] = [10, 30, 60];
const REQUESTS: usize = 2_000;
const TICKS: usize = 20;
/// Ticks of the dispatcher in a second.
const TICK_RATE: f64 = 100.0;
/// Connections that a server takes, and the fewest that are of use to a host.
const CONNECTIONS: f64 = 330.0;
const MIN_CONNECTIONS: f64 = 2.0;

/// What one host measured at a number of servers.
struct DispatchCost {
    adopt: f64,
    request: f64,
    tick: f64,
    receive: f64,
    held: f64,
}

/// Measures the role.
pub fn measure() -> RoleReport {
    let costs = UPSTREAM_SIZES.map(|upstreams| {
        let tree = tree(upstreams);
        let cost = on_fresh_heap(move || dispatch_cost(&tree, upstreams));
        (upstreams, cost)
    });
    let slope = |what, unit, value: fn(&DispatchCost) -> f64| {
        let points = costs.iter();
        let points = points.map(|(upstreams, cost)| FitPoint::new(*upstreams, value(cost)));
        MeasuredSlope::new(what, unit, "upstreams", points.collect(), UPSTREAMS as f64)
    };
    let adopt = slope("adopt a revision, with subsets", "ms", |cost| {
        cost.adopt / 1e6
    });
    let request = slope("queue, choose and end one request", "ns", |cost| {
        cost.request
    });
    let tick = slope("one tick, of which there are 100 a second", "us", |cost| {
        cost.tick / 1e3
    });
    let receive = slope("take a peer's requests in flight", "us", |cost| {
        cost.receive / 1e3
    });
    let held = slope("servers and peers held", "MB", |cost| cost.held / 1e6);
    let core = request.at_target() * HOST_REQUESTS / 1e9
        + tick.at_target() * TICK_RATE / 1e6
        + receive.at_target() * REGION_PEERS as f64 / 1e6
        + adopt.at_target() * REVISION_RATE / 1e3;
    let lines = vec![
        BudgetLine {
            what: "hosts at one server, two connections each",
            value: (CONNECTIONS / MIN_CONNECTIONS).floor() * MIN_CONNECTIONS,
            budget: CONNECTIONS,
            unit: "connections",
        },
        BudgetLine {
            what: "hosts at one server without subsets, two connections each",
            value: HOSTS as f64 * MIN_CONNECTIONS,
            budget: CONNECTIONS,
            unit: "connections",
        },
        BudgetLine {
            what: "the dispatcher's thread held by one revision, of a tick",
            value: adopt.at_target(),
            budget: 1e3 / TICK_RATE,
            unit: "ms",
        },
    ];
    RoleReport {
        role: "Choice and subsetting",
        cost: RoleCost {
            core,
            memory: held.at_target() * 1e6,
            ..RoleCost::default()
        },
        slopes: vec![adopt, request, tick, receive, held, waiting_slope()],
        lines,
    }
}

fn dispatch_cost(tree: &FleetSnapshot, upstreams: usize) -> DispatchCost {
    let now = Instant::now();
    let mut judge = HealthMonitor::new(host_name(0));
    judge.apply_settings(tree, now);
    let before = resident();
    let mut dispatcher = new_dispatcher();
    let adopt = best_of(3, || {
        dispatcher = new_dispatcher();
        dispatcher.apply_settings(tree, now)
    });
    let mut receive = 0.0;
    for peer in 1..=REGION_PEERS {
        let message = peer_digest(peer, 0, upstreams);
        let from = host_name(peer * REGIONS);
        receive += nanos_each(1, |_| dispatcher.receive(&from, &message, now));
    }
    let held = resident() - before;
    let tick = nanos_each(TICKS, |_| dispatcher.tick(&judge, now));
    // The peers' digests are too old to count by then: at few servers they would take all room.
    let later = now + Duration::from_secs(5);
    dispatcher.tick(&judge, later);
    let services = services(upstreams);
    let request = nanos_each(REQUESTS, |call| {
        serve(&mut dispatcher, &judge, call, services, later);
    });
    DispatchCost {
        adopt,
        request,
        tick,
        receive: receive / REGION_PEERS as f64,
        held,
    }
}

fn new_dispatcher() -> Dispatcher {
    Dispatcher::new(host_name(0), region_name(0), "center-0".into())
}

fn serve(
    dispatcher: &mut Dispatcher,
    judge: &HealthMonitor,
    call: usize,
    services: usize,
    now: Instant,
) {
    let request = new_request(call, services, now);
    for action in dispatcher.enqueue(request, judge, now) {
        if let DispatchAction::Grant(grant) = action {
            dispatcher.complete(grant.ticket, TicketOutcome::Responded, judge, now);
        }
    }
}

fn new_request(call: usize, services: usize, now: Instant) -> DispatchRequest {
    DispatchRequest {
        ticket: TicketId(call as u64),
        service: service_name(call % services),
        team: team_name(call),
        weight: 1.0,
        objective: None,
        deadline: now + Duration::from_mins(10),
        priority: 0,
        repeatable: true,
        kind: TryKind::First,
        bytes: 1_024,

        unserved_share: 0.0,
        excluded: Vec::new(),
    }
}

/// What one more request costs while requests of other teams wait for the same service.
fn waiting_slope() -> MeasuredSlope {
    let upstreams = UPSTREAM_SIZES[0];
    let tree = tree(upstreams);
    let points = WAITING_SIZES.map(|waiting| {
        let now = Instant::now();
        let mut judge = HealthMonitor::new(host_name(0));
        judge.apply_settings(&tree, now);
        let mut dispatcher = new_dispatcher();
        dispatcher.apply_settings(&tree, now);
        let mut calls = 0..;
        let mut queued = 0;
        while queued < waiting {
            let request = new_request(calls.next().unwrap_or(0), 1, now);
            queued += usize::from(dispatcher.enqueue(request, &judge, now).is_empty());
        }
        let request = new_request(calls.next().unwrap_or(0), 1, now);
        let nanos = nanos_each(1, |_| dispatcher.enqueue(request.clone(), &judge, now));
        FitPoint::new(waiting, nanos / 1e3)
    });
    MeasuredSlope::new(
        "queue one more request behind others",
        "us",
        "teams that wait for the service",
        points.into(),
        WAITING_SIZES[2] as f64,
    )
}
