//! The branch files of a tree and their order of inheritance.

use crate::{
    Finding, Problem, SourcePlace,
    node::{NodeValue, TreeNode},
    parse::parse_yaml,
};
use kws_protocol::PublishedValues;
use std::collections::BTreeMap;

/// The largest value that the platform holds, in bytes.
pub(crate) const MAX_VALUE_BYTES: u64 = 1_000_000;
/// The key of the platform's list.
pub(crate) const HOSTS_KEY: &str = "hosts.json";
/// The ending of the keys of branches.
const BRANCH_ENDING: &str = ".yaml";
/// The key of the root branch.
pub(crate) const ROOT_KEY: &str = "root.yaml";

/// The branch files by key, as far as they could be read.
#[derive(Debug, Default)]
pub(crate) struct BranchFiles {
    /// The readable branches.
    pub files: BTreeMap<String, TreeNode>,
    /// Whether every branch is readable.
    pub complete: bool,
}

/// Reads every branch of `published`.
pub(crate) fn load_branches(
    published: &PublishedValues,
    findings: &mut Vec<Finding>,
) -> BranchFiles {
    let known = findings.len();
    let mut files = BTreeMap::new();
    for (key, text) in &published.values {
        if let Some(finding) = key_finding(key, text.len() as u64) {
            findings.push(finding);
        }
        if !key.ends_with(BRANCH_ENDING) || text.len() as u64 > MAX_VALUE_BYTES {
            continue;
        }
        match parse_branch(key, text) {
            Ok(node) => {
                files.insert(key.clone(), node);
            }
            Err(finding) => findings.push(*finding),
        }
    }
    if !published.values.contains_key(ROOT_KEY) {
        findings.push(file_finding(ROOT_KEY, Problem::MissingRoot));
    }
    let complete = files
        .values()
        .all(|branch: &TreeNode| branch.members().is_some())
        && findings[known..]
            .iter()
            .all(|finding| finding.problem == Problem::UnusedValue);
    BranchFiles { files, complete }
}

/// The keys of the branches that `key` inherits from, the root first and itself last.
pub(crate) fn lineage(key: &str) -> Vec<String> {
    let mut keys = vec![ROOT_KEY.to_owned()];
    if key == ROOT_KEY {
        return keys;
    }
    let path = key.strip_suffix(BRANCH_ENDING).unwrap_or(key);
    let above = path
        .match_indices('/')
        .map(|(at, _)| format!("{}{BRANCH_ENDING}", &path[..at]));
    keys.extend(above);
    keys.push(key.to_owned());
    keys
}

/// A finding on the whole of a published value.
pub(crate) fn file_finding(key: &str, problem: Problem) -> Finding {
    Finding {
        place: SourcePlace::whole_file(key),
        path: String::new(),
        problem,
    }
}

fn key_finding(key: &str, bytes: u64) -> Option<Finding> {
    if bytes > MAX_VALUE_BYTES {
        let limit = MAX_VALUE_BYTES;
        return Some(file_finding(key, Problem::TooLarge { bytes, limit }));
    }
    if key.ends_with(BRANCH_ENDING) || key == HOSTS_KEY {
        return None;
    }
    Some(file_finding(key, Problem::UnusedValue))
}

fn parse_branch(key: &str, text: &str) -> Result<TreeNode, Box<Finding>> {
    let mut node = parse_yaml(key, text)?;
    if node.value == NodeValue::Null {
        // An empty file is a branch that overrides nothing.
        node.value = NodeValue::Map(BTreeMap::new());
    }
    Ok(node)
}
