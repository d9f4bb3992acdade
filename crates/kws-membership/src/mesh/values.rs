//! The published values that a host of the mesh holds, ordered by revision and identified by
//! digest.

use super::retained::{RetainedCounts, RetainedValues, Values, WitnessedValues, expiry_time};
use crate::{
    TreeChecker, TreeRejection,
    store::{ChangeHistory, changed_keys},
};
use kws_protocol::{
    FleetSettings, MeshMessage, PublishedValues, RetainedValue, TreeRevision, ValuesDelta,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Maximum number of digests of retained values that are remembered as known.
const KNOWN_DIGESTS: usize = 16;

/// Maximum size of the retained texts that are sent together with a change, in bytes: a whole copy may fill
/// most of a frame.
const MAX_JOINT_BYTES: usize = 64 * 1024;

/// The result of offering values.
#[derive(Debug, PartialEq)]
pub(crate) enum ValuesOutcome {
    /// The values are now the active ones.
    Adopted,
    /// The same as the active values, whose revision may have been lower.
    Equal,
    /// Not newer than the active values, or rejected before.
    Older,
    /// The change does not apply to the active values.
    MissingBase,
    /// The check failed; the active values stay.
    Rejected(TreeRejection),
}

/// A return of the platform from an older copy of its data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EraChange {
    /// The last revision known before it.
    pub(crate) from: TreeRevision,
    /// The first revision after it.
    pub(crate) to: TreeRevision,
    /// What is retained although the copy lacks it.
    pub(crate) retained: RetainedCounts,
}

struct ActiveValues {
    /// The platform's values.
    values: PublishedValues,
    /// The digest of the platform's values.
    digest: u64,
    /// The values in force; none if they are the platform's.
    effective: Option<BTreeMap<String, Arc<str>>>,
    settings: Arc<FleetSettings>,
}

impl ActiveValues {
    /// The values in force.
    fn effective(&self) -> &BTreeMap<String, Arc<str>> {
        self.effective.as_ref().unwrap_or(&self.values.values)
    }
}

/// A change computed for a host that requested it.
#[derive(Clone)]
struct CachedChange {
    /// The digest of the values that the host holds.
    since: u64,
    /// The digest of the values after the change.
    digest: u64,
    /// The digest of the values that the change applies to; 0 for a full copy.
    base: u64,
    values: Arc<ValuesDelta>,
}

/// The active values, and the history from which changes for other hosts are computed.
pub(crate) struct MeshValues {
    checker: Box<dyn TreeChecker>,
    active: Option<ActiveValues>,
    retained: RetainedValues,
    /// When the platform last confirmed the active values.
    confirmed: Option<Instant>,
    /// What was in force before the platform's last return from an older copy.
    witnessed: Option<WitnessedValues>,
    /// When the platform last returned from an older copy, as far as this host knows: when the first host that it
    /// heard from learned of it. None before the first return.
    era_began: Option<Instant>,
    /// Digests of retained values that this host holds, or held in this era.
    known_retained: VecDeque<u64>,
    era_change: Option<EraChange>,
    rejected: Option<(TreeRevision, u64)>,
    history: ChangeHistory<u64>,
    /// The change computed last, cached because many hosts request the same one.
    cached_change: Option<CachedChange>,
}

impl MeshValues {
    /// Starts without values.
    pub(crate) fn new(checker: Box<dyn TreeChecker>) -> Self {
        Self {
            checker,
            active: None,
            retained: RetainedValues::default(),
            confirmed: None,
            witnessed: None,
            era_began: None,
            known_retained: VecDeque::new(),
            era_change: None,
            rejected: None,
            history: ChangeHistory::default(),
            cached_change: None,
        }
    }

    /// The active settings.
    pub(crate) fn settings(&self) -> Option<&Arc<FleetSettings>> {
        self.active.as_ref().map(|active| &active.settings)
    }

    /// The highest revision at which the active values are known to be current; 0 for none.
    pub(crate) fn revision(&self) -> TreeRevision {
        let active = self.active.as_ref();
        active.map_or(TreeRevision::default(), |active| active.values.revision)
    }

    /// The highest revision whose values were adopted or refused.
    pub(crate) fn newest_checked(&self) -> TreeRevision {
        let rejected = self.rejected.map(|(revision, _)| revision);
        self.revision().max(rejected.unwrap_or_default())
    }

    /// The digest of the active values; 0 for none.
    pub(crate) fn digest(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.digest)
    }

    /// Whether values with `digest` at `revision` are newer than the active ones and not the ones
    /// rejected last.
    pub(crate) fn accepts(&self, revision: TreeRevision, digest: u64) -> bool {
        let rejected = self
            .rejected
            .is_some_and(|(_, rejected)| rejected == digest);
        revision > self.revision() && digest != self.digest() && !rejected
    }

    /// Whether `values` lacks a key of the active values.
    pub(crate) fn loses_keys(&self, values: &PublishedValues) -> bool {
        let active = self.active.as_ref();
        let mut keys = active
            .into_iter()
            .flat_map(|active| active.values.values.keys());
        keys.any(|key| !values.values.contains_key(key))
    }

    /// Records that the platform confirmed the active values at `confirmed`.
    pub(crate) fn record_confirmation(&mut self, confirmed: Instant) {
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Raises the revision of the active values, which were seen unchanged at `revision`.
    pub(crate) fn raise_revision(&mut self, revision: TreeRevision, now: Instant) {
        let Some(active) = &mut self.active else {
            return;
        };
        let from = active.values.revision;
        active.values.revision = from.max(revision);
        if revision.era() > from.era() {
            let mut retained = self.retained.clone();
            let before = active.effective().clone();
            let times = (now, now);
            retained.begin_era(&*self.checker, &before, &active.values.values, times);
            self.replace_retained(retained, now);
            self.record_era(from, revision, before, now);
        }
    }

    /// Records a return of the platform; `values` were in force before it.
    fn record_era(&mut self, from: TreeRevision, to: TreeRevision, values: Values, began: Instant) {
        // For some time the platform shows servers from its copy whether they live or not.
        let shown_from = self
            .era_began
            .map(|began| began + expiry_time(&*self.checker));
        let confirmed = self.confirmed.filter(|at| Some(*at) >= shown_from);
        if let Some(confirmed) = confirmed {
            self.witnessed = Some(WitnessedValues { confirmed, values });
        }
        self.era_began = Some(began);
        // Equal digests of two eras may stand for other departures.
        self.known_retained.clear();
        self.remember_retained(self.retained.digest());
        self.remember_retained(self.retained.newer_digest());
        let retained = self.retained.counts();
        self.era_change = Some(EraChange { from, to, retained });
    }

    /// Time since the platform last returned from an older copy; none before the first return.
    pub(crate) fn era_age(&self, now: Instant) -> Option<Duration> {
        self.era_began
            .map(|began| now.saturating_duration_since(began))
    }

    /// Takes over that the platform returned `age` ago in the era of `revision`, if another host learned of it
    /// earlier than this one, which may have been cut off.
    pub(crate) fn record_era_age(&mut self, revision: TreeRevision, age: Duration, now: Instant) {
        let (Some(known), Some(began)) = (self.era_began, now.checked_sub(age)) else {
            return;
        };
        if revision.era() == self.revision().era() && began < known {
            self.era_began = Some(began);
            self.retained.advance_missing(began);
        }
    }

    /// The last return of the platform from an older copy, once.
    pub(crate) fn take_era_change(&mut self) -> Option<EraChange> {
        self.era_change.take()
    }

    /// Checks a full copy of the platform's values and adopts it if it is newer and valid.
    pub(crate) fn offer(&mut self, values: PublishedValues, now: Instant) -> ValuesOutcome {
        self.offer_since(values, now, now)
    }

    /// Offers values of an era that began at `began`, unless an earlier time is known.
    fn offer_since(
        &mut self,
        values: PublishedValues,
        began: Instant,
        now: Instant,
    ) -> ValuesOutcome {
        let digest = values.digest();
        if self.active.is_some() && digest == self.digest() {
            self.raise_revision(values.revision, now);
            return ValuesOutcome::Equal;
        }
        if !self.accepts(values.revision, digest) {
            return ValuesOutcome::Older;
        }
        let held = self.revision();
        let is_return = self.active.is_some() && values.revision.era() > held.era();
        let mut retained = self.retained.clone();
        match &self.active {
            Some(active) if is_return => {
                let before = active.effective();
                retained.begin_era(&*self.checker, before, &values.values, (began, now));
            }
            _ => retained.settle(&*self.checker, &values.values),
        }
        if let (Some(active), Some(began), false) = (&self.active, self.era_began, is_return) {
            let states = (active.effective(), &values.values);
            retained.keep_missing(&*self.checker, states, began, (self.confirmed, now));
        }
        let before = self.active.as_ref().filter(|_| is_return);
        let before = before.map_or_else(Values::new, |active| active.effective().clone());
        let revision = values.revision;
        match self.activate(values, digest, retained, now) {
            Ok(()) => {
                if is_return {
                    self.record_era(held, revision, before, began);
                }
                ValuesOutcome::Adopted
            }
            Err(rejection) => {
                self.rejected = Some((revision, digest));
                ValuesOutcome::Rejected(rejection)
            }
        }
    }

    /// Makes the platform's `values` the active ones, as far as nothing else is retained.
    fn activate(
        &mut self,
        values: PublishedValues,
        digest: u64,
        mut retained: RetainedValues,
        now: Instant,
    ) -> Result<(), TreeRejection> {
        let effective = (!retained.is_empty()).then(|| PublishedValues {
            revision: values.revision,
            values: retained.apply(&*self.checker, &values),
        });
        let in_force = effective.as_ref().unwrap_or(&values);
        let settings = self.checker.check(in_force)?.settings;
        if self.active.is_none() && values.revision.era() > TreeRevision::FIRST_ERA {
            self.era_began = Some(now);
        }
        if let Some(active) = &self.active {
            let states = (active.effective(), &in_force.values);
            let changed = changed_keys(states.0, states.1);
            retained.record_departures(&*self.checker, &changed, states, now);
            if active.digest != digest {
                self.history.record(active.digest, &active.values, &values);
            }
        }
        self.active = Some(ActiveValues {
            values,
            digest,
            effective: effective.map(|published| published.values),
            settings,
        });
        self.remember_retained(retained.digest());
        self.remember_retained(retained.newer_digest());
        self.retained = retained;
        Ok(())
    }

    /// Puts `retained` in force in place of what was retained so far. Returns whether the values in force
    /// have changed.
    fn replace_retained(&mut self, retained: RetainedValues, now: Instant) -> bool {
        let Some(active) = &self.active else {
            return false;
        };
        let before = Arc::clone(&active.settings);
        let (values, digest) = (active.values.clone(), active.digest);
        if let Err(rejection) = self.activate(values, digest, retained, now) {
            log::error!(findings = rejection.findings.as_str(); "retained values refused");
        }
        self.settings() != Some(&before)
    }

    /// Whether the platform came back from an older copy so lately that its values change soon.
    pub(crate) fn has_returned(&self, now: Instant) -> bool {
        self.era_began
            .is_some_and(|began| now < began + expiry_time(&*self.checker))
    }

    /// Whether retained values wait for a confirmation by the platform to end.
    pub(crate) fn awaits_confirmation(&self, now: Instant) -> bool {
        self.retained.is_overdue(now)
    }

    /// Drops retained values whose time has passed. Returns whether the values in force have changed.
    pub(crate) fn drop_expired(&mut self, now: Instant) -> bool {
        let due = self
            .confirmed
            .filter(|confirmed| self.retained.is_due(*confirmed, now));
        let (Some(confirmed), Some(active)) = (due, &self.active) else {
            return false;
        };
        let mut retained = self.retained.clone();
        let values = &active.values.values;
        retained.drop_expired(&*self.checker, values, (confirmed, now));
        self.replace_retained(retained, now)
    }

    /// Adds what another host of the same era retains. Returns whether the values in force have changed.
    fn merge_retained(
        &mut self,
        revision: TreeRevision,
        reports: &[RetainedValue],
        now: Instant,
    ) -> bool {
        let Some(active) = &self.active else {
            return false;
        };
        if reports.is_empty() || revision.era() != active.values.revision.era() {
            return false;
        }
        let mut retained = self.retained.clone();
        let known = (&active.values.values, self.witnessed.as_ref());
        retained.merge(&*self.checker, reports, known, now);
        let digest = RetainedValues::reported_digest(&*self.checker, reports);
        // The sender may have left out versions that this host holds as well.
        let whole = self.retained.with_newer(reports);
        let whole_digest = RetainedValues::reported_digest(&*self.checker, &whole);
        self.remember_retained(digest);
        self.remember_retained(whole_digest);
        self.replace_retained(retained, now)
    }

    fn remember_retained(&mut self, digest: u64) {
        if digest == 0 || self.known_retained.contains(&digest) {
            return;
        }
        if self.known_retained.len() == KNOWN_DIGESTS {
            self.known_retained.pop_front();
        }
        self.known_retained.push_back(digest);
    }

    /// The digest of the retained values; 0 for none.
    pub(crate) fn retained_digest(&self) -> u64 {
        self.retained.digest()
    }

    /// Whether another host with the retained values `digest` has some that this host never held.
    pub(crate) fn lacks_retained(&self, digest: u64) -> bool {
        digest != 0 && !self.known_retained.contains(&digest)
    }

    /// Applies a [`MeshMessage::Delta`] and offers the result; ignores other messages.
    pub(crate) fn apply(&mut self, change: MeshMessage, now: Instant) -> ValuesOutcome {
        let MeshMessage::Delta {
            base,
            revision,
            digest,
            values: changed,
            retained,
            era_age,
        } = change
        else {
            return ValuesOutcome::Older;
        };
        if digest == self.digest() {
            self.raise_revision(revision, now);
            let has_changed = self.merge_retained(revision, &retained, now);
            return if has_changed {
                ValuesOutcome::Adopted
            } else {
                ValuesOutcome::Equal
            };
        }
        if !self.accepts(revision, digest) {
            return ValuesOutcome::Older;
        }
        let mut values = match &self.active {
            _ if base == 0 => BTreeMap::new(),
            Some(active) if active.digest == base => active.values.values.clone(),
            _ => return ValuesOutcome::MissingBase,
        };
        for key in &changed.removed {
            values.remove(key);
        }
        values.extend(changed.set.iter().cloned());
        let values = PublishedValues { revision, values };
        if values.digest() != digest {
            return ValuesOutcome::MissingBase;
        }
        let began = era_age.and_then(|age| now.checked_sub(age)).unwrap_or(now);
        let outcome = self.offer_since(values, began, now);
        if outcome == ValuesOutcome::Adopted {
            self.merge_retained(revision, &retained, now);
        }
        outcome
    }

    /// The digest of the retained versions that the platform lacks; 0 for none.
    pub(crate) fn newer_digest(&self) -> u64 {
        self.retained.newer_digest()
    }

    /// The reply to a host that holds the values with digest `since` and retains the versions with digest
    /// `newer`: the change and what is retained. None if no values are active.
    pub(crate) fn reply_since(
        &mut self,
        since: u64,
        newer: u64,
        now: Instant,
    ) -> Option<MeshMessage> {
        let mut retained = self.retained.reports(now);
        if newer == self.newer_digest() {
            retained.retain(|report| !matches!(report, RetainedValue::Newer { .. }));
        }
        let bytes: usize = retained.iter().map(RetainedValue::text_bytes).sum();
        if since != self.digest() && bytes > MAX_JOINT_BYTES {
            // The host asks again when it holds the values.
            retained.clear();
        }
        self.change_since(since, retained, now)
    }

    /// The last change from the platform.
    pub(crate) fn last_change(&mut self, now: Instant) -> Option<MeshMessage> {
        let since = self.history.last_base().copied().unwrap_or_default();
        self.change_since(since, Vec::new(), now)
    }

    /// The change from the values with digest `since`, or a full copy when the history does not
    /// reach back to them; an empty one if the active values have this digest.
    fn change_since(
        &mut self,
        since: u64,
        retained: Vec<RetainedValue>,
        now: Instant,
    ) -> Option<MeshMessage> {
        let era_age = self.era_age(now);
        let active = self.active.as_ref()?;
        let last = self.cached_change.take();
        let fits = |cached: &CachedChange| cached.since == since && cached.digest == active.digest;
        let change = last
            .filter(fits)
            .unwrap_or_else(|| self.compute_change(active, since));
        self.cached_change = Some(change.clone());
        Some(MeshMessage::Delta {
            base: change.base,
            revision: active.values.revision,
            digest: active.digest,
            values: change.values,
            retained,
            era_age,
        })
    }

    /// Computes the change from the values with digest `since`.
    fn compute_change(&self, active: &ActiveValues, since: u64) -> CachedChange {
        let changed = if since == active.digest {
            Some(BTreeSet::new())
        } else {
            self.history.changed_since(&since)
        };
        let base = if changed.is_some() { since } else { 0 };
        let keys = changed.unwrap_or_else(|| active.values.values.keys().cloned().collect());
        let (mut set, mut removed) = (Vec::new(), Vec::new());
        for key in keys {
            match active.values.values.get(&key) {
                Some(value) => set.push((key, Arc::clone(value))),
                None => removed.push(key),
            }
        }
        CachedChange {
            since,
            digest: active.digest,
            base,
            values: Arc::new(ValuesDelta::new(set, removed)),
        }
    }
}
