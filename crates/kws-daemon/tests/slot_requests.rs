//! Slot requests of other hosts that arrive again, or after their end.

#[allow(dead_code)]
#[path = "../src/placement/remote.rs"]
mod remote;

use kws_protocol::{HostName, ServerName, SlotGrant};
use remote::RemoteTickets;
use std::time::Duration;
use tokio::time::{Instant, advance};

const TICKET: u64 = 7;
/// A time after which an unconfirmed request counts as ended.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(1_200);

fn grant(server: &str) -> SlotGrant {
    SlotGrant {
        server: ServerName::new(server),
        address: ([127, 0, 0, 1], 1).into(),
        probe: false,
    }
}

/// Guards against a second slot for a request that was sent again.
#[tokio::test(start_paused = true)]
async fn sent_again() {
    let (host, mut tickets) = (HostName::new("10.0.0.1:1/a"), RemoteTickets::default());
    let now = Instant::now();
    let (key, _) = tickets.key_for(&host, TICKET, now);
    tickets.record_grant(key, &grant("server-0"), now);
    assert_eq!(tickets.key_for(&host, TICKET, now), (key, true));
    assert_eq!(tickets.granted(key), Some(grant("server-0")));
}

/// Guards against the grant of a host's earlier run, or of another host, for the same ticket number.
#[tokio::test(start_paused = true)]
async fn same_number() {
    let mut tickets = RemoteTickets::default();
    let now = Instant::now();
    let (first, _) = tickets.key_for(&HostName::new("10.0.0.1:1/a"), TICKET, now);
    tickets.record_grant(first, &grant("server-0"), now);
    for other in ["10.0.0.1:1/b", "10.0.0.2:1/a"] {
        let (key, known) = tickets.key_for(&HostName::new(other), TICKET, now);
        assert!(!known && key != first, "{other}");
        assert_eq!(tickets.granted(key), None, "{other}");
    }
}

/// Guards against a slot that is never freed, or the end of another one, after messages in the wrong
/// order: the end of a request, then the request again.
#[tokio::test(start_paused = true)]
async fn sent_after_end() {
    let (host, mut tickets) = (HostName::new("10.0.0.1:1/a"), RemoteTickets::default());
    let (ended, _) = tickets.key_for(&host, TICKET, Instant::now());
    assert_eq!(tickets.remove_ticket(&host, TICKET), Some(ended));
    let (late, known) = tickets.key_for(&host, TICKET, Instant::now());
    assert!(!known && late != ended);
    assert_eq!(tickets.remove_key(ended), None, "ended once");
    advance(UNCONFIRMED_TIME).await;
    assert_eq!(tickets.remove_unconfirmed(Instant::now()), [late]);
    assert!(tickets.is_empty());
}
