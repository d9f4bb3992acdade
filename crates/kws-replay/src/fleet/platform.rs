//! A small fake of the platform: revisions, stale replicas, outages and waiting watches.

use super::{
    checker::{BROKEN, FRESHNESS, HOSTS, KEYS},
    trace::{FleetTrace, PublishStep},
};
use kws_protocol::{HostName, PublishedValues, TreeRevision};
use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};

/// One call of a host.
#[derive(Clone, Debug)]
pub(super) struct WatchCall {
    pub(super) host: HostName,
    pub(super) id: u64,
    /// The revision that the platform gave the host last; 0 for none.
    pub(super) known: TreeRevision,
    pub(super) wait: Duration,
}

/// What the platform answers.
#[derive(Clone, Debug)]
pub(super) enum WatchReply {
    Values(PublishedValues),
    Unchanged(TreeRevision),
    Failed,
}

/// The platform.
#[derive(Debug)]
pub(super) struct FakePlatform {
    revisions: Vec<PublishedValues>,
    list: BTreeMap<String, String>,
    stale: BTreeMap<HostName, TreeRevision>,
    waiting: Vec<WatchCall>,
    down: bool,
}

impl FakePlatform {
    /// A platform at revision 1.
    pub(super) fn new(trace: &FleetTrace) -> Self {
        let millis = |seconds: f64| Duration::from_secs_f64(seconds).as_millis();
        let freshness = format!("{}\n{}", millis(trace.lease), millis(trace.stale_region));
        let mut platform = Self {
            revisions: vec![PublishedValues {
                revision: TreeRevision::default(),
                values: [(String::from(FRESHNESS), Arc::from(freshness))].into(),
            }],
            list: BTreeMap::new(),
            stale: BTreeMap::new(),
            waiting: Vec::new(),
            down: false,
        };
        platform.publish(&PublishStep {
            keys: Some(trace.keys.clone()),
            add: trace.hosts.clone(),
            ..PublishStep::default()
        });
        platform
    }

    /// Publishes the next revision and returns the watches that it ends.
    pub(super) fn publish(&mut self, step: &PublishStep) -> Vec<WatchCall> {
        self.change_list(step);
        let mut next = self.newest().clone();
        next.revision = TreeRevision::first(self.revisions.len() as u64);
        next.values
            .insert(String::from(HOSTS), Arc::from(self.list_text()));
        if let Some(keys) = &step.keys {
            next.values
                .insert(String::from(KEYS), Arc::from(keys.join("\n")));
        }
        if step.broken {
            next.values.insert(String::from(BROKEN), Arc::from(""));
        } else {
            next.values.remove(BROKEN);
        }
        self.revisions.push(next);
        self.ended()
    }

    /// Goes down or up; returns the watches that the change ends.
    pub(super) fn set_down(&mut self, down: bool) -> Vec<WatchCall> {
        self.down = down;
        self.ended()
    }

    /// Lets `host` read a replica that stopped at `revision`, or a fresh one.
    pub(super) fn set_replica(
        &mut self,
        host: &HostName,
        revision: Option<TreeRevision>,
    ) -> Vec<WatchCall> {
        match revision {
            Some(revision) => self.stale.insert(host.clone(), revision),
            None => self.stale.remove(host),
        };
        self.ended()
    }

    /// Takes a call; returns it at once when it need not wait.
    pub(super) fn take(&mut self, call: WatchCall) -> Vec<WatchCall> {
        if call.wait.is_zero() {
            return vec![call];
        }
        self.waiting.push(call);
        self.ended()
    }

    /// Ends the wait of a call, if it still waits.
    pub(super) fn expire(&mut self, host: &HostName, id: u64) -> Option<WatchCall> {
        let expired = |call: &WatchCall| call.host == *host && call.id == id;
        let index = self.waiting.iter().position(expired)?;
        Some(self.waiting.swap_remove(index))
    }

    /// The answer to `call` now.
    pub(super) fn reply(&self, call: &WatchCall) -> WatchReply {
        let values = self.replica(&call.host);
        if self.down {
            WatchReply::Failed
        } else if values.revision == call.known {
            WatchReply::Unchanged(values.revision)
        } else {
            WatchReply::Values(values.clone())
        }
    }

    fn ended(&mut self) -> Vec<WatchCall> {
        let waiting = std::mem::take(&mut self.waiting);
        let (stay, ended) = waiting
            .into_iter()
            .partition(|call| matches!(self.reply(call), WatchReply::Unchanged(_)));
        self.waiting = stay;
        ended
    }

    fn newest(&self) -> &PublishedValues {
        &self.revisions[self.revisions.len() - 1]
    }

    fn replica(&self, host: &HostName) -> &PublishedValues {
        let stale = self.stale.get(host);
        let values = stale.and_then(|revision| self.revisions.get(revision.count() as usize));
        values.unwrap_or(self.newest())
    }

    fn change_list(&mut self, step: &PublishStep) {
        for (region, names) in &step.add {
            for name in names {
                self.list.insert(name.clone(), format!("{region} live"));
            }
        }
        for name in &step.remove {
            self.list.remove(name);
        }
        for name in &step.leaving {
            if let Some(entry) = self.list.get_mut(name) {
                *entry = entry.replace(" live", " leaving");
            }
        }
    }

    fn list_text(&self) -> String {
        let mut text = String::new();
        for (name, entry) in &self.list {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {entry}");
        }
        text
    }
}
