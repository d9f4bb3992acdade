//! A draining or leaving server gets no new requests.

mod support;

use kws_fixture::{SampleFleet, host_name};
use kws_health::{AvailabilitySource, UnavailableReason};
use kws_protocol::HealthMessage;
use std::time::Duration;
use support::{FleetMonitors, USUAL, listing, server};
use tokio::time::{Instant, advance};

fn unavailable_reason(monitors: &FleetMonitors, host: usize) -> Option<UnavailableReason> {
    monitors.availability(host, 3).unavailable
}

fn pass_reports(monitors: &mut FleetMonitors, from: usize, to: usize) {
    let message = HealthMessage::Reports(monitors.hosts[from].take_reports(Instant::now()));
    monitors.hosts[to].receive(&host_name(from), &message, Instant::now());
}

#[tokio::test(start_paused = true)]
async fn own_announcement() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(3, 10));
    monitors.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    assert_eq!(
        unavailable_reason(&monitors, 0),
        Some(UnavailableReason::Draining)
    );
}

/// A peer applies a reported drain at once, but doesn't report it to others.
#[tokio::test(start_paused = true)]
async fn peer_announcement() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(3, 10));
    monitors.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    pass_reports(&mut monitors, 0, 1);
    pass_reports(&mut monitors, 1, 2);
    assert_eq!(
        unavailable_reason(&monitors, 1),
        Some(UnavailableReason::Draining)
    );
    assert_eq!(unavailable_reason(&monitors, 2), None);
}

#[tokio::test(start_paused = true)]
async fn listed_leaving() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    monitors.fleet.leaving.insert(server(3));
    monitors.apply_fleet();
    assert_eq!(
        unavailable_reason(&monitors, 0),
        Some(UnavailableReason::Leaving)
    );
}

/// A server that returns under the same name starts cold, even if it announced a drain before.
#[tokio::test(start_paused = true)]
async fn returned_server() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    monitors.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    monitors.fleet.leaving.insert(server(3));
    monitors.apply_fleet();
    monitors.fleet.leaving.clear();
    monitors.apply_fleet();
    let availability = monitors.availability(0, 3);
    assert_eq!((availability.unavailable, availability.weight), (None, 0.1));
}

/// A drain outlasts a long outage of the platform; once it expires, the server is probed.
#[tokio::test(start_paused = true)]
async fn long_drain() {
    let mut monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    monitors.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    advance(Duration::from_mins(9)).await;
    monitors.run(1, |_| USUAL).await;
    assert_eq!(
        unavailable_reason(&monitors, 0),
        Some(UnavailableReason::Draining)
    );
    advance(Duration::from_mins(2)).await;
    monitors.hosts[0].tick(Instant::now());
    assert!(monitors.availability(0, 3).probe_only);
}

#[tokio::test(start_paused = true)]
async fn unlisted_server() {
    let monitors = FleetMonitors::new(SampleFleet::new(1, 10));
    let unknown = monitors.hosts[0].availability(&listing(), &server(99), Instant::now());
    assert_eq!(unknown.unavailable, Some(UnavailableReason::Unlisted));
}
