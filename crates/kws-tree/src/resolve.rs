//! Published values to checked settings.

use crate::{
    Finding, FindingSeverity, Problem, SourcePlace,
    branch::{HOSTS_KEY, ROOT_KEY, file_finding, load_branches},
    decode::decode_tree,
    fields::check_section,
    merge::{MergedTree, merge_branches},
    references::check_references,
    schema::BRANCH,
};
use kws_protocol::{FleetSettings, FleetSnapshot, HostList, PublishedValues};
use std::collections::BTreeSet;

/// What became of a tree.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeReview {
    /// All findings in the order of their places.
    pub findings: Vec<Finding>,
    /// The resolved tree; none when a finding is an error.
    pub snapshot: Option<FleetSnapshot>,
}

/// Resolves inheritance and checks everything.
///
/// # Errors
/// All findings together, warnings included, when one of them is an error.
pub fn resolve(published: &PublishedValues) -> Result<FleetSnapshot, Vec<Finding>> {
    let review = review(published);
    review.snapshot.ok_or(review.findings)
}

/// Resolves inheritance and checks everything; warnings are given also for an accepted tree.
pub fn review(published: &PublishedValues) -> TreeReview {
    let (tree, findings) = merge_tree(published);
    let snapshot = tree.map(|tree| tree.snapshot);
    TreeReview { findings, snapshot }
}

/// The tree after inheritance, when nothing is wrong with it.
pub(crate) fn merge_checked(published: &PublishedValues) -> Result<MergedTree, Vec<Finding>> {
    let (tree, findings) = merge_tree(published);
    tree.map(|tree| tree.merged).ok_or(findings)
}

/// An accepted tree before and after its values are read.
struct AcceptedTree {
    merged: MergedTree,
    snapshot: FleetSnapshot,
}

fn merge_tree(published: &PublishedValues) -> (Option<AcceptedTree>, Vec<Finding>) {
    let mut findings = Vec::new();
    let branches = load_branches(published, &mut findings);
    for (key, branch) in &branches.files {
        check_section(branch, &BRANCH, key == ROOT_KEY, &mut findings);
    }
    let merged = merge_branches(&branches, &mut findings);
    let settings = decode_tree(&merged);
    // What an unreadable branch would have defined must not be reported as missing.
    if branches.complete {
        check_references(&merged, &settings, &mut findings);
    }
    let hosts = resolve_hosts(published, &settings, &mut findings);
    // A default with a fault comes up once for each thing that inherits it.
    findings.sort();
    findings.dedup();
    if has_errors(&findings) {
        return (None, findings);
    }
    let snapshot = FleetSnapshot {
        revision: published.revision,
        settings,
        hosts,
    };
    (Some(AcceptedTree { merged, snapshot }), findings)
}

/// Whether one of `findings` keeps the settings from being accepted.
pub(crate) fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity() == FindingSeverity::Error)
}

fn resolve_hosts(
    published: &PublishedValues,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) -> HostList {
    let Some(text) = published.values.get(HOSTS_KEY) else {
        return HostList::default();
    };
    let list: HostList = match serde_json::from_str(text) {
        Ok(list) => list,
        Err(error) => {
            findings.push(list_finding(&error));
            return HostList::default();
        }
    };
    check_hosts(&list, settings, findings);
    list
}

fn list_finding(error: &serde_json::Error) -> Finding {
    Finding {
        place: SourcePlace {
            line: error.line() as u64,
            column: error.column() as u64,
            ..SourcePlace::whole_file(HOSTS_KEY)
        },
        path: String::new(),
        problem: Problem::HostList(error.to_string()),
    }
}

fn check_hosts(list: &HostList, settings: &FleetSettings, findings: &mut Vec<Finding>) {
    let mut names = BTreeSet::new();
    for host in &list.hosts {
        if !names.insert(&host.name) {
            let problem = Problem::DuplicateName {
                name: host.name.to_string(),
                first: SourcePlace::whole_file(HOSTS_KEY),
            };
            findings.push(host_finding(host.name.as_str(), problem));
        }
        let region = settings.regions.get(&host.region);
        if !region.is_some_and(|region| region.centers.contains(&host.center)) {
            let problem = Problem::HostPlace {
                region: host.region.to_string(),
                center: host.center.to_string(),
            };
            findings.push(host_finding(host.name.as_str(), problem));
        }
    }
}

fn host_finding(name: &str, problem: Problem) -> Finding {
    Finding {
        path: format!("hosts.{name}"),
        ..file_finding(HOSTS_KEY, problem)
    }
}
