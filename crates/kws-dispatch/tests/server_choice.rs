//! Selection of a server, and when a request stays queued instead.

mod support;

use kws_dispatch::{DispatchAction, TicketOutcome};
use kws_fixture::SampleFleet;
use kws_health::ServerAvailability;
use rstest::rstest;
use std::time::Duration;
use support::{TestHost, granted_servers, granted_tickets, listing, server};
use tokio::time::{Instant, advance};

/// Sends `count` requests at once and returns the number of granted ones.
fn send_burst(host: &mut TestHost, count: usize) -> usize {
    (0..count)
        .map(|_| granted_servers(&host.send("large")).len())
        .sum()
}

/// Two servers with three slots each, one of them in the host's region.
#[rstest]
#[case::idle(&[], 3)]
#[case::peer_uses_one(&[(0, 1)], 2)]
#[case::peers_fill(&[(0, 3)], 1)]
#[case::peers_overfill(&[(0, 9)], 1)]
#[tokio::test(start_paused = true)]
async fn shared_slots(#[case] peer: &[(usize, u32)], #[case] expected: usize) {
    let mut host = TestHost::new(&SampleFleet::new(2, 2));
    host.report_load(1, peer);
    assert_eq!(send_burst(&mut host, 10), expected);
}

/// The load of a peer that stopped reporting no longer counts.
#[tokio::test(start_paused = true)]
async fn silent_peer() {
    let mut host = TestHost::new(&SampleFleet::new(2, 2));
    host.report_load(1, &[(0, 3)]);
    advance(Duration::from_secs(3)).await;
    host.tick();
    assert_eq!(send_burst(&mut host, 10), 3);
}

/// Ten hosts share a full server: this host sends at about a tenth of the rate that the server can
/// serve, and is not starved.
#[tokio::test(start_paused = true)]
async fn contended_rate() {
    let mut host = TestHost::new(&SampleFleet::new(10, 1));
    let mut sent = 0;
    for peer in 1..10 {
        host.report_load(peer, &[(0, 1)]);
    }
    let mut running: Vec<u64> = Vec::new();
    for _ in 0..40 {
        running.extend(granted_tickets(&host.send("large")));
    }
    for _ in 0..200 {
        for peer in 1..10 {
            host.report_load(peer, &[(0, 1)]);
        }
        running.extend(granted_tickets(&host.tick()));
        sent += running.len();
        advance(Duration::from_millis(10)).await;
        for ticket in std::mem::take(&mut running) {
            running.extend(granted_tickets(
                &host.complete(ticket, TicketOutcome::NoResponse),
            ));
        }
    }
    // 2 s at a service time of 50 ms, and 3 slots shared by 10 hosts: 12 requests, and half as many
    // to keep the slots in use.
    assert!((12..=18).contains(&sent), "{sent}");
}

/// Shed requests lower the concurrency limit of the host; responses keep it open.
#[rstest]
#[case::not_run(TicketOutcome::NotRun, 0)]
#[case::responded(TicketOutcome::Responded, 3)]
#[tokio::test(start_paused = true)]
async fn shed_requests(#[case] outcome: TicketOutcome, #[case] expected: usize) {
    let mut host = TestHost::new(&SampleFleet::new(2, 2));
    for _ in 0..4 {
        let running = granted_tickets(&host.send("large"));
        for ticket in running {
            host.complete(ticket, outcome);
        }
    }
    assert_eq!(send_burst(&mut host, 5), expected);
}

/// Servers of the host's region come first. If none is available there, requests go to the other
/// region within the spill budget.
#[rstest]
#[case::local(&[], 3_000_000, "listing-00", false)]
#[case::spill(&[0], 3_000_000, "listing-01", true)]
#[tokio::test(start_paused = true)]
async fn region_first(
    #[case] ejected: &[usize],
    #[case] bits: u64,
    #[case] expected: &str,
    #[case] spill: bool,
) {
    let mut fleet = SampleFleet::new(2, 2);
    fleet.spill_bits_per_s = bits;
    let mut host = TestHost::new(&fleet);
    for at in ejected {
        host.eject(*at, false);
    }
    advance(Duration::from_secs(1)).await;
    let actions = host.send("large");
    let [DispatchAction::Grant(grant)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((grant.server.as_str(), grant.spill), (expected, spill));
}

/// A budget of 8000 bits per second allows one request of 1000 bytes per second.
#[tokio::test(start_paused = true)]
async fn spill_budget() {
    let mut fleet = SampleFleet::new(1, 2);
    fleet.spill_bits_per_s = 8_000;
    let mut host = TestHost::new(&fleet);
    host.eject(0, false);
    let mut sent = 0;
    for _ in 0..100 {
        advance(Duration::from_millis(100)).await;
        let mut running = granted_tickets(&host.send("large"));
        running.extend(granted_tickets(&host.tick()));
        sent += running.len();
        for ticket in running {
            host.complete(ticket, TicketOutcome::NoResponse);
        }
    }
    assert!((9..=11).contains(&sent), "{sent}");
}

/// With all local slots in use, a request stays queued; it spills only if its deadline is near.
#[rstest]
#[case::long_deadline(Duration::from_secs(10), 0)]
#[case::near_deadline(Duration::from_millis(120), 1)]
#[tokio::test(start_paused = true)]
async fn spill_near_deadline(#[case] remaining: Duration, #[case] expected: usize) {
    let mut host = TestHost::new(&SampleFleet::new(1, 2));
    advance(Duration::from_secs(1)).await;
    assert_eq!(send_burst(&mut host, 3), 3);
    let mut request = host.request("large");
    request.deadline = Instant::now() + remaining;
    assert_eq!(granted_servers(&host.enqueue(request)).len(), expected);
}

/// A server that is being probed gets one repeatable request at a time, and no others.
#[rstest]
#[case::repeatable(true, &["listing-00"])]
#[case::unrepeatable(false, &["listing-02"])]
#[tokio::test(start_paused = true)]
async fn single_probe(#[case] repeatable: bool, #[case] expected: &[&str]) {
    let mut host = TestHost::new(&SampleFleet::new(1, 3));
    host.eject(0, true);
    let mut request = host.request("large");
    request.repeatable = repeatable;
    let first = granted_servers(&host.enqueue(request));
    let names: Vec<&str> = first.iter().map(kws_protocol::ServerName::as_str).collect();
    assert_eq!(names, expected);
    assert_eq!(granted_servers(&host.send("large")).len(), 1);
    let mut third = host.request("large");
    third.repeatable = true;
    assert!(!granted_servers(&host.enqueue(third)).contains(&server(0)));
}

/// A server that becomes unavailable during a burst gets no more requests; the queued ones go to
/// other servers.
#[tokio::test(start_paused = true)]
async fn drain_in_burst() {
    let mut host = TestHost::new(&SampleFleet::new(1, 4));
    let sent = send_burst(&mut host, 20);
    assert_eq!((sent, host.dispatcher.queue_length(&listing())), (6, 14));
    host.eject(0, false);
    let mut running: Vec<u64> = (1..=6).collect();
    let mut servers = Vec::new();
    while let Some(ticket) = running.pop() {
        let actions = host.complete(ticket, TicketOutcome::Responded);
        servers.extend(granted_servers(&actions));
        running.extend(granted_tickets(&actions));
    }
    assert_eq!(servers.len(), 14);
    assert!(!servers.contains(&server(0)), "{servers:?}");
}

/// A retry avoids the server of the failed try, unless no other is available.
#[rstest]
#[case::another(false, "listing-02")]
#[case::alone(true, "listing-00")]
#[tokio::test(start_paused = true)]
async fn retry_elsewhere(#[case] alone: bool, #[case] expected: &str) {
    let mut host = TestHost::new(&SampleFleet::new(1, 3));
    host.eject(1, false);
    host.eject(2, false);
    host.send("large");
    if !alone {
        host.availability.0.remove(&server(2));
    }
    let servers = granted_servers(&host.retry(1, TicketOutcome::NoResponse));
    assert_eq!(servers[0].as_str(), expected);
}

/// A server in warm-up or under suspicion gets fewer of 600 requests sent one at a time.
#[rstest]
#[case::equal(ServerAvailability::FULL, 240..=360)]
#[case::warm_up(ServerAvailability { weight: 0.1, ..ServerAvailability::FULL }, 0..=60)]
#[case::suspect(ServerAvailability { penalty: 3.0, ..ServerAvailability::FULL }, 0..=0)]
#[tokio::test(start_paused = true)]
async fn reduced_load(
    #[case] availability: ServerAvailability,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut host = TestHost::new(&SampleFleet::new(1, 3));
    host.availability.0.insert(server(0), availability);
    let mut hits = 0;
    for _ in 0..600 {
        let actions = host.send("large");
        hits += usize::from(granted_servers(&actions).contains(&server(0)));
        host.complete(granted_tickets(&actions)[0], TicketOutcome::Responded);
    }
    assert!(expected.contains(&hits), "{hits}");
}
