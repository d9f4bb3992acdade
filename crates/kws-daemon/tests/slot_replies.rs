//! Which host's reply counts for a slot request that has moved from one host to another.

/// What the module under test takes from its crate.
mod dispatch {
    use kws_dispatch::ServerGrant;
    use kws_forward::Refusal;
    use tokio::sync::oneshot;

    pub(crate) type GrantReply = oneshot::Sender<Result<ServerGrant, Refusal>>;
}

#[allow(dead_code)]
#[path = "../src/placement/pending.rs"]
mod pending;

use kws_protocol::{CenterName, HostName, ServiceName, SlotRequest, TeamName, TryKind};
use pending::{PendingSlot, PendingSlots};
use rstest::rstest;
use std::time::Duration;
use tokio::{
    sync::oneshot,
    time::{Instant, advance},
};

const TICKET: u64 = 7;
/// A time after which a host counts as unresponsive unless it has queued the request.
const UNANSWERED_TIME: Duration = Duration::from_millis(100);

fn slot_request() -> SlotRequest {
    SlotRequest {
        ticket: TICKET,
        service: ServiceName::new("till"),
        center: CenterName::new("turaida"),
        team: TeamName::new("orchard"),
        weight: 1.0,
        priority: 1,
        remaining: Duration::from_secs(1),
        objective: None,
        repeatable: false,
        expected_bytes: 100,
        unserved_share: 0.0,
        excluded: Vec::new(),
        kind: TryKind::First,
    }
}

/// A request that was sent to `first` and, when the list no longer had that host, to `second`.
fn moved_request(first: &HostName, second: &HostName) -> PendingSlots {
    let mut slots = PendingSlots::default();
    let (reply, _) = oneshot::channel();
    let now = Instant::now();
    slots.add(PendingSlot::new(slot_request(), reply, first.clone(), now));
    for moved in slots.take_unlisted(|host| host != first) {
        let again = PendingSlot::new(moved.request, moved.reply, second.clone(), now);
        slots.add(again);
    }
    slots
}

/// Guards against a late refusal of a host that has left, taken for the answer of the one that the
/// request was sent to since.
#[rstest]
#[case::current("10.0.0.2:1/b", "10.0.0.2:1/b", true)]
#[case::known_by_address("10.0.0.2:1", "10.0.0.2:1/b", true)]
#[case::former("10.0.0.2:1/b", "10.0.0.1:1/a", false)]
#[case::earlier_run("10.0.0.2:1/b", "10.0.0.2:1/a", false)]
#[tokio::test(start_paused = true)]
async fn former_host(#[case] second: &str, #[case] from: &str, #[case] counts: bool) {
    let (first, second) = (HostName::new("10.0.0.1:1/a"), HostName::new(second));
    let mut slots = moved_request(&first, &second);
    let from = HostName::new(from);
    slots.record_queued(TICKET, &from, Instant::now());
    advance(UNANSWERED_TIME).await;
    let has_timed_out = slots.take_timed_out(Instant::now()).len() == 1;
    assert_eq!(has_timed_out, !counts, "queued at {from}");
    let mut slots = moved_request(&first, &second);
    assert_eq!(slots.take_replied(TICKET, &from).is_some(), counts);
    assert_eq!(slots.is_empty(), counts, "still waits for {second}");
}
