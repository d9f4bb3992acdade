//! The key index: a key grants access for exactly one team, and for none once withdrawn or shared.

use kws_membership::{KeyIndex, KeyMatch};
use kws_protocol::{FleetSettings, FreshnessSettings, KeyDigest, TeamName, TeamSettings};
use rstest::rstest;
use std::time::Duration;

/// A digest that ends with `last`; all such digests fall into one bucket.
fn digest(last: u8) -> KeyDigest {
    let mut bytes = [7; 32];
    bytes[31] = last;
    KeyDigest(bytes)
}

fn settings(teams: &[(&str, &[u8])]) -> FleetSettings {
    let teams = teams.iter().map(|(name, keys)| {
        let team = TeamSettings {
            name: TeamName::new(name),
            rate: 1.0,
            burst: 1.0,
            weight: 1.0,
            priority: None,
            keys: keys.iter().map(|key| digest(*key)).collect(),
        };
        (team.name.clone(), team)
    });
    FleetSettings {
        freshness: FreshnessSettings {
            lease: Duration::from_secs(3),
            list_lag: Duration::from_secs(3),
            stale_region: Duration::from_mins(1),
            clock_drift_ppm: 0,
        },
        regions: [].into(),
        services: [].into(),
        routes: [].into(),
        teams: teams.collect(),
    }
}

#[rstest]
#[case::first_team(1, Some("orchard"))]
#[case::second_team(3, Some("school"))]
#[case::unknown(9, None)]
fn one_team(#[case] key: u8, #[case] team: Option<&str>) {
    let index = KeyIndex::new(&settings(&[("orchard", &[1, 2]), ("school", &[3])]));
    let name = team.map(TeamName::new);
    let expected = name.as_ref().map_or(KeyMatch::Unknown, KeyMatch::Team);
    assert_eq!(index.find(&digest(key)), expected);
    assert!(index.shared_keys().is_empty());
}

#[rstest]
#[case::withdrawn(&[], KeyMatch::Unknown)]
#[case::moved(&[("school", &[1][..])], KeyMatch::Team(&TeamName::new("school")))]
#[case::issued_twice(&[("orchard", &[1][..]), ("school", &[1])], KeyMatch::Shared)]
fn next_revision(#[case] teams: &[(&str, &[u8])], #[case] expected: KeyMatch<'_>) {
    let index = KeyIndex::new(&settings(teams));
    assert_eq!(index.find(&digest(1)), expected);
}

#[test]
fn shared_finding() {
    let index = KeyIndex::new(&settings(&[("school", &[4, 5]), ("orchard", &[4])]));
    let shared = index.shared_keys();
    assert_eq!(shared.len(), 1);
    assert_eq!(shared[0].digest, digest(4));
    assert_eq!(shared[0].teams, ["orchard", "school"].map(TeamName::new));
}
