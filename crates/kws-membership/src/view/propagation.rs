//! Propagation of changed values between hosts: hosts that are behind fetch them, and they are
//! pushed once to peers that do not reply.

use super::FleetView;
use crate::{DeltaOutcome, FleetAction, StoreOutcome, TreeDelta};
use kws_protocol::{ConfigMessage, HostName, PeerMessage, TreeRevision};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// A fetch without a result is retried after the lease divided by this.
const FETCH_RETRY_DIVISOR: u32 = 6;

/// A change is pushed to peers that have left a query without a reply for the lease divided by
/// this.
const PUSH_DELAY_DIVISOR: u32 = 6;

/// The state of fetches and pushes.
#[derive(Clone, Debug, Default)]
pub(super) struct PropagationState {
    fetch: Option<OpenFetch>,
    /// Holders asked since the last adoption, or since all had been asked.
    asked: BTreeSet<HostName>,
    push_at: Option<Instant>,
    full_copy: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenFetch {
    revision: TreeRevision,
    sent_at: Instant,
}

impl PropagationState {
    /// Resets the state after an adoption, and schedules the push to peers that do not reply.
    pub(super) fn reset_after_adoption(&mut self, now: Instant, lease: Duration) {
        self.fetch = None;
        self.asked.clear();
        self.full_copy = false;
        self.push_at = Some(now + lease / PUSH_DELAY_DIVISOR);
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
        self.propagation.fetch = Some(OpenFetch {
            revision,
            sent_at: now,
        });
        self.propagation.asked.insert(to.clone());
        self.counters.fetches += 1;
        let full_copy = self.propagation.full_copy;
        let since = if full_copy {
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
        let asked = &mut self.propagation.asked;
        let unasked = holders.iter().find(|(name, _)| !asked.contains(*name));
        if unasked.is_none() {
            asked.clear();
        }
        let name = unasked.map_or(first, |(name, _)| *name);
        Some((name.clone(), newest))
    }

    fn may_fetch(&self, revision: TreeRevision, now: Instant) -> bool {
        self.propagation.fetch.is_none_or(|open| {
            let waited = now.saturating_duration_since(open.sent_at);
            revision > open.revision || waited >= self.terms.lease / FETCH_RETRY_DIVISOR
        })
    }

    /// Pushes the latest change once to some peers that do not reply and have not reported the
    /// active revision: they may receive this host's messages although theirs do not arrive.
    pub(super) fn push(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.propagation.push_at.is_none_or(|at| now < at) {
            return;
        }
        self.propagation.push_at = None;
        let active = self.store.revision();
        let overdue_after = self.terms.lease / PUSH_DELAY_DIVISOR;
        let lags = |name: &HostName| {
            self.members.is_overdue(name, now, overdue_after)
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

    pub(super) fn receive_config(
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
                self.receive_delta(from, &delta, now, actions);
            }
        }
    }

    fn receive_delta(
        &mut self,
        from: &HostName,
        delta: &TreeDelta,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.members.record_report(from, delta.revision, now);
        match self.store.apply(delta) {
            DeltaOutcome::Offered(StoreOutcome::Older) => {}
            DeltaOutcome::Offered(outcome) => self.apply_outcome(outcome, now, actions),
            // The next fetch states the active revision, so the delta in its reply will apply.
            DeltaOutcome::MissingBase => self.propagation.fetch = None,
            DeltaOutcome::BadDigest => {
                self.counters.bad_deltas += 1;
                self.propagation.full_copy = true;
            }
        }
    }
}
