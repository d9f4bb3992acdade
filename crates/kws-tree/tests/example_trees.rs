//! The example trees are whole, without findings, and open to their demo keys.

use kws_protocol::{FleetSnapshot, KeyDigest};
use kws_tree::{HostSettings, parse_host, read_directory, resolve, review};
use rstest::rstest;
use sha2::{Digest, Sha256};
use std::{
    fs,
    path::{Path, PathBuf},
};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn resolved(name: &str) -> FleetSnapshot {
    let published = read_directory(&example(name).join("tree")).expect("readable");
    assert_eq!(review(&published).findings, []);
    resolve(&published).expect("no findings")
}

#[rstest]
#[case("farm", &[("bookings", 10, 400), ("listing", 10, 400), ("till", 20, 400)])]
#[case("association", &[("archive", 10, 330), ("bookings", 20, 330), ("register", 10, 330)])]
fn deployment_sizes(#[case] name: &str, #[case] expected: &[(&str, usize, u32)]) {
    let snapshot = resolved(name);
    assert_eq!(snapshot.hosts.hosts.len(), 40);
    assert_eq!(snapshot.settings.teams.len(), 8);
    for region in snapshot.settings.regions.keys() {
        assert_eq!(snapshot.hosts.in_region(region).count(), 20);
    }
    let services: Vec<_> = snapshot
        .settings
        .services
        .values()
        .map(|service| {
            let connections = service.servers.values().map(|server| server.connections);
            (
                service.name.as_str(),
                service.servers.len(),
                connections.max().unwrap_or(0),
            )
        })
        .collect();
    assert_eq!(services, expected);
}

#[rstest]
#[case("farm", 8)]
#[case("association", 8)]
#[case("quickstart", 2)]
fn demo_keys(#[case] name: &str, #[case] expected: usize) {
    let teams = &resolved(name).settings.teams;
    let readme = fs::read_to_string(example(name).join("README.md")).expect("a page");
    let keys: Vec<(&str, &str)> = readme
        .lines()
        .filter_map(|line| {
            line.strip_prefix("| `")?
                .strip_suffix("-key` |")?
                .split_once("` | `")
        })
        .collect();
    assert_eq!(keys.len(), expected);
    for (team, key) in keys {
        let digest = KeyDigest(Sha256::digest(format!("{key}-key")).into());
        assert!(teams[team].keys.contains(&digest), "{team}");
    }
}

#[rstest]
#[case("farm")]
#[case("association")]
#[case("quickstart")]
fn listed_host(#[case] name: &str) {
    let text = fs::read_to_string(example(name).join("host.yaml")).expect("a file");
    let host: HostSettings = parse_host(&text, "host.yaml").expect("no findings");
    let listed = resolved(name).hosts.hosts[0].clone();
    assert_eq!(host.name.as_deref(), Some(listed.name.as_str()));
    assert_eq!(
        (listed.peer, listed.region, listed.center),
        (host.peer, host.region, host.center)
    );
}
