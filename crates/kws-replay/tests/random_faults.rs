//! Whatever fails meanwhile, a withdrawn key stops by the stated bound, and healed hosts recover.

use kws_replay::{FleetModel, TraceModel};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::fmt::Write;

const HOSTS: [&str; 8] = [
    "turaida-1",
    "turaida-2",
    "ligatne-1",
    "ligatne-2",
    "ligatne-3",
    "iecava-1",
    "iecava-2",
    "tervete-1",
];

/// When faults end, in seconds.
const HEALED: f64 = 40.0;

/// The lease and the stale-region bound of the traces, in seconds.
const LEASE: f64 = 3.0;
const STALE_REGION: f64 = 5.0;

/// One fault as the step of a trace.
fn fault() -> impl Strategy<Value = String> {
    let host = || prop::sample::select(HOSTS.to_vec());
    let end = || {
        let mut ends = HOSTS.to_vec();
        ends.extend(["platform", "vidzemes", "zemgales", "all"]);
        prop::sample::select(ends)
    };
    prop_oneof![
        6 => (end(), end()).prop_map(|(from, to)| format!("{{cut: {{from: [{from}], to: [{to}]}}}}")),
        2 => (end(), end()).prop_map(|(from, to)| format!("{{heal: {{from: [{from}], to: [{to}]}}}}")),
        3 => (end(), end(), 1_u32..40).prop_map(|(from, to, tenths)| format!(
            "{{slow: {{from: [{from}], to: [{to}], seconds: {}.{}}}}}", tenths / 10, tenths % 10
        )),
        2 => (end(), end(), 2_u32..5).prop_map(|(from, to, every)| format!(
            "{{lossy: {{from: [{from}], to: [{to}], every: {every}}}}}"
        )),
        4 => host().prop_map(|host| format!("{{pause: [{host}]}}")),
        4 => host().prop_map(|host| format!("{{resume: [{host}]}}")),
        1 => host().prop_map(|host| format!("{{kill: [{host}]}}")),
        2 => Just(String::from("platform_down")),
        2 => Just(String::from("platform_up")),
        1 => (host(), 0_u32..99).prop_map(|(host, life)| format!(
            "{{start: {{host: {host}-{life}, region: vidzemes}}}}"
        )),
    ]
}

/// The trace of some faults, at tenths of a second, around a withdrawal.
fn trace(withdrawn: u32, faults: &[(u32, String)]) -> String {
    let mut text = format!(
        "feature: fleet\nwhy: random faults\nlease: {LEASE}\nstale_region: {STALE_REGION}\n\
         length: 60\nkeys: [orchard, school]\nhosts:\n  vidzemes: [{}]\n  zemgales: [{}]\nevents:\n",
        HOSTS[..5].join(", "),
        HOSTS[5..].join(", "),
    );
    for (tenths, step) in faults {
        let _ = writeln!(
            text,
            "  - {{at: {}.{}, step: {step}}}",
            tenths / 10,
            tenths % 10
        );
    }
    let stopped = f64::from(withdrawn) + STALE_REGION;
    let recovered = HEALED + 2.0 * LEASE;
    let _ = write!(
        text,
        "  - {{at: {withdrawn}, step: {{publish: {{keys: [orchard]}}}}}}
  - {{at: {HEALED}, step: {{heal: {{from: [all, platform], to: [all, platform]}}}}}}
  - {{at: {HEALED}, step: platform_up}}
  - {{at: {HEALED}, step: {{resume: [{}]}}}}
outcomes:
  - {{from: {stopped}, to: 60, hosts: [all], key: school, admits: false}}
  - {{from: {stopped}, to: 60, hosts: [all], min_revision: 2}}
  - {{from: {recovered}, to: 60, hosts: [all], current: true, min_revision: 2}}
",
        HOSTS.join(", ")
    );
    text
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..Config::default()
    })]

    #[test]
    fn bounded_and_recovering(
        withdrawn in 8_u32..25,
        faults in prop::collection::vec((50_u32..399, fault()), 1..30),
    ) {
        let text = trace(withdrawn, &faults);
        let findings = FleetModel::default().replay(&text).expect("a trace");
        prop_assert!(findings.is_empty(), "{findings:?}\n{text}");
    }
}
