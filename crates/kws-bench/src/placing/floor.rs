//! Checks that the capacity floor is in use while requests go unserved.

use std::{collections::VecDeque, time::Duration};

/// The window that is judged.
const WINDOW: Duration = Duration::from_secs(2);

/// Share of unserved requests between which the floor is judged. Below, the service does well
/// enough; above, something else is wrong.
const JUDGED_SHARES: (f64, f64) = (0.1, 0.5);

/// Share of the servers without a failure in the window that must get requests.
const FLOOR: f64 = 0.7;

/// What happened at the servers of a service lately.
#[derive(Debug)]
pub struct FloorCheck {
    /// When each server last got a request.
    used: Vec<Option<Duration>>,
    /// When each server last failed one.
    failed: Vec<Option<Duration>>,
    /// Ends of requests, and whether they were served.
    ends: VecDeque<(Duration, bool)>,
}

impl FloorCheck {
    /// Starts without requests.
    pub fn new(servers: usize) -> Self {
        Self {
            used: vec![None; servers],
            failed: vec![None; servers],
            ends: VecDeque::new(),
        }
    }

    /// Records a request at a server.
    pub fn record_use(&mut self, server: usize, at: Duration) {
        self.used[server] = Some(at);
    }

    /// Records that a server failed a request.
    pub fn record_failure(&mut self, server: usize, at: Duration) {
        self.failed[server] = Some(at);
    }

    /// Records the end of a request on a route that leads to the service.
    pub fn record_end(&mut self, served: bool, at: Duration) {
        self.ends.push_back((at, served));
    }

    /// Whether the window before `now` falls below the floor, counting the servers that `present`
    /// selects.
    pub fn is_broken(&mut self, now: Duration, present: impl Fn(usize) -> bool) -> bool {
        let since = now.saturating_sub(WINDOW);
        while self.ends.front().is_some_and(|(at, _)| *at < since) {
            self.ends.pop_front();
        }
        let unserved = self.ends.iter().filter(|(_, served)| !served).count();
        let share = unserved as f64 / self.ends.len().max(1) as f64;
        if now < WINDOW || share <= JUDGED_SHARES.0 || share >= JUDGED_SHARES.1 {
            return false;
        }
        let in_window = |at: &Option<Duration>| at.is_some_and(|at| at > since);
        let sound = (0..self.used.len())
            .filter(|server| present(*server) && !in_window(&self.failed[*server]));
        let (mut all, mut used) = (0, 0);
        for server in sound {
            all += 1;
            used += usize::from(in_window(&self.used[server]));
        }
        used > 0 && (used as f64) < FLOOR * f64::from(all)
    }
}
