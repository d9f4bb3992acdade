//! The seeds of a run by hand.

use std::{env, ops::Range};

/// The range that `SOAK_SEEDS` gives, such as `1..51`.
pub fn seeds() -> Range<u64> {
    let text = env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..51".to_owned());
    let (first, end) = text.split_once("..").expect("two numbers");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}
