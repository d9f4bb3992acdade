//! Distribution of the servers' connections over the hosts.

use kws_dispatch::Dispatcher;
use kws_fixture::{SampleFleet, host_name, place_of, server_name};
use kws_protocol::ServiceName;
use rstest::rstest;
use tokio::time::Instant;

/// Number of connections by host and server.
fn shares(fleet: &SampleFleet) -> Vec<Vec<u32>> {
    let snapshot = fleet.snapshot();
    let service = ServiceName::new("listing");
    (0..fleet.hosts)
        .map(|at| {
            let (region, center) = place_of(at);
            let mut dispatcher = Dispatcher::new(host_name(at), region, center);
            dispatcher.apply_settings(&snapshot, Instant::now());
            (0..fleet.services[0].1)
                .map(|server| dispatcher.connections(&service, &server_name("listing", server)))
                .collect()
        })
        .collect()
}

/// No server gets more connections than it accepts, and every host gets at least `min_servers`
/// servers.
#[rstest]
#[case::today(44, 10, 330, 10)]
#[case::grown(114, 20, 66, 5)]
#[case::crowded(114, 10, 66, 2)]
#[tokio::test(start_paused = true)]
async fn within_limit(
    #[case] hosts: usize,
    #[case] servers: usize,
    #[case] limit: u32,
    #[case] min_servers: usize,
) {
    let mut fleet = SampleFleet::new(hosts, servers);
    fleet.connections = limit;
    let shares = shares(&fleet);
    for server in 0..servers {
        let total: u32 = shares.iter().map(|host| host[server]).sum();
        assert!(total <= limit, "server {server}: {total}");
    }
    let fewest = shares
        .iter()
        .map(|host| host.iter().filter(|count| **count >= 2).count())
        .min();
    assert!(fewest >= Some(min_servers), "{fewest:?}");
}

/// The departure of one host changes few shares of the others.
#[tokio::test(start_paused = true)]
async fn host_leaves() {
    let mut fleet = SampleFleet::new(114, 20);
    fleet.connections = 66;
    let before = shares(&fleet);
    fleet.hosts = 113;
    let after = shares(&fleet);
    let changed: usize = before
        .iter()
        .zip(&after)
        .flat_map(|(old, new)| old.iter().zip(new))
        .filter(|(old, new)| old != new)
        .count();
    // A tenth of the 114 x 20 pairs of host and server.
    assert!(changed <= 228, "{changed}");
}
