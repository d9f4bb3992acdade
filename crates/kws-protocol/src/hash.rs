//! Rendezvous hashing. Scores must be identical on every host and in every version of the daemon.

use crate::HostName;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the score of `candidate` for `subject`; the candidate with the highest score wins.
pub fn rendezvous_score(subject: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(subject.len() + candidate.len() + 1);
    bytes.extend_from_slice(subject.as_bytes());
    // The NUL separator distinguishes ("ab", "c") from ("a", "bc"); names never contain a NUL.
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}

/// Returns the score of `candidate` for `subject` in weighted rendezvous hashing: the candidate
/// with the highest score wins, and each one wins with a probability proportional to its `weight`
/// (C. Schindelhauer, G. Schomaker, "Weighted distributed hash tables", 2005).
pub fn weighted_score(subject: &str, candidate: &str, weight: u32) -> f64 {
    let hash = rendezvous_score(subject, candidate);
    // Maps the top 53 bits, the precision of an `f64`, into the open interval (0, 1), so that the
    // logarithm is finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight) / -uniform.ln()
}

/// Returns the candidates in descending order of their score for `subject`; equal scores are
/// ordered by name.
pub fn rendezvous_order<'a, I>(subject: &str, candidates: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|candidate| (rendezvous_score(subject, candidate), candidate))
        .collect();
    scored.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(right.1)));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Hash of the name of a host, the same on every host.
pub fn name_hash(name: &HostName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}
