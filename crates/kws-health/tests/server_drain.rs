//! A draining or leaving server gets no new requests.

mod support;

use kws_fixture::{SampleFleet, host_name};
use kws_health::{AvailabilitySource, UnavailableReason};
use kws_protocol::HealthMessage;
use std::time::Duration;
use support::{Judges, USUAL, listing, server};
use tokio::time::{Instant, advance};

fn bar(judges: &Judges, host: usize) -> Option<UnavailableReason> {
    judges.availability(host, 3).unavailable
}

fn pass_digest(judges: &mut Judges, from: usize, to: usize) {
    let message = HealthMessage::Reports(judges.hosts[from].digest(Instant::now()));
    judges.hosts[to].receive(&host_name(from), &message, Instant::now());
}

#[tokio::test(start_paused = true)]
async fn own_word() {
    let mut judges = Judges::new(SampleFleet::new(3, 10));
    judges.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    assert_eq!(bar(&judges, 0), Some(UnavailableReason::Draining));
}

/// A peer applies a reported drain at once, but doesn't report it to others.
#[tokio::test(start_paused = true)]
async fn peer_word() {
    let mut judges = Judges::new(SampleFleet::new(3, 10));
    judges.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    pass_digest(&mut judges, 0, 1);
    pass_digest(&mut judges, 1, 2);
    assert_eq!(bar(&judges, 1), Some(UnavailableReason::Draining));
    assert_eq!(bar(&judges, 2), None);
}

#[tokio::test(start_paused = true)]
async fn listed_leaving() {
    let mut judges = Judges::new(SampleFleet::new(1, 10));
    judges.fleet.leaving.insert(server(3));
    judges.adopt();
    assert_eq!(bar(&judges, 0), Some(UnavailableReason::Leaving));
}

/// A server that returns under the same name starts cold, even if it announced a drain before.
#[tokio::test(start_paused = true)]
async fn returned() {
    let mut judges = Judges::new(SampleFleet::new(1, 10));
    judges.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    judges.fleet.leaving.insert(server(3));
    judges.adopt();
    judges.fleet.leaving.clear();
    judges.adopt();
    let standing = judges.availability(0, 3);
    assert_eq!((standing.unavailable, standing.weight), (None, 0.1));
}

/// A drain outlasts a long outage of the platform; once it expires, the server is probed.
#[tokio::test(start_paused = true)]
async fn long_drain() {
    let mut judges = Judges::new(SampleFleet::new(1, 10));
    judges.hosts[0].record_drain(&listing(), &server(3), Instant::now());
    advance(Duration::from_mins(9)).await;
    judges.run(1, |_| USUAL).await;
    assert_eq!(bar(&judges, 0), Some(UnavailableReason::Draining));
    advance(Duration::from_mins(2)).await;
    judges.hosts[0].tick(Instant::now());
    assert!(judges.availability(0, 3).probe_only);
}

#[tokio::test(start_paused = true)]
async fn unlisted() {
    let judges = Judges::new(SampleFleet::new(1, 10));
    let unknown = judges.hosts[0].availability(&listing(), &server(99), Instant::now());
    assert_eq!(unknown.unavailable, Some(UnavailableReason::Unlisted));
}
