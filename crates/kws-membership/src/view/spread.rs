//! Spread of changed values between hosts: fetched by who lags, pushed once to who is not heard.

use super::FleetView;
use crate::{DeltaOutcome, FleetAction, StoreOutcome, TreeDelta};
use kws_protocol::{ConfigMessage, HostName, PeerMessage, TreeRevision};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// A fetch without result is tried again after this part of the lease.
const FETCH_PART: u32 = 6;

/// A change is pushed to peers that have left a question open for this part of the lease.
const PUSH_PART: u32 = 6;

/// What is under way.
#[derive(Clone, Debug, Default)]
pub(super) struct SpreadState {
    fetch: Option<OpenFetch>,
    /// Holders asked since the last adoption, or since all were asked.
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
    /// A revision came into force: nothing is being fetched, and silent peers get it pushed
    /// soon.
    pub(super) fn adopted(&mut self, now: Instant, lease: Duration) {
        self.fetch = None;
        self.tried.clear();
        self.whole_copy = false;
        self.push_at = Some(now + lease / PUSH_PART);
    }
}

impl FleetView {
    /// Asks a holder for what is missing here.
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
            self.store.held()
        };
        let message = PeerMessage::Config(ConfigMessage::Fetch { since });
        actions.push(FleetAction::Send { to, message });
    }

    /// The first holder that was not asked yet: one that was may hear nothing.
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

    /// Pushes the change in force, once, to some peers that do not answer and were not heard at it:
    /// they may hear this host although it does not hear them.
    pub(super) fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.spread.push_at.is_none_or(|at| now < at) {
            return;
        }
        self.spread.push_at = None;
        let held = self.store.held();
        let patience = self.terms.lease / PUSH_PART;
        let lags = |name: &HostName| {
            self.members.is_overdue(name, now, patience)
                && self.members.heard_revision(name) < Some(held)
        };
        for to in self.members.push_targets(lags) {
            // Of a host never heard the likeliest is that it lacks the last change only.
            let heard = self.members.heard_revision(&to);
            let since = heard.unwrap_or(self.store.previous());
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
            // The fetch that follows names what is held, so its answer will fit.
            DeltaOutcome::MissingBase => self.spread.fetch = None,
            DeltaOutcome::BadDigest => {
                self.counters.bad_deltas += 1;
                self.spread.whole_copy = true;
            }
        }
    }
}
