//! A host that has just started delays requests until it has loaded the settings.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, get};
use kws_standin::backend::BackendScript;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time::sleep;

async fn joining_fleet() -> Fleet {
    let fleet = Fleet::start([BackendScript::default()]).await;
    fleet.control.joining.store(true, Ordering::SeqCst);
    fleet.control.current.store(false, Ordering::SeqCst);
    fleet
}

#[tokio::test]
async fn joins_soon() {
    let fleet = joining_fleet().await;
    let joins = async {
        sleep(Duration::from_millis(300)).await;
        fleet.control.current.store(true, Ordering::SeqCst);
    };
    let (response, ()) = tokio::join!(fleet.get("/listing"), joins);
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn never_joins() {
    let fleet = joining_fleet().await;
    let response = fleet.get("/listing").await;
    assert_eq!((response.status(), response.reason()), (503, "not_current"));
}

/// A host that was current and lost its lease refuses at once: it may be partitioned for a long
/// time.
#[tokio::test]
async fn lost_lease() {
    let fleet = joining_fleet().await;
    fleet.control.joining.store(false, Ordering::SeqCst);
    let joins = async {
        sleep(Duration::from_millis(300)).await;
        fleet.control.current.store(true, Ordering::SeqCst);
    };
    let (response, ()) = tokio::join!(fleet.get("/listing"), joins);
    assert_eq!(response.status(), 503, "{}", get("/listing"));
}
