//! Ranks the hosts that may take over a shared task of the fleet: deciding the placement of a
//! service's requests, managing a team's tokens or reading the platform.

use kws_protocol::{HostName, weighted_score};

/// A host that may take over a shared task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCandidate<'a> {
    /// The name of the host.
    pub name: &'a HostName,
    /// Its processor share, in thousandths of a processor.
    pub millicores: u32,
}

/// Ranks the candidates for the task `subject`, best first.
///
/// Hosts with at least `needed` thousandths of a processor come before the others; if none has that
/// many, the largest come first. Within each group the order is by weighted rendezvous hashing:
/// each host ranks first for a part of the subjects in proportion to its processor share, and a
/// host that joins or leaves moves only its own subjects.
pub fn rank_hosts<'a>(
    subject: &str,
    needed: u32,
    candidates: impl IntoIterator<Item = HostCandidate<'a>>,
) -> Vec<&'a HostName> {
    let candidates: Vec<HostCandidate<'a>> = candidates.into_iter().collect();
    let largest = candidates
        .iter()
        .map(|candidate| candidate.millicores)
        .max();
    let needed = needed.min(largest.unwrap_or_default());
    let mut scored: Vec<(bool, f64, &HostName)> = candidates
        .into_iter()
        .map(|candidate| {
            let score = weighted_score(
                subject,
                candidate.name.as_str(),
                candidate.millicores.max(1),
            );
            (candidate.millicores >= needed, score, candidate.name)
        })
        .collect();
    scored.sort_by(|left, right| {
        let by_size = right.0.cmp(&left.0);
        let by_score = by_size.then(right.1.total_cmp(&left.1));
        by_score.then_with(|| left.2.cmp(right.2))
    });
    scored.into_iter().map(|(_, _, name)| name).collect()
}
