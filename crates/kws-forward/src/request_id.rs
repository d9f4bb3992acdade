//! Identifiers for requests and traces.

use std::{
    cell::Cell,
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
};

/// Maximum length of a caller's request identifier in the log, in bytes: callers choose its length.
const MAX_LOGGED_BYTES: usize = 64;

/// Generates request identifiers that are unique across workers, hosts and incarnations.
#[derive(Debug)]
pub(crate) struct IdSource {
    prefix: u64,
    next: Cell<u64>,
}

impl IdSource {
    /// Creates a source with a random prefix.
    pub(crate) fn new() -> Self {
        Self {
            prefix: random_prefix(),
            next: Cell::new(0),
        }
    }

    /// Returns the next identifier: 32 hexadecimal digits.
    pub(crate) fn next_id(&self) -> String {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        format!("{:016x}{number:016x}", self.prefix)
    }
}

/// Returns the `traceparent` to forward: it continues the caller's trace if that is well formed,
/// else it starts a trace with the request identifier as its trace ID.
pub(crate) fn trace_parent(caller: Option<&str>, request_id: &str) -> String {
    let span = &request_id[16..];
    // An all-zero span ID is invalid, and the first request of a worker has the number 0.
    let span = format!(
        "{:016x}",
        u64::from_str_radix(span, 16).unwrap_or(0) | 1 << 63
    );
    match caller.and_then(parse_trace) {
        Some((trace, flags)) => format!("00-{trace}-{span}-{flags}"),
        None => format!("00-{request_id}-{span}-00"),
    }
}

/// Parses a version 00 `traceparent` into its trace ID and flags.
fn parse_trace(text: &str) -> Option<(&str, &str)> {
    let mut parts = text.split('-');
    let (version, trace) = (parts.next()?, parts.next()?);
    let (span, flags) = (parts.next()?, parts.next()?);
    let well_formed = version == "00"
        && is_hex(trace, 32)
        && is_hex(span, 16)
        && is_hex(flags, 2)
        && parts.next().is_none();
    let zero = |digits: &str| digits.bytes().all(|digit| digit == b'0');
    (well_formed && !zero(trace) && !zero(span)).then_some((trace, flags))
}

fn is_hex(text: &str, length: usize) -> bool {
    text.len() == length && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn random_prefix() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Truncates a caller's request identifier for the log.
pub(crate) fn truncate_id(id: &str) -> &str {
    id.get(..MAX_LOGGED_BYTES).unwrap_or(id)
}
