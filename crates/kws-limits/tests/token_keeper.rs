//! Tokens that one host keeps for a region.

mod common {
    pub mod fleet;
}

use common::fleet::snapshot;
use kws_limits::{TokenAnswer, TokenKeeper};
use kws_protocol::{FleetSettings, TeamName};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Two regions with equal shares, a team of 20 a second with a burst of 20, and one without limit.
fn settings() -> FleetSettings {
    let teams = [("orchard", 20.0, 20.0), ("open", 1e9, 1e9)];
    let weights = [("vidzemes", 0.5), ("zemgales", 0.5)];
    snapshot(1, &[], &teams, &weights).settings.clone()
}

fn keeper() -> TokenKeeper {
    TokenKeeper::new("vidzemes".into(), Instant::now())
}

fn orchard() -> TeamName {
    TeamName::new("orchard")
}

/// What is admitted within `time`, asked each 5 ms.
async fn admitted(keeper: &mut TokenKeeper, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < end {
        let answer = keeper.take(&settings(), &orchard(), 1.0, Instant::now());
        count += usize::from(matches!(answer, TokenAnswer::Now | TokenAnswer::After(_)));
        advance(Duration::from_millis(5)).await;
    }
    count
}

#[tokio::test(start_paused = true)]
async fn starts_empty() {
    let mut keeper = keeper();
    let answer = keeper.take(&settings(), &orchard(), 1.0, Instant::now());
    let wait = Duration::from_millis(100);
    assert_eq!(answer, TokenAnswer::After(wait), "a token each 100 ms");
}

/// The share of the region: half of the rate, and half of the burst after a rest.
#[tokio::test(start_paused = true)]
async fn share_kept() {
    let mut keeper = keeper();
    let first = admitted(&mut keeper, Duration::from_secs(10)).await;
    assert!(
        (95..=102).contains(&first),
        "{first} in 10 s at 10 a second"
    );
    advance(Duration::from_secs(5)).await;
    let burst = admitted(&mut keeper, Duration::from_millis(5)).await;
    assert_eq!(burst, 1);
    let after = admitted(&mut keeper, Duration::from_secs(1)).await;
    assert!(
        after <= 21,
        "{after}: a burst of 10 and 10 a second, one waits"
    );
}

#[tokio::test(start_paused = true)]
async fn refusal_honest() {
    let mut keeper = keeper();
    for _ in 0..3 {
        keeper.take(&settings(), &orchard(), 1.0, Instant::now());
    }
    let answer = keeper.take(&settings(), &orchard(), 1.0, Instant::now());
    let TokenAnswer::Refused { retry_after } = answer else {
        panic!("{answer:?}");
    };
    advance(retry_after).await;
    let again = keeper.take(&settings(), &orchard(), 1.0, Instant::now());
    assert!(!matches!(again, TokenAnswer::Refused { .. }), "{again:?}");
}

/// What one region lends the other, it doesn't have any more.
#[tokio::test(start_paused = true)]
async fn lent_once() {
    let mut keeper = keeper();
    advance(Duration::from_millis(150)).await;
    assert_eq!(
        keeper.lend(&settings(), &orchard(), Instant::now()),
        TokenAnswer::Now
    );
    let second = keeper.lend(&settings(), &orchard(), Instant::now());
    assert!(matches!(second, TokenAnswer::Refused { .. }), "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn unlimited_team() {
    let mut keeper = keeper();
    let open = TeamName::new("open");
    for _ in 0..1_000 {
        assert_eq!(
            keeper.take(&settings(), &open, 1.0, Instant::now()),
            TokenAnswer::Now
        );
    }
    let nobody = TeamName::new("nobody");
    assert_eq!(
        keeper.take(&settings(), &nobody, 1.0, Instant::now()),
        TokenAnswer::Unknown
    );
}
