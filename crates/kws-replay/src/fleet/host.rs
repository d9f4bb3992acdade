//! One host of a trace: its decisions, its platform watch, and whether it runs.

use super::{
    FleetNode, NodeIdentity,
    bus::BusEvent,
    platform::{WatchCall, WatchReply},
};
use kws_membership::FleetAction;
use kws_protocol::TreeRevision;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a host runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HostPhase {
    Running,
    Paused,
    Dead,
}

/// The open call to the platform.
#[derive(Clone, Copy, Debug)]
struct OpenWatch {
    id: u64,
    sent: Instant,
}

/// One host.
pub(super) struct TraceHost {
    pub(super) identity: NodeIdentity,
    pub(super) node: Box<dyn FleetNode>,
    pub(super) phase: HostPhase,
    /// What came while the host was paused.
    pub(super) backlog: Vec<BusEvent>,
    known: TreeRevision,
    watch: Option<OpenWatch>,
    watches: u64,
    failed: bool,
}

impl TraceHost {
    pub(super) fn new(identity: NodeIdentity, node: Box<dyn FleetNode>) -> Self {
        Self {
            identity,
            node,
            phase: HostPhase::Running,
            backlog: Vec::new(),
            known: TreeRevision::default(),
            watch: None,
            watches: 0,
            failed: false,
        }
    }

    /// Calls the platform; the first call, and the one after a failure, does not wait.
    pub(super) fn call(&mut self, now: Instant) -> WatchCall {
        self.watches += 1;
        self.watch = Some(OpenWatch {
            id: self.watches,
            sent: now,
        });
        let at_once = self.failed || self.known == TreeRevision::default();
        WatchCall {
            host: self.identity.name.clone(),
            id: self.watches,
            known: self.known,
            wait: if at_once {
                Duration::ZERO
            } else {
                self.node.watch_wait()
            },
        }
    }

    /// How long a call may take before it counts as failed.
    pub(super) fn patience(&self, call: &WatchCall) -> Duration {
        call.wait + self.node.watch_grace()
    }

    /// Takes a reply; none when the call is no longer open.
    pub(super) fn take(
        &mut self,
        id: u64,
        reply: WatchReply,
        now: Instant,
    ) -> Option<Vec<FleetAction>> {
        let watch = self.watch.take_if(|watch| watch.id == id)?;
        self.failed = matches!(reply, WatchReply::Failed);
        Some(match reply {
            WatchReply::Values(values) => {
                self.known = values.revision;
                self.node.platform_answer(values, watch.sent, now)
            }
            WatchReply::Unchanged(revision) => {
                self.node.platform_confirmed(revision, watch.sent, now)
            }
            WatchReply::Failed => self.node.platform_failed(now),
        })
    }

    /// The pause before the next call.
    pub(super) fn next_call(&self) -> Duration {
        self.node.retry_pause()
    }
}
