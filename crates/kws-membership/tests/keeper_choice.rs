//! Ranking of hosts for shared tasks: a subject and hosts in, ranked hosts out.

use kws_membership::{HostCandidate, rank_hosts};
use kws_protocol::HostName;
use std::collections::BTreeMap;

const SUBJECTS: usize = 2_000;

fn fleet(sizes: &[(usize, u32)]) -> Vec<(HostName, u32)> {
    let mut hosts = Vec::new();
    for (count, millicores) in sizes {
        for _ in 0..*count {
            let name = format!("10.0.0.{}:700/a", hosts.len());
            hosts.push((HostName::new(&name), *millicores));
        }
    }
    hosts
}

fn first(subject: usize, needed: u32, hosts: &[(HostName, u32)]) -> HostName {
    let candidates = hosts.iter().map(|(name, millicores)| HostCandidate {
        name,
        millicores: *millicores,
    });
    let order = rank_hosts(&format!("service-{subject}"), needed, candidates);
    assert_eq!(order.len(), hosts.len());
    order[0].clone()
}

/// Tasks that need a large host go to large hosts only, evenly distributed.
#[test]
fn large_hosts() {
    let hosts = fleet(&[(4, 500), (40, 100)]);
    let mut counts: BTreeMap<HostName, usize> = BTreeMap::new();
    for subject in 0..SUBJECTS {
        *counts.entry(first(subject, 300, &hosts)).or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|count| *count > SUBJECTS / 6));
}

/// Tasks without a minimum size are distributed in proportion to the processor shares.
#[test]
fn proportional_share() {
    let hosts = fleet(&[(1, 500), (5, 100)]);
    let large = &hosts[0].0;
    let subjects = 0..SUBJECTS;
    let taken = subjects.filter(|subject| first(*subject, 0, &hosts) == *large);
    let share = taken.count() as f64 / SUBJECTS as f64;
    assert!((0.45..0.55).contains(&share), "{share}");
}

/// If no host is large enough, the largest hosts take the task.
#[test]
fn oversized_task() {
    let hosts = fleet(&[(3, 200), (3, 100)]);
    let taken = first(1, 10_000, &hosts);
    assert!(hosts[..3].iter().any(|(name, _)| *name == taken));
}

/// Removing a host reassigns only its own subjects.
#[test]
fn minimal_reassignment() {
    let hosts = fleet(&[(10, 200)]);
    let fewer = &hosts[1..];
    for subject in 0..200 {
        let before = first(subject, 0, &hosts);
        if before != hosts[0].0 {
            assert_eq!(first(subject, 0, fewer), before);
        }
    }
}
