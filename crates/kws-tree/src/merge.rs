//! Inheritance: every service, route and team with the defaults of its branches below it.

use crate::{
    Finding, Problem,
    branch::{BranchFiles, ROOT_KEY, lineage},
    fields::name_finding,
    node::{NodeValue, TreeNode},
};
use std::{collections::BTreeMap, sync::Arc};

/// Things of one kind by name, each with what it inherits.
pub(crate) type MergedEntries = BTreeMap<Arc<str>, TreeNode>;

/// The tree after inheritance, before its values are read.
#[derive(Debug)]
pub(crate) struct MergedTree {
    /// How long hosts may believe what they heard.
    pub freshness: TreeNode,
    /// The regions.
    pub regions: MergedEntries,
    /// The routes.
    pub routes: MergedEntries,
    /// The services.
    pub services: MergedEntries,
    /// The teams.
    pub teams: MergedEntries,
}

/// Applies inheritance to `branches`.
pub(crate) fn merge_branches(branches: &BranchFiles, findings: &mut Vec<Finding>) -> MergedTree {
    let root = branches.files.get(ROOT_KEY);
    let services = merge_kind(branches, "services", "service", findings);
    MergedTree {
        freshness: root
            .and_then(|root| root.member("freshness"))
            .cloned()
            .unwrap_or_else(empty_map),
        regions: root
            .into_iter()
            .flat_map(|root| entries(root, "regions"))
            .map(|(name, region)| (name.clone(), region.clone()))
            .collect(),
        routes: merge_kind(branches, "routes", "route", findings),
        services: services
            .into_iter()
            .map(|(name, service)| (name, with_server_defaults(service)))
            .collect(),
        teams: merge_kind(branches, "teams", "team", findings),
    }
}

/// A map without members.
pub(crate) fn empty_map() -> TreeNode {
    TreeNode::built_in(NodeValue::Map(BTreeMap::new()))
}

/// The things of one kind in all branches; `plural` holds them, `singular` their defaults.
fn merge_kind(
    branches: &BranchFiles,
    plural: &str,
    singular: &str,
    findings: &mut Vec<Finding>,
) -> MergedEntries {
    let mut merged = MergedEntries::new();
    for (key, branch) in &branches.files {
        let defaults = inherited_defaults(branches, key, singular);
        for (name, entry) in entries(branch, plural) {
            if let Some(first) = merged.get(name) {
                findings.push(duplicate_name(name, first, entry));
                continue;
            }
            merged.insert(name.clone(), with_defaults(&defaults, entry));
        }
    }
    merged
}

/// The defaults for `singular` in the branch `key`, those of all branches above included.
fn inherited_defaults(branches: &BranchFiles, key: &str, singular: &str) -> TreeNode {
    lineage(key)
        .iter()
        .filter_map(|above| branches.files.get(above))
        .filter_map(|branch| branch.member("defaults")?.member(singular))
        .fold(empty_map(), |defaults, over| defaults.overlaid(over))
}

/// The members of the section `plural`.
fn entries<'a>(
    branch: &'a TreeNode,
    plural: &str,
) -> impl Iterator<Item = (&'a Arc<str>, &'a TreeNode)> {
    let members = branch.member(plural).and_then(TreeNode::members);
    members.into_iter().flatten()
}

/// `entry` above the `defaults`; one that is no map sets nothing.
fn with_defaults(defaults: &TreeNode, entry: &TreeNode) -> TreeNode {
    if entry.members().is_some() {
        return defaults.overlaid(entry);
    }
    TreeNode {
        value: defaults.value.clone(),
        ..entry.clone()
    }
}

fn with_server_defaults(mut service: TreeNode) -> TreeNode {
    let defaults = service.member("server").cloned().unwrap_or_else(empty_map);
    let servers: MergedEntries = entries(&service, "servers")
        .map(|(name, server)| (name.clone(), with_defaults(&defaults, server)))
        .collect();
    if let NodeValue::Map(members) = &mut service.value
        && let Some(member) = members.get_mut("servers")
    {
        member.value = NodeValue::Map(servers);
    }
    service
}

/// A finding on `second`, whose name belongs to `first`.
pub(crate) fn duplicate_name(name: &str, first: &TreeNode, second: &TreeNode) -> Finding {
    let problem = Problem::DuplicateName {
        name: name.to_owned(),
        first: first.name_place.clone(),
    };
    name_finding(second, problem)
}
