//! Propagation of changed values between hosts: hosts that are behind fetch them, and they are
//! pushed once to peers that do not answer.

use super::FleetView;
use crate::{DeltaOutcome, FleetAction, StoreOutcome, TreeDelta};
use kws_protocol::{ConfigMessage, HostName, PeerMessage, TreeRevision};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// A fetch without a result is retried after the lease divided by this.
const FETCH_PART: u32 = 6;

/// A change is pushed to peers that have left a question unanswered for the lease divided by this.
const PUSH_PART: u32 = 6;

/// The state of fetches and pushes.
#[derive(Clone, Debug, Default)]
pub(super) struct SpreadState {
    fetch: Option<OpenFetch>,
    /// Holders asked since the last adoption, or since all had been asked.
    tried: BTreeSet<HostName>,
    push_at: Option<Instant>,
    whole_copy: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenFetch {
    revision: TreeRevision,
    at: Instant,
}

impl SpreadState {
    /// Resets the state after an adoption, and schedules the push to peers that do not answer.
    pub(super) fn adopted(&mut self, now: Instant, lease: Duration) {
        self.fetch = None;
        self.tried.clear();
        self.whole_copy = false;
        self.push_at = Some(now + lease / PUSH_PART);
    }
}

impl FleetView {
    /// Requests missing values from a host that holds them.
    pub(super) fn fetch(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if !self.is_behind(now) {
            return;
        }
        let Some((to, revision)) = self.fetch_target(now) else {
            return;
        };
        if !self.may_fetch(revision, now) {
            return;
        }
        self.spread.fetch = Some(OpenFetch { revision, at: now });
        self.spread.tried.insert(to.clone());
        self.counters.fetches += 1;
        let whole = self.spread.whole_copy;
        let since = if whole {
            TreeRevision::default()
        } else {
            self.store.revision()
        };
        let message = PeerMessage::Config(ConfigMessage::Fetch { since });
        actions.push(FleetAction::Send { to, message });
    }

    /// The first holder that has not been asked yet, since one that was asked may not receive the
    /// messages of this host. The revision returned is the newest of all holders.
    fn fetch_target(&mut self, now: Instant) -> Option<(HostName, TreeRevision)> {
        let lacks = |revision| self.store.lacks(revision);
        let holders = self.members.holders(now, self.terms.lease, lacks);
        let (first, newest) = *holders.first()?;
        let tried = &mut self.spread.tried;
        let untried = holders.iter().find(|(name, _)| !tried.contains(*name));
        if untried.is_none() {
            tried.clear();
        }
        let name = untried.map_or(first, |(name, _)| *name);
        Some((name.clone(), newest))
    }

    fn may_fetch(&self, revision: TreeRevision, now: Instant) -> bool {
        self.spread.fetch.is_none_or(|open| {
            let waited = now.saturating_duration_since(open.at);
            revision > open.revision || waited >= self.terms.lease / FETCH_PART
        })
    }

    /// Pushes the latest change once to some peers that do not answer and have not reported the
    /// active revision: they may receive this host's messages although theirs do not arrive.
    pub(super) fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.spread.push_at.is_none_or(|at| now < at) {
            return;
        }
        self.spread.push_at = None;
        let active = self.store.revision();
        let patience = self.terms.lease / PUSH_PART;
        let lags = |name: &HostName| {
            self.members.is_overdue(name, now, patience)
                && self.members.heard_revision(name) < Some(active)
        };
        for to in self.members.push_targets(lags) {
            // A host that was never heard most likely lacks the latest change only.
            let heard = self.members.heard_revision(&to);
            let since = heard.unwrap_or(self.store.previous_revision());
            if let Some(delta) = self.store.delta_since(since) {
                self.counters.pushes += 1;
                let message = PeerMessage::Config(delta);
                actions.push(FleetAction::Send { to, message });
            }
        }
    }

    pub(super) fn take_config(
        &mut self,
        from: &HostName,
        message: ConfigMessage,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        match message {
            ConfigMessage::Fetch { since } => {
                if let Some(delta) = self.store.delta_since(since) {
                    actions.push(FleetAction::Send {
                        to: from.clone(),
                        message: PeerMessage::Config(delta),
                    });
                }
            }
            ConfigMessage::Delta {
                base,
                revision,
                digest,
                set,
                removed,
            } => {
                let delta = TreeDelta {
                    base,
                    revision,
                    digest,
                    set,
                    removed,
                };
                self.take_delta(from, &delta, now, actions);
            }
        }
    }

    fn take_delta(
        &mut self,
        from: &HostName,
        delta: &TreeDelta,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.members.record_report(from, delta.revision, now);
        match self.store.apply(delta) {
            DeltaOutcome::Offered(StoreOutcome::Older) => {}
            DeltaOutcome::Offered(outcome) => self.settle(outcome, now, actions),
            // The next fetch states the active revision, so the delta in its answer will apply.
            DeltaOutcome::MissingBase => self.spread.fetch = None,
            DeltaOutcome::BadDigest => {
                self.counters.bad_deltas += 1;
                self.spread.whole_copy = true;
            }
        }
    }
}
