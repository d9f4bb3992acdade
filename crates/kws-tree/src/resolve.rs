//! Published values to checked settings.

use crate::{
    Finding, FindingSeverity,
    branch::{ROOT_KEY, load_branches},
    decode::decode_tree,
    fields::check_section,
    hosts::{check_places, read_hosts},
    merge::{MergedTree, merge_branches},
    references::check_references,
    schema::BRANCH,
};
use kws_protocol::{FleetSnapshot, PublishedValues};
use std::sync::Arc;

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
    let hosts = read_hosts(published, &mut findings);
    check_places(&hosts, &settings, &mut findings);
    // A default with a fault comes up once for each thing that inherits it.
    findings.sort();
    findings.dedup();
    if has_errors(&findings) {
        return (None, findings);
    }
    let snapshot = FleetSnapshot {
        revision: published.revision,
        settings: Arc::new(settings),
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
