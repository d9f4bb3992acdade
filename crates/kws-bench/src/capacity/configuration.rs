//! Platform watch and spread of configuration.

use super::{
    fit::FitPoint,
    probe::{best_of, on_fresh_heap, peak, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{BRANCH_TEAMS, TreeSize, published, team_branch},
    target::{
        CALL_BUDGET, CHANGE_BUDGET, CHANGE_RATE, HOSTS, LEASE, LINK_BITS, LIST_RATE, MEMORY_BUDGET,
        NETWORK_BUDGET, REGION_HOSTS, REGIONS, REVISION_RATE, ROUTES, SERVICES, TEAMS, UPSTREAMS,
    },
};
use kws_protocol::{ConfigMessage, PeerMessage, PublishedValues, TreeRevision, encode_message};
use kws_tree::resolve;
use std::sync::Arc;

const TEAM_SIZES: [usize; 3] = [2_000, 20_000, TEAMS];
const BRANCH_SIZES: [usize; 3] = [500, 2_000, BRANCH_TEAMS];
/// Calls of one host in the first second of refusals, by the daemon's pauses: 190 ms on average
/// at first, doubled each time.
const FIRST_TRIES: f64 = 3.0;
/// The longest of these pauses on average, in seconds.
const LONGEST_PAUSE: f64 = 0.75;
/// Bits of a byte.
const BYTE_BITS: f64 = 8.0;
/// Answers of the platform in a lease; each is a call.
const WAITS_PER_LEASE: f64 = 3.0;
/// Bytes of a watch that ends without news: heads of question and answer, and the packets.
const IDLE_WATCH: f64 = 400.0;
/// The most peers that a host pushes a change to.
const PUSHES: f64 = 8.0;
/// Each three bytes become four letters.
const BASE64: (usize, usize) = (3, 4);
/// What an entry of an answer has around its key and value, in bytes.
const ENTRY_BYTES: usize = 96;

/// What one tree costs when it comes into force.
struct TreeCost {
    resolve: f64,
    digest: f64,
    peak: f64,
    kept: f64,
    read: f64,
}

/// Measures both roles; has to be the first that a process measures, since it looks at its peak.
pub fn measure() -> [RoleReport; 2] {
    let costs = TEAM_SIZES.map(|teams| {
        let cost = on_fresh_heap(move || tree_cost(teams));
        (teams, cost)
    });
    let slope = |what, unit, value: fn(&TreeCost) -> f64| {
        let points = costs.iter();
        let points = points.map(|(teams, cost)| FitPoint::new(*teams, value(cost)));
        MeasuredSlope::new(what, unit, "teams", points.collect(), TEAMS as f64)
    };
    let read = slope("one read of all values", "bytes", |cost| cost.read);
    let resolve = slope("check a revision", "ms", |cost| cost.resolve / 1e6);
    let digest = slope("digest a revision", "ms", |cost| cost.digest / 1e6);
    let peak = slope("peak while checked", "MB", |cost| cost.peak / 1e6);
    let kept = slope("kept with the values", "MB", |cost| cost.kept / 1e6);
    let watch = watch_report(read);
    let spread = spread_report(vec![resolve, digest, peak, kept]);
    [watch, spread]
}

fn tree_size(teams: usize) -> TreeSize {
    TreeSize {
        hosts: HOSTS,
        services: SERVICES,
        upstreams: UPSTREAMS,
        routes: ROUTES,
        teams,
    }
}

fn tree_cost(teams: usize) -> TreeCost {
    let before = resident();
    let values = published(tree_size(teams), 1);
    let digest = best_of(3, || values.digest());
    let mut snapshot = None;
    let time = best_of(1, || snapshot = resolve(&values).ok());
    assert!(snapshot.is_some(), "the synthetic tree is refused");
    let most = peak() - before;
    let kept = resident() - before;
    TreeCost {
        resolve: time,
        digest,
        peak: most,
        kept,
        read: read_bytes(&values),
    }
}

/// The body of an answer with all values.
fn read_bytes(values: &PublishedValues) -> f64 {
    let (plain, coded) = BASE64;
    let entries = values.values.iter();
    let bytes = entries.map(|(key, text)| {
        let coded = text.len().div_ceil(plain) * coded;
        ENTRY_BYTES + key.len() + coded
    });
    bytes.sum::<usize>() as f64
}

fn watch_report(read: MeasuredSlope) -> RoleReport {
    let bytes = read.at_target();
    let idle_calls = HOSTS as f64 * WAITS_PER_LEASE / LEASE;
    let change_calls = HOSTS as f64 * REVISION_RATE;
    let remote = (HOSTS - REGION_HOSTS) as f64 / (REGIONS - 1) as f64;
    let lines = vec![
        BudgetLine {
            what: "calls on the platform",
            value: idle_calls + change_calls,
            budget: CALL_BUDGET,
            unit: "/s",
        },
        BudgetLine {
            what: "calls in the second after a change",
            value: idle_calls + HOSTS as f64,
            budget: CALL_BUDGET,
            unit: "/s",
        },
        BudgetLine {
            what: "calls in the first second in which the platform refuses all",
            value: HOSTS as f64 * FIRST_TRIES,
            budget: CALL_BUDGET,
            unit: "/s",
        },
        BudgetLine {
            what: "calls while the platform goes on to refuse all",
            value: HOSTS as f64 / LONGEST_PAUSE,
            budget: CALL_BUDGET,
            unit: "/s",
        },
        BudgetLine {
            what: "bytes that a host reads for changes",
            value: bytes * REVISION_RATE,
            budget: NETWORK_BUDGET,
            unit: "B/s",
        },
        BudgetLine {
            what: "time on one link for a change to reach a region without the store",
            value: bytes * remote * BYTE_BITS / LINK_BITS,
            budget: CHANGE_BUDGET,
            unit: "s",
        },
    ];
    RoleReport {
        role: "Platform watch",
        slopes: vec![read],
        cost: RoleCost {
            core: 0.0,
            memory: bytes,
            network: IDLE_WATCH * WAITS_PER_LEASE / LEASE,
            messages: 0.0,
        },
        lines,
    }
}

fn spread_report(mut slopes: Vec<MeasuredSlope>) -> RoleReport {
    let [resolve, digest, peak, kept] = [0, 1, 2, 3].map(|at: usize| slopes[at].at_target());
    let mut bytes = Vec::new();
    let mut nanos = Vec::new();
    for teams in BRANCH_SIZES {
        let message = delta(teams);
        let frame = encode_message(&message).map_or(0, |frame| frame.len());
        bytes.push(FitPoint::new(teams, frame as f64));
        nanos.push(FitPoint::new(
            teams,
            best_of(5, || encode_message(&message)) / 1e6,
        ));
    }
    let target = BRANCH_TEAMS as f64;
    let bytes = MeasuredSlope::new(
        "delta of one branch",
        "bytes",
        "teams of the branch",
        bytes,
        target,
    );
    let nanos = MeasuredSlope::new(
        "encode the delta",
        "ms",
        "teams of the branch",
        nanos,
        target,
    );
    let seconds = (resolve + digest) / 1e3;
    let cost = RoleCost {
        core: (seconds + nanos.at_target() / 1e3 * PUSHES) * REVISION_RATE,
        memory: kept * 1e6,
        network: PUSHES * (bytes.at_target() * CHANGE_RATE + list_bytes() * LIST_RATE),
        messages: PUSHES * REVISION_RATE,
    };
    let lines = vec![
        BudgetLine {
            what: "peak while a revision is checked",
            value: peak,
            budget: MEMORY_BUDGET / 1e6,
            unit: "MB",
        },
        BudgetLine {
            what: "the lease's thread held by one check, of a third of the lease",
            value: seconds,
            budget: LEASE / WAITS_PER_LEASE,
            unit: "s",
        },
    ];
    slopes.extend([bytes, nanos]);
    RoleReport {
        role: "Configuration spread",
        slopes,
        cost,
        lines,
    }
}

/// A changed list on its way, which is one value.
fn list_bytes() -> f64 {
    let values = published(tree_size(1), 1).values;
    values
        .get("hosts.json")
        .map_or(f64::NAN, |text| text.len() as f64)
}

fn delta(teams: usize) -> PeerMessage {
    let text: Arc<str> = team_branch(0..teams).into();
    PeerMessage::Config(ConfigMessage::Delta {
        base: TreeRevision::first(41),
        revision: TreeRevision::first(42),
        digest: u64::MAX,
        set: vec![("teams-00.yaml".to_owned(), text)],
        removed: Vec::new(),
    })
}
