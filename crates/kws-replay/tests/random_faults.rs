//! Whatever fails meanwhile, a withdrawn key stops by the stated bound, and healed hosts recover.

use kws_replay::{FleetModel, TraceModel};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::fmt::Write;

const VIDZEMES: [&str; 5] = [
    "turaida-1",
    "turaida-2",
    "ligatne-1",
    "ligatne-2",
    "ligatne-3",
];
const ZEMGALES: [&str; 3] = ["iecava-1", "iecava-2", "tervete-1"];

/// Less than half of each region.
const MINORITY: [&str; 3] = ["turaida-1", "ligatne-3", "tervete-1"];

/// Times in seconds: the lease, the short and the long bound of a stale region, the end of faults.
const LEASE: f64 = 3.0;
const SHORT_BOUND: f64 = 5.0;
const LONG_BOUND: f64 = 1_000.0;
const HEALED: f64 = 40.0;

/// Longer than a message takes.
const TRAVEL: f64 = 0.1;

fn all_hosts() -> Vec<&'static str> {
    VIDZEMES.into_iter().chain(ZEMGALES).collect()
}

/// Every end of a link, and groups of them.
fn all_ends() -> Vec<&'static str> {
    let groups = ["platform", "vidzemes", "zemgales", "all"];
    all_hosts().into_iter().chain(groups).collect()
}

/// A link to or from one of `victims`.
fn link(victims: &[&'static str], ends: &[&'static str]) -> impl Strategy<Value = String> {
    let victim = prop::sample::select(victims.to_vec());
    let end = prop::sample::select(ends.to_vec());
    (victim, end, any::<bool>()).prop_map(|(victim, end, turned)| {
        let (from, to) = if turned { (end, victim) } else { (victim, end) };
        format!("from: [{from}], to: [{to}]")
    })
}

/// One fault of `victims`, or of a link between them and one of `ends`.
fn fault(victims: &[&'static str], ends: &[&'static str]) -> impl Strategy<Value = String> {
    let hosts: Vec<&str> = all_hosts()
        .into_iter()
        .filter(|host| victims.contains(host))
        .collect();
    let host = || prop::sample::select(hosts.clone());
    let link = || link(victims, ends);
    prop_oneof![
        6 => link().prop_map(|link| format!("cut: {{{link}}}")),
        2 => link().prop_map(|link| format!("heal: {{{link}}}")),
        3 => (link(), 1_u32..40)
            .prop_map(|(link, tenths)| format!("slow: {{{link}, seconds: {}}}", seconds(tenths))),
        2 => (link(), 2_u32..5).prop_map(|(link, every)| format!("lossy: {{{link}, every: {every}}}")),
        4 => host().prop_map(|host| format!("pause: [{host}]")),
        4 => host().prop_map(|host| format!("resume: [{host}]")),
        1 => host().prop_map(|host| format!("kill: [{host}]")),
        1 => (host(), 0_u32..99).prop_map(|(host, life)| format!(
            "start: {{host: {host}-{life}, region: vidzemes}}"
        )),
    ]
}

/// The minority is alone, or its two hosts of one region see only each other.
fn split() -> impl Strategy<Value = String> {
    let majority: Vec<&str> = all_hosts()
        .into_iter()
        .filter(|host| !MINORITY.contains(host))
        .chain(["platform"])
        .collect();
    let (minority, majority) = (MINORITY.join(", "), majority.join(", "));
    let sides = [
        format!("from: [{minority}], to: [{majority}]"),
        format!("from: [{majority}], to: [{minority}]"),
    ];
    let step = prop::sample::select(vec!["cut", "cut", "heal"]);
    (prop::sample::select(sides.to_vec()), step)
        .prop_map(|(side, step)| format!("{step}: {{{side}}}"))
}

fn outage() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["platform_down", "platform_up"]).prop_map(String::from)
}

/// Steps at tenths of a second.
fn steps(
    step: impl Strategy<Value = String>,
    tenths: std::ops::Range<u32>,
) -> impl Strategy<Value = Vec<String>> {
    let event = (tenths, step)
        .prop_map(|(tenths, step)| format!("  - {{at: {}, step: {{{step}}}}}\n", seconds(tenths)));
    prop::collection::vec(event, 1..30)
}

fn seconds(tenths: u32) -> f64 {
    f64::from(tenths) / 10.0
}

/// A trace with these steps, a withdrawal, and a key that stops in time; later all is healed.
fn trace(stale_region: f64, withdrawn: u32, stopped: f64, steps: &[String]) -> String {
    let recovered = HEALED + 2.0 * LEASE;
    let mut text = format!(
        "feature: fleet\nwhy: random faults\nlease: {LEASE}\nstale_region: {stale_region}\n\
         length: 60\nkeys: [orchard, school]\nhosts:\n  vidzemes: [{}]\n  zemgales: [{}]\nevents:\n{}",
        VIDZEMES.join(", "),
        ZEMGALES.join(", "),
        steps.concat(),
    );
    let _ = write!(
        text,
        "  - {{at: {withdrawn}, step: {{publish: {{keys: [orchard]}}}}}}
  - {{at: {HEALED}, step: {{heal: {{from: [all, platform], to: [all, platform]}}}}}}
  - {{at: {HEALED}, step: {{platform_up: }}}}
  - {{at: {HEALED}, step: {{resume: [all]}}}}
outcomes:
  - {{from: {stopped}, to: 60, hosts: [all], key: school, admits: false, min_revision: 2}}
  - {{from: {recovered}, to: 60, hosts: [all], current: true, min_revision: 2}}
"
    );
    text
}

fn check(text: &str) -> Result<(), TestCaseError> {
    let findings = FleetModel::default().replay(text).expect("a trace");
    prop_assert!(findings.is_empty(), "{findings:?}\n{text}");
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..Config::default()
    })]

    /// Anything fails: the bound is that of a stale region.
    #[test]
    fn any_fault(
        withdrawn in 8_u32..25,
        steps in steps(prop_oneof![9 => fault(&all_ends(), &all_ends()), 1 => outage()], 50..399),
    ) {
        let stopped = f64::from(withdrawn) + SHORT_BOUND;
        check(&trace(SHORT_BOUND, withdrawn, stopped, &steps))?;
    }

    /// A majority hears of the withdrawal and the platform fails after it: the bound is one lease.
    #[test]
    fn minority_faults(
        withdrawn in 8_u32..25,
        steps in steps(prop_oneof![2 => fault(&MINORITY, &all_hosts()), 1 => split()], 50..399),
        platform_cuts in steps(fault(&MINORITY, &["platform"]), 50..399),
    ) {
        let down = f64::from(withdrawn) + TRAVEL;
        let outage = format!("  - {{at: {down}, step: {{platform_down: }}}}\n");
        let steps = [steps, platform_cuts, vec![outage]].concat();
        let stopped = down + LEASE;
        check(&trace(LONG_BOUND, withdrawn, stopped, &steps))?;
    }
}
