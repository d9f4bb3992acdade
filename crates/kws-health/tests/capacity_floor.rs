//! Ejections never lower capacity below the floor.

mod support;

use kws_fixture::{SampleFleet, host_name};
use kws_health::ResponseOutcome::{Failed, Succeeded};
use kws_protocol::{HealthMessage, HealthReport};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;
use support::{Attempt, FleetMonitors, Response, USUAL, listing, server};
use tokio::{
    runtime::Builder,
    time::{Instant, advance},
};

/// Servers 0, 1 and 2 fail 5, 7 and 9 of 10 tries.
fn three_unhealthy(attempt: Attempt) -> Response {
    if attempt.server < 3 && attempt.tenths(5 + 2 * attempt.server) {
        return (Failed, USUAL.1);
    }
    USUAL
}

async fn three_ejected() -> FleetMonitors {
    let mut monitors = FleetMonitors::new(SampleFleet::new(4, 10));
    monitors.run(12, three_unhealthy).await;
    assert_eq!(monitors.ejected(0), [0, 1, 2]);
    monitors
}

#[rstest]
#[case::floor_70(0.7, 3)]
#[case::floor_75(0.75, 2)]
#[case::floor_100(1.0, 0)]
#[case::no_floor(0.0, 5)]
#[tokio::test(start_paused = true)]
async fn half_unhealthy(#[case] floor: f64, #[case] expected: usize) {
    let mut fleet = SampleFleet::new(4, 10);
    fleet.floor = floor;
    let mut monitors = FleetMonitors::new(fleet);
    let script = |attempt: Attempt| {
        if attempt.server < 5 {
            (Failed, USUAL.1)
        } else {
            USUAL
        }
    };
    monitors.run(12, script).await;
    let ejected: Vec<usize> = (0..4).map(|host| monitors.ejected(host).len()).collect();
    assert_eq!(ejected, [expected; 4]);
}

/// An unhealthy server that the floor keeps in service is used last.
#[tokio::test(start_paused = true)]
async fn kept_suspect() {
    let mut fleet = SampleFleet::new(4, 10);
    fleet.floor = 1.0;
    let mut monitors = FleetMonitors::new(fleet);
    monitors.run(12, three_unhealthy).await;
    assert!(monitors.availability(0, 2).penalty > monitors.availability(0, 9).penalty);
}

#[tokio::test(start_paused = true)]
async fn raised_floor() {
    let mut monitors = three_ejected().await;
    monitors.fleet.floor = 0.85;
    monitors.apply_fleet();
    assert_eq!(monitors.ejected(0), [2]);
    assert!(monitors.capacity(0) >= 0.85 * 30.0);
}

#[tokio::test(start_paused = true)]
async fn healthy_leaves() {
    let mut monitors = three_ejected().await;
    monitors.fleet.leaving.insert(server(9));
    monitors.apply_fleet();
    assert_eq!(monitors.ejected(0), [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn healthy_drains() {
    let mut monitors = three_ejected().await;
    monitors.hosts[0].record_drain(&listing(), &server(9), Instant::now());
    assert_eq!(monitors.ejected(0), [1, 2]);
}

/// Drains alone take capacity below the floor; no server may stay ejected then.
#[tokio::test(start_paused = true)]
async fn half_drains() {
    let mut monitors = three_ejected().await;
    for at in 5..10 {
        monitors.hosts[0].record_drain(&listing(), &server(at), Instant::now());
    }
    assert_eq!(monitors.ejected(0), []);
}

/// Servers that peers report as ejected don't count as capacity when this host ejects others.
#[tokio::test(start_paused = true)]
async fn peers_ejected() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    let script = |attempt: Attempt| {
        if attempt.server == 9 {
            (Failed, USUAL.1)
        } else {
            USUAL
        }
    };
    let report = HealthMessage::Reports((0..3).map(ejected_report).collect());
    for _ in 0..12 {
        for peer in 1..3 {
            monitors.hosts[0].receive(&host_name(peer), &report, Instant::now());
        }
        monitors.run(1, script).await;
    }
    assert_eq!(monitors.ejected(0), []);
}

fn ejected_report(at: usize) -> HealthReport {
    HealthReport {
        service: listing(),
        server: server(at),
        responses: 0,
        failures: 0,
        median_latency: Duration::ZERO,
        in_flight: 0,
        draining: false,
        ejected: true,
    }
}

/// An event at one host.
#[derive(Clone, Debug)]
enum HostEvent {
    Responses { server: usize, bad: bool },
    PeerEjection { peer: usize, server: usize },
    Drain { server: usize },
    Leave { server: usize },
    Return { server: usize },
    Tree { floor: f64, servers: usize },
    Wait { seconds: u64 },
}

fn host_event() -> impl Strategy<Value = HostEvent> {
    prop_oneof![
        8 => (0..10_usize, any::<bool>())
            .prop_map(|(server, bad)| HostEvent::Responses { server, bad }),
        2 => (1..5_usize, 0..10_usize)
            .prop_map(|(peer, server)| HostEvent::PeerEjection { peer, server }),
        1 => (0..10_usize).prop_map(|server| HostEvent::Drain { server }),
        1 => (0..10_usize).prop_map(|server| HostEvent::Leave { server }),
        1 => (0..10_usize).prop_map(|server| HostEvent::Return { server }),
        1 => (0.0..1.0, 5..12_usize)
            .prop_map(|(floor, servers)| HostEvent::Tree { floor, servers }),
        4 => (0..40_u64).prop_map(|seconds| HostEvent::Wait { seconds }),
    ]
}

async fn apply(monitors: &mut FleetMonitors, event: &HostEvent) {
    let now = Instant::now();
    match event {
        HostEvent::Responses { server: at, bad } => {
            let outcome = if *bad { Failed } else { Succeeded };
            for _ in 0..8 {
                monitors.hosts[0].record_outcome(&listing(), &server(*at), outcome, USUAL.1, now);
            }
        }
        HostEvent::PeerEjection { peer, server } => {
            let report = HealthMessage::Reports(vec![ejected_report(*server)]);
            monitors.hosts[0].receive(&host_name(*peer), &report, now);
        }
        HostEvent::Drain { server: at } => {
            monitors.hosts[0].record_drain(&listing(), &server(*at), now);
        }
        HostEvent::Leave { server: at } => {
            monitors.fleet.leaving.insert(server(*at));
            monitors.apply_fleet();
        }
        HostEvent::Return { server: at } => {
            monitors.fleet.leaving.remove(&server(*at));
            monitors.apply_fleet();
        }
        HostEvent::Tree { floor, servers } => {
            monitors.fleet.floor = *floor;
            monitors.fleet.services[0].1 = *servers;
            monitors.apply_fleet();
        }
        HostEvent::Wait { seconds } => {
            advance(Duration::from_secs(*seconds)).await;
            monitors.hosts[0].tick(Instant::now());
        }
    }
}

/// Whether capacity reaches the floor, or no server is ejected.
fn floor_holds(monitors: &FleetMonitors) -> bool {
    let total = monitors.fleet.services[0].1 as f64 * f64::from(monitors.fleet.slots);
    monitors.capacity(0) + 1e-6 >= monitors.fleet.floor * total || monitors.ejected(0).is_empty()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events(events in proptest::collection::vec(host_event(), 1..80)) {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        let violation = runtime.expect("runtime").block_on(async {
            let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
            for event in &events {
                apply(&mut monitors, event).await;
                if !floor_holds(&monitors) {
                    return Some((event.clone(), monitors.capacity(0), monitors.ejected(0)));
                }
            }
            None
        });
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}
