//! Token buckets of the host that owns a team's tokens in its region.

mod common {
    pub mod fleet;
}

use common::fleet::snapshot;
use kws_limits::{PARTITION_COUNT, TokenDecision, TokenOwner, TokenPartition};
use kws_protocol::{FleetSettings, TeamName};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Two regions with equal shares, a team with a rate of 20 per second and a burst of 20, and a team
/// without limit.
fn settings() -> FleetSettings {
    let teams = [("orchard", 20.0, 20.0), ("open", 1e9, 1e9)];
    let weights = [("vidzemes", 0.5), ("zemgales", 0.5)];
    snapshot(1, &[], &teams, &weights).settings.as_ref().clone()
}

fn owner() -> TokenOwner {
    TokenOwner::new("vidzemes".into(), 1, Instant::now())
}

fn orchard() -> TeamName {
    TeamName::new("orchard")
}

/// The number of requests admitted within `time`, with one request every 5 ms.
async fn admitted(owner: &mut TokenOwner, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < end {
        let decision = owner.take(&settings(), &orchard(), 1.0, Instant::now());
        count += usize::from(matches!(
            decision,
            TokenDecision::Granted | TokenDecision::GrantedAfter(_)
        ));
        advance(Duration::from_millis(5)).await;
    }
    count
}

#[tokio::test(start_paused = true)]
async fn starts_empty() {
    let mut owner = owner();
    let decision = owner.take(&settings(), &orchard(), 1.0, Instant::now());
    let wait = Duration::from_millis(100);
    assert_eq!(
        decision,
        TokenDecision::GrantedAfter(wait),
        "one token per 100 ms"
    );
}

/// The region's share is half of the rate, and half of the burst after an idle time.
#[tokio::test(start_paused = true)]
async fn region_share() {
    let mut owner = owner();
    let first = admitted(&mut owner, Duration::from_secs(10)).await;
    assert!(
        (95..=102).contains(&first),
        "{first} in 10 s at 10 per second"
    );
    advance(Duration::from_secs(5)).await;
    let burst = admitted(&mut owner, Duration::from_millis(5)).await;
    assert_eq!(burst, 1);
    let after = admitted(&mut owner, Duration::from_secs(1)).await;
    assert!(
        after <= 21,
        "{after}: a burst of 10, 10 in 1 s, and 1 that waits"
    );
}

#[tokio::test(start_paused = true)]
async fn accurate_retry_delay() {
    let mut owner = owner();
    for _ in 0..3 {
        owner.take(&settings(), &orchard(), 1.0, Instant::now());
    }
    let decision = owner.take(&settings(), &orchard(), 1.0, Instant::now());
    let TokenDecision::Refused { retry_after } = decision else {
        panic!("{decision:?}");
    };
    advance(retry_after).await;
    let again = owner.take(&settings(), &orchard(), 1.0, Instant::now());
    assert!(!matches!(again, TokenDecision::Refused { .. }), "{again:?}");
}

/// A token lent to another region is taken from the bucket.
#[tokio::test(start_paused = true)]
async fn lent_once() {
    let mut owner = owner();
    advance(Duration::from_millis(150)).await;
    assert_eq!(
        owner.lend(&settings(), &orchard(), Instant::now()),
        TokenDecision::Granted
    );
    let second = owner.lend(&settings(), &orchard(), Instant::now());
    assert!(
        matches!(second, TokenDecision::Refused { .. }),
        "{second:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn unlimited_team() {
    let mut owner = owner();
    let open = TeamName::new("open");
    for _ in 0..1_000 {
        assert_eq!(
            owner.take(&settings(), &open, 1.0, Instant::now()),
            TokenDecision::Granted
        );
    }
    let unknown = TeamName::new("nobody");
    assert_eq!(
        owner.take(&settings(), &unknown, 1.0, Instant::now()),
        TokenDecision::UnknownTeam
    );
}

/// Neither owner of a team grants a burst when the team moves from one to the other and back.
#[tokio::test(start_paused = true)]
async fn regained_team() {
    let mut owner = owner();
    advance(Duration::from_secs(5)).await;
    owner.set_owned(|_| true, Instant::now());
    let burst = admitted(&mut owner, Duration::from_millis(5)).await;
    assert_eq!(burst, 1, "one request within 5 ms");
    owner.set_owned(|_| false, Instant::now());
    advance(Duration::from_secs(5)).await;
    owner.set_owned(|_| true, Instant::now());
    let after = admitted(&mut owner, Duration::from_secs(1)).await;
    assert!(
        after <= 12,
        "{after} in 1 s at 10 per second, from an empty bucket"
    );
}

/// A host that is asked for a team that another host owns grants the rate but no burst.
#[tokio::test(start_paused = true)]
async fn team_of_others() {
    let mut owner = owner();
    let partition = TokenPartition::of(&orchard());
    owner.set_owned(|other| other != partition, Instant::now());
    let first = owner.take(&settings(), &orchard(), 1.0, Instant::now());
    assert_eq!(
        first,
        TokenDecision::GrantedAfter(Duration::from_millis(100))
    );
    advance(Duration::from_secs(5)).await;
    let after = admitted(&mut owner, Duration::from_secs(1)).await;
    assert!(after <= 12, "{after} in 1 s at 10 per second and 1 at once");
}

#[test]
fn even_partitions() {
    let mut counts = vec![0; usize::from(PARTITION_COUNT)];
    for number in 0..32_000 {
        let team = TeamName::new(&format!("team-{number}"));
        counts[TokenPartition::of(&team).index()] += 1;
    }
    for count in counts {
        assert!((850..1_150).contains(&count), "{count} of about 1,000");
    }
}

/// All hosts of a region start together and get to know each other within 1.2 s. Until then several
/// take themselves for the owner, and each is asked by those that know no better: what they grant
/// together stays within the region's share.
#[tokio::test(start_paused = true)]
async fn joining_owners() {
    const HOSTS: usize = 24;
    let partition = TokenPartition::of(&orchard());
    let mut owners: Vec<TokenOwner> = (0..HOSTS).map(|_| owner()).collect();
    let mut known = 1;
    let mut granted = 0;
    // The host that `host` takes for the owner: of itself and the hosts after it, the first.
    let believed = |host: usize, known: usize| {
        let view = (host..host + known).map(|other| other % HOSTS);
        view.min().expect("a host")
    };
    for tick in 0..300 {
        if tick % 10 == 0 && known < HOSTS {
            known = (known + 2).min(HOSTS);
            for (host, owner) in owners.iter_mut().enumerate() {
                owner.record_hosts(known, Instant::now());
                let is_owner = believed(host, known) == host;
                owner.set_owned(|other| other != partition || is_owner, Instant::now());
            }
        }
        for host in 0..HOSTS {
            let asked = &mut owners[believed(host, known)];
            let decision = asked.take(&settings(), &orchard(), 1.0, Instant::now());
            granted += usize::from(matches!(
                decision,
                TokenDecision::Granted | TokenDecision::GrantedAfter(_)
            ));
        }
        advance(Duration::from_millis(10)).await;
    }
    // The region's share is 10 a second and a burst of 10.
    assert!(granted <= 40, "{granted} granted in 3 s");
    assert!(granted >= 10, "{granted} granted in 3 s");
}
