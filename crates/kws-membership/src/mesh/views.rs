//! What hosts report of the values that they hold, and what follows from it.

use super::{MeshView, TICK_INTERVAL, readers::CONFIRMATION_TIMEOUT};
use crate::FleetAction;
use kws_protocol::{HostName, MeshMessage, ValuesView};
use std::time::Duration;
use tokio::time::Instant;

/// The delay before a missing change is requested again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(300);

impl MeshView {
    pub(super) fn view(&self, now: Instant) -> ValuesView {
        ValuesView {
            revision: self.values.revision(),
            digest: self.values.digest(),
            confirmed_age: self
                .era_confirmed
                .map(|at| now.saturating_duration_since(at)),
            platform_unreachable: self.platform_unreachable,
            current: self.is_current(now),
            retained: Some(self.values.retained_digest()),
            era_age: self.values.era_age(now),
        }
    }

    /// Handles what a peer reports to hold. `asked` is when the heartbeat was sent that it replies
    /// to; none if the report is not a reply.
    pub(super) fn handle_view(
        &mut self,
        from: &HostName,
        view: ValuesView,
        asked: Option<Instant>,
        now: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        self.table
            .record_platform_unreachable(from, view.platform_unreachable);
        if view.platform_unreachable {
            self.record_failing_reads(now);
        }
        if let Some(age) = view.era_age {
            self.values.record_era_age(view.revision, age, now);
        }
        let ignores_eras = view.retained.is_none();
        if self.table.record_ignores_eras(from, ignores_eras) && ignores_eras {
            // It may have been taken for a reader; another one is asked soon.
            self.next_heartbeat = self.next_heartbeat.min(now + TICK_INTERVAL);
        }
        if view.digest == self.values.digest() && view.digest != 0 {
            if view.revision.era() < self.values.revision().era() {
                // Confirmations of an older era say nothing about the platform's data now.
                return;
            }
            self.values.raise_revision(view.revision, now);
            self.end_behind();
            if let Some(retained) = view.retained {
                self.agreed_at.get_or_insert(now);
                if self.values.lacks_retained(retained) {
                    let since = self.awaited_retained.map_or(now, |(since, _)| since);
                    self.awaited_retained = Some((since, retained));
                    self.fetch(from, now, actions);
                }
            }
            let heard = asked
                .zip(view.confirmed_age)
                .and_then(|(asked, age)| asked.checked_sub(age));
            let heard = heard.filter(|_| self.believes(from, now));
            if let Some(heard) = heard {
                self.record_confirmation(heard);
                if !ignores_eras {
                    self.era_confirmed = self.era_confirmed.max(Some(heard));
                }
            }
            let current = heard.filter(|_| view.current);
            self.first_current = self.first_current.or(current);
            return;
        }
        if self.values.accepts(view.revision, view.digest) && self.believes(from, now) {
            self.behind_since.get_or_insert((now, view.revision));
            self.fetch(from, now, actions);
        }
    }

    /// Whether this host goes by what another one tells of the platform's values. A host that orders revisions
    /// without the era takes an older copy for newer once the count has passed the old one, and may take the
    /// copy's successors for older, so it is believed only while no other one reads the platform.
    pub(super) fn believes(&self, from: &HostName, now: Instant) -> bool {
        let is_read = self
            .era_confirmed
            .is_some_and(|at| now < at + CONFIRMATION_TIMEOUT);
        !(is_read && self.table.ignores_eras(from))
    }

    pub(super) fn fetch(&mut self, from: &HostName, now: Instant, actions: &mut Vec<FleetAction>) {
        let waiting = self
            .fetched_at
            .is_some_and(|at| now < at + FETCH_RETRY_DELAY);
        if waiting {
            return;
        }
        self.fetched_at = Some(now);
        self.counters.fetches += 1;
        let held = self.values.digest();
        let newer = self.values.newer_digest();
        actions.push(Self::send(from, MeshMessage::Fetch { held, newer }));
    }
}
