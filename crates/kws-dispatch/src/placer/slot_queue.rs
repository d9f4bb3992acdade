//! The queue of requests for a slot of one service.

use super::PlaceRequest;
use std::time::Duration;
use tokio::time::Instant;

/// Each lower priority level delays a request as if it had arrived this much later. The delays are
/// shorter than the latency objectives, so no priority starves.
const PRIORITY_DELAY: Duration = Duration::from_millis(200);

/// Each queued request of the same team delays a request by this much, divided by the team's
/// weight. Requests of a team that sends many are thus interleaved with those of other teams.
const TEAM_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct QueuedRequest {
    request: PlaceRequest,
    rank: Instant,
}

/// A queue ordered by rank: the time at which a request should be placed at the latest, plus the
/// delays for priority and team. Requests that can wait longer give way to the others, and under
/// overload all kinds wait as long as they can.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotQueue {
    requests: Vec<QueuedRequest>,
}

impl SlotQueue {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&PlaceRequest> {
        self.requests.get(index).map(|queued| &queued.request)
    }

    /// Adds a request that may wait for `max_wait`. Returns the number of requests ahead of it.
    pub(crate) fn push(
        &mut self,
        request: PlaceRequest,
        max_wait: Duration,
        now: Instant,
    ) -> usize {
        let same_team = self
            .requests
            .iter()
            .filter(|queued| queued.request.team == request.team);
        let team_delay =
            TEAM_DELAY.mul_f64(same_team.count() as f64 / request.weight.max(f64::MIN_POSITIVE));
        let delays = PRIORITY_DELAY * request.priority.min(10) + team_delay.min(PRIORITY_DELAY * 5);
        let rank = now + max_wait + delays;
        let position = self.requests.partition_point(|queued| queued.rank <= rank);
        self.requests
            .insert(position, QueuedRequest { request, rank });
        position
    }

    /// The requests in queue order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PlaceRequest> {
        self.requests.iter().map(|queued| &queued.request)
    }

    /// Removes and returns the request at `index`.
    pub(crate) fn take(&mut self, index: usize) -> PlaceRequest {
        self.requests.remove(index).request
    }

    /// Removes a request by its key and returns whether it was queued.
    pub(crate) fn remove(&mut self, key: u64) -> bool {
        let length_before = self.requests.len();
        self.requests.retain(|queued| queued.request.key != key);
        self.requests.len() != length_before
    }

    /// Removes and returns the requests that match `predicate`. Its first argument is the number of
    /// requests that stay in the queue ahead of the request.
    pub(crate) fn take_if(
        &mut self,
        predicate: impl Fn(usize, &PlaceRequest) -> bool,
    ) -> Vec<PlaceRequest> {
        let mut removed = Vec::new();
        for queued in std::mem::take(&mut self.requests) {
            if predicate(self.requests.len(), &queued.request) {
                removed.push(queued.request);
            } else {
                self.requests.push(queued);
            }
        }
        removed
    }
}
