//! Order of service and refusals while a service is contended.

mod support;

use kws_dispatch::{DispatchRequest, TicketOutcome};
use kws_fixture::SampleFleet;
use kws_protocol::RefusalReason;
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};
use support::{TestHost, granted_servers, granted_tickets, listing, refused};
use tokio::time::{Instant, advance};

/// A host with one server that has one slot, and with a queue limit of `queue`.
fn one_slot_host(queue: u32) -> TestHost {
    let mut fleet = SampleFleet::new(1, 1);
    fleet.slots = 1;
    fleet.queue = queue;
    TestHost::new(&fleet)
}

/// All requests of the large team arrive first. The small team gets its weighted share of the first
/// 24 grants.
#[rstest]
#[case::equal(1.0, 1.0, 12)]
#[case::double(2.0, 1.0, 8)]
#[case::small_heavy(1.0, 3.0, 18)]
#[tokio::test(start_paused = true)]
async fn weighted_shares(#[case] large: f64, #[case] small: f64, #[case] expected: usize) {
    let mut host = one_slot_host(200);
    let mut teams = BTreeMap::new();
    let mut running = 0;
    for (team, weight, count) in [("large", large, 100), ("small", small, 20)] {
        for _ in 0..count {
            let request = DispatchRequest {
                weight,
                ..host.request(team)
            };
            teams.insert(request.ticket.0, team);
            running += granted_tickets(&host.enqueue(request)).len() as u64;
        }
    }
    let mut served = 0;
    for _ in 0..24 {
        let next = granted_tickets(&host.complete(running, TicketOutcome::Responded));
        running = next[0];
        served += usize::from(teams[&running] == "small");
    }
    assert!(served.abs_diff(expected) <= 1, "{served}");
}

/// A burst of one team evicts its own requests from a full queue, not those of another team.
#[tokio::test(start_paused = true)]
async fn full_queue() {
    let mut host = one_slot_host(8);
    let mut refusals = Vec::new();
    for _ in 0..20 {
        refusals.extend(refused(&host.send("large")));
    }
    let first_small = host.last_ticket + 1;
    for _ in 0..3 {
        refusals.extend(refused(&host.send("small")));
    }
    assert_eq!(host.dispatcher.queue_length(&listing()), 8);
    assert_eq!(refusals.len(), 14);
    let all_from_large = refusals
        .iter()
        .all(|(ticket, reason)| *ticket < first_small && *reason == RefusalReason::QueueFull);
    assert!(all_from_large, "{refusals:?}");
}

#[tokio::test(start_paused = true)]
async fn expired_request() {
    let mut host = one_slot_host(8);
    host.send("large");
    let mut request = host.request("large");
    request.deadline = Instant::now() + Duration::from_millis(200);
    assert_eq!(host.enqueue(request), []);
    advance(Duration::from_millis(250)).await;
    assert_eq!(refused(&host.tick()), [(2, RefusalReason::DeadlineEarly)]);
    assert_eq!(host.dispatcher.queue_length(&listing()), 0);
}

/// Ten requests of 50 ms each are queued: a request is refused immediately if it would wait past
/// its deadline.
#[rstest]
#[case::short_deadline(Duration::from_millis(100), true)]
#[case::long_deadline(Duration::from_secs(1), false)]
#[tokio::test(start_paused = true)]
async fn refused_early(#[case] remaining: Duration, #[case] expected: bool) {
    let mut host = one_slot_host(64);
    for _ in 0..11 {
        host.send("large");
    }
    let mut request = host.request("large");
    request.deadline = Instant::now() + remaining;
    let refusals = refused(&host.enqueue(request));
    assert_eq!(refusals == [(12, RefusalReason::DeadlineEarly)], expected);
}

/// The estimated wait depends on the team's own queue, not on that of another team.
#[tokio::test(start_paused = true)]
async fn small_not_refused() {
    let mut host = one_slot_host(64);
    for _ in 0..40 {
        host.send("large");
    }
    let mut request = host.request("small");
    request.deadline = Instant::now() + Duration::from_millis(200);
    assert_eq!(refused(&host.enqueue(request)), []);
}

/// A retried request is served next in its team, and keeps its ticket.
#[tokio::test(start_paused = true)]
async fn retry_first() {
    let mut host = one_slot_host(8);
    host.send("large");
    host.send("large");
    let actions = host.retry(1, TicketOutcome::NoResponse);
    assert_eq!(granted_tickets(&actions), [1]);
}

#[tokio::test(start_paused = true)]
async fn cancelled_requests() {
    let mut host = one_slot_host(8);
    for _ in 0..3 {
        host.send("large");
    }
    let now = Instant::now();
    for ticket in [2, 1] {
        let ticket = kws_dispatch::TicketId(ticket);
        let actions = host.dispatcher.cancel(ticket, &host.availability, now);
        let freed = ticket.0 == 1;
        assert_eq!(
            granted_tickets(&actions),
            if freed { vec![3] } else { vec![] }
        );
    }
}

/// With no available server, a request is refused and not kept until its deadline.
#[tokio::test(start_paused = true)]
async fn no_server() {
    let mut host = one_slot_host(8);
    host.eject(0, false);
    assert_eq!(refused(&host.send("large")), [(1, RefusalReason::NoServer)]);
    assert!(granted_servers(&host.tick()).is_empty());
}
