//! Health digests and judgement.

use super::{
    fit::FitPoint,
    probe::{nanos_each, on_fresh_heap, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{TreeSize, host_name, server_name, service_name, snapshot},
    target::{
        FRAME_OVERHEAD, HOST_REQUESTS, HOSTS, NETWORK_BUDGET, REGION_PEERS, REGIONS, SERVICES,
        UPSTREAMS,
    },
};
use kws_health::{AvailabilitySource, HealthMonitor, ResponseOutcome};
use kws_protocol::{FleetSnapshot, HealthMessage, HealthReport, PeerMessage, encode_message};
use std::time::Duration;
use tokio::time::Instant;

const UPSTREAM_SIZES: [usize; 3] = [100, 1_000, UPSTREAMS];
const PEER_SIZES: [usize; 3] = [20, 60, REGION_PEERS];
/// Servers of which a digest tells.
const SEEN_SIZES: [usize; 3] = [10, 40, 89];
/// Seconds of answers that a judge holds.
const EVIDENCE_SECONDS: usize = 10;
/// Judgements a second.
const JUDGE_RATE: f64 = 4.0;

/// What one host measured at a number of servers.
struct JudgeCost {
    observe: f64,
    digest: f64,
    encode: f64,
    report: f64,
}

/// Measures the role.
pub fn measure() -> RoleReport {
    let costs = UPSTREAM_SIZES.map(|upstreams| (upstreams, own_cost(upstreams)));
    let own = |what, unit, value: fn(&JudgeCost) -> f64| {
        let points = costs.iter();
        let points = points.map(|(upstreams, cost)| FitPoint::new(*upstreams, value(cost)));
        MeasuredSlope::new(what, unit, "upstreams", points.collect(), UPSTREAMS as f64)
    };
    let observe = own("take one answer", "ns", |cost| cost.observe);
    let digest = own("make a digest", "us", |cost| cost.digest / 1e3);
    let encode = own("encode it", "us", |cost| cost.encode / 1e3);
    let report = own("read every standing", "us", |cost| cost.report / 1e3);
    let bytes = digest_bytes();
    let tree = tree(UPSTREAMS);
    let [receive, tick, held] = on_fresh_heap(move || peer_slopes(&tree));
    let peers = REGION_PEERS as f64;
    let micros = digest.at_target()
        + encode.at_target() * peers
        + report.at_target()
        + receive.at_target() * peers
        + tick.at_target() * JUDGE_RATE;
    let network = (bytes.at_target() + FRAME_OVERHEAD) * peers;
    let lines = vec![BudgetLine {
        what: "a digest to each peer of the region each second",
        value: network,
        budget: NETWORK_BUDGET,
        unit: "B/s",
    }];
    RoleReport {
        role: "Health digests",
        cost: RoleCost {
            core: micros / 1e6 + observe.at_target() * HOST_REQUESTS / 1e9,
            memory: held.at_target() * 1e6,
            network,
            messages: peers,
        },
        slopes: vec![observe, digest, bytes, encode, report, receive, tick, held],
        lines,
    }
}

/// A digest holds what was seen in its second: no more servers than requests.
fn digest_bytes() -> MeasuredSlope {
    let points = SEEN_SIZES.map(|seen| {
        let message = PeerMessage::Health(peer_digest(0, 0, seen));
        let bytes = encode_message(&message).map_or(f64::NAN, |frame| frame.len() as f64);
        FitPoint::new(seen, bytes)
    });
    MeasuredSlope::new(
        "bytes of a digest",
        "bytes",
        "servers seen in a second",
        points.into(),
        HOST_REQUESTS,
    )
}

/// The tree of a number of servers.
pub fn tree(upstreams: usize) -> FleetSnapshot {
    let size = TreeSize {
        hosts: HOSTS,
        services: services(upstreams),
        upstreams,
        routes: 1,
        teams: 1,
    };
    FleetSnapshot::clone(&snapshot(size, 1))
}

/// The services that `upstreams` servers make, at the target's servers a service.
pub fn services(upstreams: usize) -> usize {
    (upstreams * SERVICES / UPSTREAMS).max(1)
}

/// The servers that the `second`-th second of a host's requests reach.
fn reached(host: usize, second: usize, upstreams: usize) -> impl Iterator<Item = usize> {
    let first = host * 977 + second * 89;
    (0..HOST_REQUESTS as usize).map(move |request| (first + request * 7919) % upstreams)
}

/// What a peer saw in one second.
pub fn peer_digest(host: usize, second: usize, upstreams: usize) -> HealthMessage {
    let services = services(upstreams);
    let mut servers: Vec<usize> = reached(host, second, upstreams).collect();
    servers.sort_unstable();
    servers.dedup();
    let digest = |server: usize| HealthReport {
        service: service_name(server % services),
        server: server_name(server),
        responses: 1,
        failures: 0,
        median_latency: Duration::from_micros(8_000 + (server as u64 % 100) * 10),
        in_flight: 1,
        draining: false,
        ejected: false,
    };
    HealthMessage::Reports(servers.into_iter().map(digest).collect())
}

fn own_cost(upstreams: usize) -> JudgeCost {
    let tree = tree(upstreams);
    let services = services(upstreams);
    let now = Instant::now();
    let mut judge = HealthMonitor::new(host_name(0));
    judge.apply_settings(&tree, now);
    let names: Vec<_> = reached(0, 0, upstreams)
        .map(|server| (service_name(server % services), server_name(server)))
        .collect();
    let observe = nanos_each(names.len(), |call| {
        let (service, server) = &names[call];
        let latency = Duration::from_millis(8);
        judge.record_outcome(service, server, ResponseOutcome::Succeeded, latency, now);
    });
    let mut digests = Vec::new();
    let digest = nanos_each(1, |_| digests = judge.take_reports(now));
    let message = PeerMessage::Health(HealthMessage::Reports(digests));
    let encode = nanos_each(100, |_| encode_message(&message));
    let report = nanos_each(1, |_| read_standings(&judge, &tree, now));
    JudgeCost {
        observe,
        digest,
        encode,
        report,
    }
}

fn read_standings(judge: &HealthMonitor, tree: &FleetSnapshot, now: Instant) -> usize {
    let services = tree.settings.services.iter();
    services
        .flat_map(|(service, settings)| {
            let servers = settings.servers.keys();
            servers.map(move |server| judge.availability(service, server, now))
        })
        .filter(|standing| standing.unavailable.is_none())
        .count()
}

fn peer_slopes(tree: &FleetSnapshot) -> [MeasuredSlope; 3] {
    let mut judge = HealthMonitor::new(host_name(0));
    let start = Instant::now();
    judge.apply_settings(tree, start);
    let before = resident();
    let mut receive = Vec::new();
    let mut tick = Vec::new();
    let mut held = Vec::new();
    let mut heard = 0;
    for peers in PEER_SIZES {
        let mut nanos = 0.0;
        for peer in heard + 1..=peers {
            nanos += hear(&mut judge, peer, start);
        }
        let messages = (peers - heard) * EVIDENCE_SECONDS;
        heard = peers;
        held.push(FitPoint::new(peers, (resident() - before) / 1e6));
        receive.push(FitPoint::new(peers, nanos / messages as f64 / 1e3));
        let now = start + Duration::from_secs(EVIDENCE_SECONDS as u64);
        let time = (0..3).map(|_| nanos_each(1, |_| judge.tick(now)));
        tick.push(FitPoint::new(
            peers,
            time.fold(f64::INFINITY, f64::min) / 1e3,
        ));
    }
    let slope =
        |what, unit, points| MeasuredSlope::new(what, unit, "peers", points, REGION_PEERS as f64);
    [
        slope("take a peer's digest", "us", receive),
        slope("judge every server, 4 times a second", "us", tick),
        slope("evidence of peers held", "MB", held),
    ]
}

/// Takes a peer's digests of the whole window; gives the time in the judge.
fn hear(judge: &mut HealthMonitor, peer: usize, start: Instant) -> f64 {
    let from = host_name(peer * REGIONS);
    let mut nanos = 0.0;
    for second in 0..EVIDENCE_SECONDS {
        let message = peer_digest(peer, second, UPSTREAMS);
        let now = start + Duration::from_secs(second as u64);
        nanos += nanos_each(1, |_| judge.receive(&from, &message, now));
    }
    nanos
}
