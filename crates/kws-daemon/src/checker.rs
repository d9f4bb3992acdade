//! Checks published values by resolving them as a settings tree.

use kws_membership::{CheckedTree, TreeChecker, TreeRejection};
use kws_protocol::PublishedValues;
use kws_tree::{Finding, resolve, resolve_hosts};

/// Maximum number of findings kept of a rejected tree; the client's `check` shows all of them.
const MAX_FINDINGS: usize = 20;

/// Validates trees for the configuration store by resolving them.
#[derive(Debug)]
pub(crate) struct ResolveChecker;

impl TreeChecker for ResolveChecker {
    fn check(&self, values: &PublishedValues) -> Result<CheckedTree, TreeRejection> {
        match resolve(values) {
            Ok(snapshot) => Ok(CheckedTree {
                settings: snapshot.settings,
                hosts: snapshot.hosts,
            }),
            Err(findings) => Err(TreeRejection {
                findings: findings_text(&findings),
                hosts: resolve_hosts(values).ok(),
            }),
        }
    }
}

fn findings_text(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .take(MAX_FINDINGS)
        .map(ToString::to_string)
        .collect();
    lines.join("\n")
}
