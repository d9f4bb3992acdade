//! Ways to pass messages within a region: a full mesh, a mesh without idle links, and the greedy
//! overlay of Galuba and Aberer, counted in virtual time.

use super::{
    report::figure,
    target::{FRAME_OVERHEAD, REGION_HOSTS},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::BTreeSet;

/// Hosts of a region at 40 hosts in two regions, and at 570 in three.
const REGION_SIZES: [usize; 2] = [20, REGION_HOSTS];
/// Messages that a host starts a second: a probe, the lease's rounds, loans at the peak.
const RATES: [usize; 3] = [1, 16, 180];
/// Seconds until links have formed, and seconds counted.
const WARM_SECONDS: usize = 30;
const COUNTED_SECONDS: usize = 10;
/// The overlay's least rate of convergence; at 2 its authors find path and degree balanced.
const CONVERGENCE: f64 = 2.0;
/// Hops after which a message is dropped.
const MAX_HOPS: usize = 100;
/// Links that a joining host opens.
const FIRST_LINKS: usize = 5;
/// A loan's message without overhead, in bytes.
const PAYLOAD: f64 = 48.0;
/// One visited host in a message, in bytes.
const VISITED: f64 = 8.0;
/// Pings and answers that a host sends on one link a second.
const PING_RATE: f64 = 1.0;
/// The same with a ping each 30 s.
const SLOW_PING_RATE: f64 = 1.0 / 15.0;

/// What one way costs a host.
#[derive(Clone, Copy, Debug)]
struct OverlayCost {
    links: f64,
    hops: f64,
    lost: f64,
    messages: f64,
    bytes: f64,
}

/// Prints the comparison.
pub fn print() {
    println!("#### Figures: mesh and overlay within a region\n");
    println!(
        "| Hosts of the region | Started /s a host | Way | Links a host | Hops | Lost % | Messages /s a host | B/s a host |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for hosts in REGION_SIZES {
        for rate in RATES {
            print_row(hosts, rate, "mesh", mesh(hosts, rate, hosts - 1, PING_RATE));
            let used = used_links(hosts, rate);
            print_row(
                hosts,
                rate,
                "mesh, idle links closed",
                mesh(hosts, rate, used, PING_RATE),
            );
            let slow = mesh(hosts, rate, hosts - 1, SLOW_PING_RATE);
            print_row(hosts, rate, "mesh, pinged each 30 s", slow);
            print_row(hosts, rate, "greedy overlay", greedy(hosts, rate));
        }
    }
    println!();
}

fn print_row(hosts: usize, rate: usize, way: &str, cost: OverlayCost) {
    println!(
        "| {hosts} | {rate} | {way} | {} | {} | {} | {} | {} |",
        figure(cost.links),
        figure(cost.hops),
        figure(cost.lost * 1e2),
        figure(cost.messages),
        figure(cost.bytes)
    );
}

fn mesh(hosts: usize, rate: usize, links: usize, ping_rate: f64) -> OverlayCost {
    let started = rate as f64;
    let pings = links.min(hosts - 1) as f64 * ping_rate;
    OverlayCost {
        links: links as f64,
        hops: 1.0,
        lost: 0.0,
        messages: started + pings,
        bytes: started * (PAYLOAD + FRAME_OVERHEAD) + pings * FRAME_OVERHEAD,
    }
}

/// Peers that a host talked with in the last seconds, on average.
fn used_links(hosts: usize, rate: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    let mut pairs = BTreeSet::new();
    for from in 0..hosts {
        for _ in 0..rate * COUNTED_SECONDS {
            let to = other_host(&mut rng, from, hosts);
            pairs.insert((from.min(to), from.max(to)));
        }
    }
    (2 * pairs.len()).div_ceil(hosts)
}

fn other_host(rng: &mut StdRng, from: usize, hosts: usize) -> usize {
    (from + rng.random_range(1..hosts)) % hosts
}

fn greedy(hosts: usize, rate: usize) -> OverlayCost {
    let mut overlay = GreedyOverlay::new(hosts);
    overlay.run(rate, WARM_SECONDS);
    overlay.count = OverlayCount::default();
    overlay.run(rate, COUNTED_SECONDS);
    let count = &overlay.count;
    let seconds = (hosts * COUNTED_SECONDS) as f64;
    let links = overlay.links.iter().map(BTreeSet::len).sum::<usize>() as f64 / hosts as f64;
    let pings = links * PING_RATE;
    OverlayCost {
        links,
        hops: count.hops as f64 / count.arrived.max(1) as f64,
        lost: 1.0 - count.arrived as f64 / count.started as f64,
        messages: count.messages as f64 / seconds + pings,
        bytes: count.bytes / seconds + pings * FRAME_OVERHEAD,
    }
}

#[derive(Clone, Debug, Default)]
struct OverlayCount {
    started: usize,
    arrived: usize,
    hops: usize,
    messages: usize,
    bytes: f64,
}

/// Hosts on a ring with the links that emerged.
struct GreedyOverlay {
    places: Vec<f64>,
    links: Vec<BTreeSet<usize>>,
    rng: StdRng,
    count: OverlayCount,
}

impl GreedyOverlay {
    fn new(hosts: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(1);
        let places = (0..hosts).map(|_| rng.random_range(0.0..1.0)).collect();
        let mut overlay = Self {
            places,
            links: vec![BTreeSet::new(); hosts],
            rng,
            count: OverlayCount::default(),
        };
        for host in 0..hosts {
            for _ in 0..FIRST_LINKS {
                let peer = other_host(&mut overlay.rng, host, hosts);
                overlay.connect(host, peer);
            }
        }
        overlay
    }

    fn run(&mut self, rate: usize, seconds: usize) {
        let hosts = self.places.len();
        for _ in 0..seconds * rate {
            for from in 0..hosts {
                let to = other_host(&mut self.rng, from, hosts);
                self.send(from, to);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        self.count.started += 1;
        let mut visited = vec![from];
        let mut at = from;
        while at != to && visited.len() <= MAX_HOPS {
            let Some(next) = self.next_hop(at, to, &visited) else {
                return;
            };
            self.count_message(visited.len());
            if self.is_weak(at, next, to) {
                self.ask_link(at, to);
            }
            visited.push(next);
            at = next;
        }
        if at == to {
            self.count.arrived += 1;
            self.count.hops += visited.len() - 1;
        }
    }

    /// Routes a request for a link until a host would be a strong hop.
    fn ask_link(&mut self, origin: usize, to: usize) {
        let mut visited = vec![origin];
        let mut at = origin;
        while visited.len() <= MAX_HOPS {
            let Some(next) = self.next_hop(at, to, &visited) else {
                return;
            };
            self.count_message(visited.len());
            if !self.is_weak(origin, next, to) {
                self.count_message(0);
                self.connect(origin, next);
                return;
            }
            visited.push(next);
            at = next;
        }
    }

    fn next_hop(&self, at: usize, to: usize, visited: &[usize]) -> Option<usize> {
        let near = |host: &usize| self.distance(*host, to);
        self.links[at]
            .iter()
            .copied()
            .filter(|host| !visited.contains(host))
            .min_by(|left, right| near(left).total_cmp(&near(right)))
    }

    fn is_weak(&self, at: usize, next: usize, to: usize) -> bool {
        self.distance(at, to) < CONVERGENCE * self.distance(next, to)
    }

    fn distance(&self, left: usize, right: usize) -> f64 {
        let straight = (self.places[left] - self.places[right]).abs();
        straight.min(1.0 - straight)
    }

    fn connect(&mut self, left: usize, right: usize) {
        self.links[left].insert(right);
        self.links[right].insert(left);
    }

    fn count_message(&mut self, visited: usize) {
        self.count.messages += 1;
        self.count.bytes += PAYLOAD + FRAME_OVERHEAD + VISITED * visited as f64;
    }
}
