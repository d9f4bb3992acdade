//! Freshness: the lease's rounds, in virtual time.

use super::{
    fit::FitPoint,
    probe::{best_of, nanos_each},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    target::{FRAME_OVERHEAD, HOSTS, LINK_BITS, NETWORK_BUDGET},
};
use crate::fleet::{fault::FaultKind, measure as measure_fleet};
use kws_protocol::{
    LeaseMessage, PeerMessage, RevisionView, TreeRevision, decode_message, encode_message,
};
use std::time::{Duration, Instant};

/// Regions of more than 48 hosts, which are sampled: a smaller one follows another line.
const HOST_SIZES: [usize; 3] = [120, 300, HOSTS];
/// Seconds of a run in virtual time.
const RUN_SECONDS: f64 = 28.0;
const CODED: usize = 20_000;
/// Measures the role.
///
/// # Errors
/// When a trace does not parse.
pub fn measure() -> eyre::Result<RoleReport> {
    let mut messages = Vec::new();
    let mut bytes = Vec::new();
    let mut busiest = Vec::new();
    let mut cross = Vec::new();
    let mut core = Vec::new();
    for hosts in HOST_SIZES {
        let start = Instant::now();
        let totals = measure_fleet(hosts, FaultKind::Calm)?;
        let share = start.elapsed().as_secs_f64() / RUN_SECONDS / hosts as f64;
        messages.push(FitPoint::new(hosts, totals.messages_per_host));
        bytes.push(FitPoint::new(hosts, totals.bytes_per_host));
        busiest.push(FitPoint::new(hosts, totals.busiest_bytes));
        cross.push(FitPoint::new(hosts, totals.cross_bits / 1e3));
        core.push(FitPoint::new(hosts, share * 1e2));
    }
    let slope = |what, unit, points| MeasuredSlope::new(what, unit, "hosts", points, HOSTS as f64);
    let messages = slope("messages of the lease", "/s a host", messages);
    let bytes = slope("bytes of the lease", "B/s a host", bytes);
    let busiest = slope("bytes of the busiest host", "B/s", busiest);
    let cross = slope("bits between two regions", "kbit/s", cross);
    let core = slope("decisions and encoding", "% of a core", core);
    let coding = coding_nanos() / 1e9 * messages.at_target();
    let cost = RoleCost {
        core: core.at_target() / 1e2 + coding,
        memory: 0.0,
        network: bytes.at_target() + messages.at_target() * FRAME_OVERHEAD,
        messages: messages.at_target(),
    };
    let lines = vec![
        BudgetLine {
            what: "the busiest host's lease traffic",
            value: busiest.at_target(),
            budget: NETWORK_BUDGET,
            unit: "B/s",
        },
        BudgetLine {
            what: "lease traffic on the link",
            value: cross.at_target(),
            budget: LINK_BITS / 1e3,
            unit: "kbit/s",
        },
    ];
    Ok(RoleReport {
        role: "Freshness",
        slopes: vec![messages, bytes, busiest, cross, core],
        cost,
        lines,
    })
}

/// Nanoseconds to encode one message and to decode one.
fn coding_nanos() -> f64 {
    let view = RevisionView {
        revision: TreeRevision::first(1 << 20),
        digest: u64::MAX / 3,
        confirmed_age: Duration::from_millis(700),
    };
    let message = PeerMessage::Lease(LeaseMessage::Reply {
        nonce: u64::MAX / 5,
        view,
        voting: true,
    });
    let code = |_| encode_message(&message).and_then(|frame| decode_message(&frame));
    best_of(5, || nanos_each(CODED, code)) / CODED as f64
}
