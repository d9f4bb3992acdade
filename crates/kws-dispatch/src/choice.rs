//! Power-of-two-choices: draws two servers by weight and selects the less loaded one.

use kws_protocol::ServerName;
use rand::{RngExt, rngs::SmallRng};

/// A server that can take a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerOption {
    pub(crate) server: ServerName,
    /// The server's slots times its weight.
    pub(crate) usable: f64,
    /// Requests in flight from all hosts, plus the penalty of its availability.
    pub(crate) load: f64,
}

/// Draws two different servers with a probability proportional to their usable slots, and returns
/// the less loaded one.
pub(crate) fn choose_server(options: &[ServerOption], rng: &mut SmallRng) -> Option<ServerName> {
    let first = draw(options, None, rng)?;
    let second = draw(options, Some(first), rng).unwrap_or(first);
    let better = if fill(&options[second]) < fill(&options[first]) {
        second
    } else {
        first
    };
    Some(options[better].server.clone())
}

/// Load per usable slot after one more request.
fn fill(option: &ServerOption) -> f64 {
    (option.load + 1.0) / option.usable.max(f64::MIN_POSITIVE)
}

fn draw(options: &[ServerOption], except: Option<usize>, rng: &mut SmallRng) -> Option<usize> {
    let open = || {
        options
            .iter()
            .enumerate()
            .filter(move |(index, _)| Some(*index) != except)
    };
    let total: f64 = open().map(|(_, option)| option.usable).sum();
    let mut mark = rng.random::<f64>() * total;
    let mut last = None;
    for (index, option) in open() {
        last = Some(index);
        mark -= option.usable;
        if mark <= 0.0 {
            break;
        }
    }
    last
}
