//! The queue of requests for a slot of one service.

use super::PlaceRequest;
use kws_protocol::TeamName;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Each lower priority level delays a request as if it had arrived this much later. The delays are
/// shorter than the latency objectives, so no priority starves.
const PRIORITY_DELAY: Duration = Duration::from_millis(200);

/// Each queued request of the same team delays a request by this much, divided by the team's
/// weight. Requests of a team that sends many are thus interleaved with those of other teams.
const TEAM_DELAY: Duration = Duration::from_millis(20);

/// The place of a request in the queue: its rank, and its number among all that were queued.
type QueuePlace = (Instant, u64);

/// A queue ordered by rank: the time at which a request should be placed at the latest, plus the
/// delays for priority and team. Requests that can wait longer give way to the others, and under
/// overload all kinds wait as long as they can.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotQueue {
    /// Keys in order.
    order: Vec<(QueuePlace, u64)>,
    requests: HashMap<u64, (QueuePlace, PlaceRequest)>,
    /// Number of queued requests of each team that has any.
    teams: HashMap<TeamName, u32>,
    pushed: u64,
}

impl SlotQueue {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The request at a position.
    pub(crate) fn get(&self, index: usize) -> Option<&PlaceRequest> {
        let (_, key) = self.order.get(index)?;
        self.find(*key)
    }

    /// The request with this key.
    pub(crate) fn find(&self, key: u64) -> Option<&PlaceRequest> {
        self.requests.get(&key).map(|(_, request)| request)
    }

    /// Adds a request that may wait for `max_wait`. Returns the number of requests ahead of it.
    pub(crate) fn push(
        &mut self,
        request: PlaceRequest,
        max_wait: Duration,
        now: Instant,
    ) -> usize {
        let same_team = self.teams.entry(request.team.clone()).or_default();
        let team_delay =
            TEAM_DELAY.mul_f64(f64::from(*same_team) / request.weight.max(f64::MIN_POSITIVE));
        *same_team += 1;
        let delays = PRIORITY_DELAY * request.priority.min(10) + team_delay.min(PRIORITY_DELAY * 5);
        self.pushed += 1;
        let place = (now + max_wait + delays, self.pushed);
        let position = self.order.partition_point(|(other, _)| *other < place);
        self.order.insert(position, (place, request.key));
        self.requests.insert(request.key, (place, request));
        position
    }

    /// Removes and returns the request at `index`.
    pub(crate) fn take(&mut self, index: usize) -> Option<PlaceRequest> {
        let (_, key) = *self.order.get(index)?;
        self.order.remove(index);
        self.forget(key)
    }

    /// Removes a request by its key and returns whether it was queued.
    pub(crate) fn remove(&mut self, key: u64) -> bool {
        let Some((place, _)) = self.requests.get(&key) else {
            return false;
        };
        if let Ok(index) = self.order.binary_search_by_key(place, |(other, _)| *other) {
            self.order.remove(index);
        }
        self.forget(key).is_some()
    }

    fn forget(&mut self, key: u64) -> Option<PlaceRequest> {
        let (_, request) = self.requests.remove(&key)?;
        if let Some(count) = self.teams.get_mut(&request.team) {
            *count -= 1;
            if *count == 0 {
                self.teams.remove(&request.team);
            }
        }
        Some(request)
    }

    /// Removes and returns the requests that match `predicate`. Its first argument is the number of
    /// requests that stay in the queue ahead of the request.
    pub(crate) fn take_if(
        &mut self,
        predicate: impl Fn(usize, &PlaceRequest) -> bool,
    ) -> Vec<PlaceRequest> {
        let mut kept = Vec::with_capacity(self.order.len());
        let mut removed = Vec::new();
        for (place, key) in std::mem::take(&mut self.order) {
            let matches = self
                .find(key)
                .is_some_and(|request| predicate(kept.len(), request));
            if matches {
                removed.extend(self.forget(key));
            } else {
                kept.push((place, key));
            }
        }
        self.order = kept;
        removed
    }
}
