//! The queue of requests for a slot of one service.

use super::PlaceRequest;
use std::time::Duration;
use tokio::time::Instant;

/// Each lower priority level delays a request as if it had arrived this much later. The delays are
/// shorter than the latency objectives, so no priority starves.
const RANK_STEP: Duration = Duration::from_millis(200);

/// Each queued request of the same team delays a request by this much, divided by the team's
/// weight. Requests of a team that sends many are thus interleaved with those of other teams.
const TEAM_STEP: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: PlaceRequest,
    rank: Instant,
}

/// A queue ordered by rank: the arrival time plus the delays for priority and team.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingLine {
    requests: Vec<WaitingRequest>,
}

impl WaitingLine {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&PlaceRequest> {
        self.requests.get(index).map(|one| &one.request)
    }

    /// Adds a request and returns the number of requests ahead of it.
    pub(crate) fn push(&mut self, request: PlaceRequest, now: Instant) -> usize {
        let same = self
            .requests
            .iter()
            .filter(|one| one.request.team == request.team);
        let behind = TEAM_STEP.mul_f64(same.count() as f64 / request.weight.max(f64::MIN_POSITIVE));
        let rank = now + RANK_STEP * request.priority.min(10) + behind.min(RANK_STEP * 5);
        let place = self.requests.partition_point(|one| one.rank <= rank);
        self.requests
            .insert(place, WaitingRequest { request, rank });
        place
    }

    /// The requests in queue order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PlaceRequest> {
        self.requests.iter().map(|one| &one.request)
    }

    /// Removes and returns the request at `index`.
    pub(crate) fn take(&mut self, index: usize) -> PlaceRequest {
        self.requests.remove(index).request
    }

    /// Removes a request by its key and returns whether it was queued.
    pub(crate) fn remove(&mut self, key: u64) -> bool {
        let before = self.requests.len();
        self.requests.retain(|one| one.request.key != key);
        self.requests.len() != before
    }

    /// Removes and returns the requests that `lost` selects. Its first argument is the number of
    /// requests that stay in the queue ahead of the request.
    pub(crate) fn take_if(
        &mut self,
        lost: impl Fn(usize, &PlaceRequest) -> bool,
    ) -> Vec<PlaceRequest> {
        let mut gone = Vec::new();
        for one in std::mem::take(&mut self.requests) {
            if lost(self.requests.len(), &one.request) {
                gone.push(one.request);
            } else {
                self.requests.push(one);
            }
        }
        gone
    }
}
