//! The messages under way between hosts, as encoded frames.

use kws_protocol::{HostName, MeshMessage, PeerMessage, decode_message, encode_message};
use rand::{RngExt, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The shortest and the longest time that a message takes.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=60;

struct Flight {
    from: HostName,
    to: HostName,
    frame: Vec<u8>,
}

#[derive(Default)]
pub(super) struct Links {
    flights: BTreeMap<(Instant, u64), Flight>,
    /// When the last message of each link arrives: links keep the order.
    last: BTreeMap<(HostName, HostName), Instant>,
    sent: u64,
    /// Bytes of all frames sent.
    pub(super) bytes: usize,
    /// Bytes that each host has sent.
    pub(super) bytes_of: BTreeMap<HostName, usize>,
    /// Number of changes with retained values that were sent, and the bytes of their frames.
    pub(super) retained: (usize, usize),
    /// Number of messages beyond the largest frame, which aren't sent.
    pub(super) too_large: usize,
    /// The probability that a message is lost.
    pub(super) loss: f64,
}

impl Links {
    pub(super) fn send(
        &mut self,
        from: &HostName,
        to: HostName,
        message: &PeerMessage,
        rng: &mut StdRng,
        now: Instant,
    ) {
        if rng.random::<f64>() < self.loss {
            return;
        }
        let delay = Duration::from_millis(rng.random_range(DELAY_MS));
        let Ok(frame) = encode_message(message) else {
            self.too_large += 1;
            return;
        };
        let last = self.last.entry((from.clone(), to.clone())).or_insert(now);
        *last = (*last).max(now + delay);
        self.sent += 1;
        let flight = Flight {
            from: from.clone(),
            to,
            frame,
        };
        let bytes = flight.frame.len();
        self.bytes += bytes;
        *self.bytes_of.entry(flight.from.clone()).or_default() += bytes;
        if has_retained(message) {
            self.retained.0 += 1;
            self.retained.1 += bytes;
        }
        self.flights.insert((*last, self.sent), flight);
    }

    /// The next message that has arrived, with its sender and its receiver.
    pub(super) fn next_arrived(
        &mut self,
        now: Instant,
    ) -> Option<(HostName, HostName, PeerMessage)> {
        let entry = self.flights.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let flight = entry.remove();
        let message = decode_message(&flight.frame).expect("the frame of a host");
        Some((flight.from, flight.to, message))
    }
}

/// Whether a message tells of retained values.
fn has_retained(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Mesh(MeshMessage::Delta { retained, .. }) if !retained.is_empty())
}
