//! The request queue of one service, with deficit round robin over teams.

use crate::{DispatchRequest, TicketId};
use kws_protocol::TeamName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Smallest quantum of a team, as a share of the largest weight. It bounds the number of rounds
/// until a team with a small weight is served.
const MIN_QUANTUM: f64 = 0.01;

/// The queued requests of one team, oldest first.
#[derive(Clone, Debug)]
struct TeamQueue {
    requests: VecDeque<DispatchRequest>,
    weight: f64,
    /// Requests that the team may still send in this round. It may send while this is above 0, and
    /// then goes into debt, so that a team with few requests doesn't wait for a full quantum.
    deficit: f64,
}

/// Queued requests, served in proportion to the weights of their teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    rotation: VecDeque<TeamName>,
    len: usize,
}

impl FairQueue {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request behind the others of its team. If the queue then exceeds `limit`, the newest
    /// request of the team with the longest queue relative to its weight is evicted and returned.
    pub(crate) fn push(
        &mut self,
        request: DispatchRequest,
        limit: usize,
    ) -> Option<DispatchRequest> {
        self.team_entry(&request).requests.push_back(request);
        self.len += 1;
        if self.len <= limit {
            return None;
        }
        let longest = self
            .teams
            .iter()
            .max_by(|left, right| weighted_length(left.1).total_cmp(&weighted_length(right.1)))
            .map(|(name, _)| name.clone())?;
        let evicted = self.teams.get_mut(&longest)?.requests.pop_back();
        self.remove_if_idle(&longest);
        self.len -= 1;
        evicted
    }

    /// Returns a request to the front of its team's queue. The team is not charged for it again.
    pub(crate) fn push_front(&mut self, request: DispatchRequest) {
        let team = self.team_entry(&request);
        team.deficit += 1.0;
        team.requests.push_front(request);
        self.len += 1;
    }

    fn team_entry(&mut self, request: &DispatchRequest) -> &mut TeamQueue {
        if !self.teams.contains_key(&request.team) {
            self.rotation.push_back(request.team.clone());
        }
        let team = self
            .teams
            .entry(request.team.clone())
            .or_insert_with(|| TeamQueue {
                requests: VecDeque::new(),
                weight: request.weight,
                deficit: 0.0,
            });
        team.weight = request.weight.max(f64::MIN_POSITIVE);
        team
    }

    /// Removes the next request, in fair order, for which `pick` finds a server.
    pub(crate) fn take_next<P>(
        &mut self,
        pick: impl FnMut(&DispatchRequest) -> Option<P>,
    ) -> Option<(DispatchRequest, P)> {
        let deficits: Vec<(TeamName, f64)> = self
            .rotation
            .iter()
            .filter_map(|name| Some((name.clone(), self.teams.get(name)?.deficit)))
            .collect();
        let next = self.next_in_rotation(pick);
        if next.is_none() {
            // Rounds in which nothing was served must not add to the deficits.
            for (name, deficit) in &deficits {
                if let Some(team) = self.teams.get_mut(name) {
                    team.deficit = *deficit;
                }
            }
            self.rotation = deficits.into_iter().map(|(name, _)| name).collect();
        }
        next
    }

    fn next_in_rotation<P>(
        &mut self,
        mut pick: impl FnMut(&DispatchRequest) -> Option<P>,
    ) -> Option<(DispatchRequest, P)> {
        let queued_teams = self.queued_teams();
        let weights = queued_teams.map(|(_, team)| team.weight);
        let heaviest = weights.fold(0.0, f64::max);
        let team_count = self.team_names().count();
        let mut skipped = BTreeSet::new();
        while skipped.len() < team_count {
            let name = self.rotation.front()?.clone();
            let team = self.teams.get_mut(&name)?;
            if team.deficit <= 0.0 {
                team.deficit += (team.weight / heaviest).max(MIN_QUANTUM);
            }
            if team.deficit <= 0.0 || skipped.contains(&name) {
                self.rotation.rotate_left(1);
                continue;
            }
            if team.requests.is_empty() {
                self.remove_if_idle(&name);
                continue;
            }
            if let Some(picked) = team.requests.front().and_then(&mut pick) {
                return Some((self.take_front(&name)?, picked));
            }
            skipped.insert(name);
            self.rotation.rotate_left(1);
        }
        None
    }

    /// Removes the first request of the team and charges its deficit.
    fn take_front(&mut self, name: &TeamName) -> Option<DispatchRequest> {
        let team = self.teams.get_mut(name)?;
        team.deficit -= 1.0;
        let request = team.requests.pop_front()?;
        if team.deficit <= 0.0 {
            self.rotation.rotate_left(1);
        }
        self.len -= 1;
        self.remove_if_idle(name);
        Some(request)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, team: &TeamName, ticket: TicketId) -> Option<DispatchRequest> {
        let requests = &mut self.teams.get_mut(team)?.requests;
        let index = requests
            .iter()
            .position(|request| request.ticket == ticket)?;
        let removed = requests.remove(index);
        self.len -= 1;
        self.remove_if_idle(team);
        removed
    }

    /// Removes the requests that match `condition`.
    pub(crate) fn remove_if(
        &mut self,
        condition: impl Fn(&DispatchRequest) -> bool,
    ) -> Vec<DispatchRequest> {
        let mut removed = Vec::new();
        for team in self.teams.values_mut() {
            let (matched, kept) = std::mem::take(&mut team.requests)
                .into_iter()
                .partition::<Vec<_>, _>(&condition);
            team.requests = kept.into();
            removed.extend(matched);
        }
        self.len -= removed.len();
        self.teams.retain(|_, team| !team.is_idle());
        self.rotation.retain(|name| self.teams.contains_key(name));
        removed
    }

    /// Estimated position of the last request of `team` in the order of service, starting at 1.
    pub(crate) fn last_position(&self, team: &TeamName) -> f64 {
        let Some(queue) = self.teams.get(team) else {
            return 0.0;
        };
        let weights: f64 = self.queued_teams().map(|(_, team)| team.weight).sum();
        let own = queue.requests.len() as f64;
        (own * weights / queue.weight).min(self.len as f64)
    }

    /// The teams with queued requests.
    pub(crate) fn team_names(&self) -> impl Iterator<Item = &TeamName> {
        self.queued_teams().map(|(name, _)| name)
    }

    /// Removes a team that has neither queued requests nor a negative deficit.
    fn remove_if_idle(&mut self, name: &TeamName) {
        if self.teams.get(name).is_some_and(TeamQueue::is_idle) {
            self.teams.remove(name);
            self.rotation.retain(|other| other != name);
        }
    }

    fn queued_teams(&self) -> impl Iterator<Item = (&TeamName, &TeamQueue)> {
        let all = self.teams.iter();
        all.filter(|(_, team)| !team.requests.is_empty())
    }
}

impl TeamQueue {
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.deficit >= 0.0
    }
}

/// Length of a team's queue relative to its weight.
fn weighted_length(team: &TeamQueue) -> f64 {
    team.requests.len() as f64 / team.weight
}
