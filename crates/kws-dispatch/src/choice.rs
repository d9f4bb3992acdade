//! Power-of-two-choices: draws two servers by weight and selects the less loaded one.

use kws_protocol::ServerName;
use rand::{RngExt, rngs::SmallRng};

/// A server that can take a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerCandidate {
    pub(crate) server: ServerName,
    /// The server's slots times its weight.
    pub(crate) usable_slots: f64,
    /// Requests in flight from all hosts, plus the penalty of its availability.
    pub(crate) load: f64,
}

/// Draws two different servers with a probability proportional to their usable slots, and returns
/// the less loaded one.
pub(crate) fn choose_server(
    candidates: &[ServerCandidate],
    rng: &mut SmallRng,
) -> Option<ServerName> {
    let first = draw_by_weight(candidates, None, rng)?;
    let second = draw_by_weight(candidates, Some(first), rng).unwrap_or(first);
    let chosen = if load_per_slot(&candidates[second]) < load_per_slot(&candidates[first]) {
        second
    } else {
        first
    };
    Some(candidates[chosen].server.clone())
}

/// Load per usable slot after one more request.
fn load_per_slot(candidate: &ServerCandidate) -> f64 {
    (candidate.load + 1.0) / candidate.usable_slots.max(f64::MIN_POSITIVE)
}

fn draw_by_weight(
    candidates: &[ServerCandidate],
    excluded: Option<usize>,
    rng: &mut SmallRng,
) -> Option<usize> {
    let eligible = || {
        candidates
            .iter()
            .enumerate()
            .filter(move |(index, _)| Some(*index) != excluded)
    };
    let total: f64 = eligible()
        .map(|(_, candidate)| candidate.usable_slots)
        .sum();
    let mut remaining = rng.random::<f64>() * total;
    let mut last = None;
    for (index, candidate) in eligible() {
        last = Some(index);
        remaining -= candidate.usable_slots;
        if remaining <= 0.0 {
            break;
        }
    }
    last
}
