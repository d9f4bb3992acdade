//! A greedy overlay with on-demand links, to compare its links and messages with a mesh.
//!
//! Identifiers lie on a ring. A message takes the link that comes closest to its destination, and
//! never visits a host twice. A hop that does not at least halve the distance is weak: its sender
//! then asks, along the same way, for a link to the first host that would have done so.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::BTreeSet;

/// The least factor by which a strong hop shortens the distance.
const STRONG_HOP: f64 = 2.0;

/// Random links that a host starts with.
const FIRST_LINKS: usize = 5;

/// Messages between random hosts, for each host, before anything is counted.
const WARM_MESSAGES: usize = 200;

/// Messages counted, for each host.
const COUNTED_MESSAGES: usize = 20;

/// What an overlay came to.
#[derive(Clone, Copy, Debug)]
pub struct OverlayTotals {
    /// Links of a host.
    pub links: f64,
    /// Links of the host with most.
    pub most_links: usize,
    /// Hops of a message.
    pub hops: f64,
    /// The share of messages that did not arrive.
    pub lost: f64,
}

/// Hosts on a ring and their links.
struct GreedyOverlay {
    places: Vec<f64>,
    links: Vec<BTreeSet<usize>>,
    random: StdRng,
}

/// Builds an overlay of `hosts` hosts by routing random messages, and measures it.
pub fn measure(hosts: usize, seed: u64) -> OverlayTotals {
    let mut overlay = GreedyOverlay::new(hosts, seed);
    for _ in 0..hosts * WARM_MESSAGES {
        overlay.send_random();
    }
    let counted = hosts * COUNTED_MESSAGES;
    let hops: Vec<usize> = (0..counted).filter_map(|_| overlay.send_random()).collect();
    let degrees = overlay.links.iter().map(BTreeSet::len);
    OverlayTotals {
        links: degrees.clone().sum::<usize>() as f64 / hosts as f64,
        most_links: degrees.max().unwrap_or_default(),
        hops: hops.iter().sum::<usize>() as f64 / hops.len() as f64,
        lost: 1.0 - hops.len() as f64 / counted as f64,
    }
}

impl GreedyOverlay {
    fn new(hosts: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let places = (0..hosts).map(|_| random.random()).collect();
        let mut overlay = Self {
            places,
            links: vec![BTreeSet::new(); hosts],
            random,
        };
        for host in 0..hosts {
            for _ in 0..FIRST_LINKS {
                let other = overlay.random.random_range(0..hosts);
                overlay.link(host, other);
            }
        }
        overlay
    }

    /// Sends a message between two random hosts; the hops, unless it came to a dead end.
    fn send_random(&mut self) -> Option<usize> {
        let from = self.random.random_range(0..self.places.len());
        let to = self.random.random_range(0..self.places.len());
        let mut visited = vec![from];
        let mut at = from;
        while at != to {
            let next = self.next_hop(at, to, &visited)?;
            if !self.is_strong(at, next, to) {
                self.request_link(at, to);
            }
            visited.push(next);
            at = next;
        }
        Some(visited.len() - 1)
    }

    /// Links `origin` to the first host on the way to `to` that makes a strong hop.
    fn request_link(&mut self, origin: usize, to: usize) {
        let mut visited = vec![origin];
        let mut at = origin;
        while let Some(next) = self.next_hop(at, to, &visited) {
            if self.is_strong(origin, next, to) {
                self.link(origin, next);
                return;
            }
            visited.push(next);
            at = next;
        }
    }

    fn next_hop(&self, at: usize, to: usize, visited: &[usize]) -> Option<usize> {
        let open = self.links[at].iter().filter(|next| !visited.contains(next));
        open.copied().min_by(|left, right| {
            self.distance(*left, to)
                .total_cmp(&self.distance(*right, to))
        })
    }

    fn is_strong(&self, at: usize, next: usize, to: usize) -> bool {
        self.distance(at, to) >= STRONG_HOP * self.distance(next, to)
    }

    fn distance(&self, left: usize, right: usize) -> f64 {
        let apart = (self.places[left] - self.places[right]).abs();
        apart.min(1.0 - apart)
    }

    fn link(&mut self, left: usize, right: usize) {
        if left != right {
            self.links[left].insert(right);
            self.links[right].insert(left);
        }
    }
}
