//! Published values to checked settings.

use crate::{
    Finding, FindingSeverity, Problem, SourcePlace,
    branch::{BranchFiles, HOSTS_KEY, ROOT_KEY, file_finding, load_branches},
    decode::decode_tree,
    fields::check_section,
    merge::{MergedTree, merge_branches},
    references::check_references,
    schema::BRANCH,
};
use kws_protocol::{FleetSettings, FleetSnapshot, HostList, PublishedValues};

/// Resolves inheritance and checks everything.
///
/// # Errors
/// All findings together, warnings included, when one of them is an error.
pub fn resolve(published: &PublishedValues) -> Result<FleetSnapshot, Vec<Finding>> {
    let (snapshot, findings) = resolve_with_findings(published);
    if has_errors(&findings) {
        return Err(findings);
    }
    Ok(snapshot)
}

/// All findings of a tree in the order of their places; none of them may be an error.
pub fn check(published: &PublishedValues) -> Vec<Finding> {
    resolve_with_findings(published).1
}

/// The tree after inheritance, when nothing is wrong with it.
pub(crate) fn merge_checked(published: &PublishedValues) -> Result<MergedTree, Vec<Finding>> {
    resolve(published)?;
    let mut findings = Vec::new();
    let branches = load_branches(published, &mut findings);
    Ok(merge_branches(&branches, &mut findings))
}

fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity() == FindingSeverity::Error)
}

fn resolve_with_findings(published: &PublishedValues) -> (FleetSnapshot, Vec<Finding>) {
    let mut findings = Vec::new();
    let branches = load_branches(published, &mut findings);
    let settings = resolve_settings(&branches, &mut findings);
    let hosts = resolve_hosts(published, &settings, &mut findings);
    // A default with a fault comes up once for each thing that inherits it.
    findings.sort();
    findings.dedup();
    let snapshot = FleetSnapshot {
        revision: published.revision,
        settings,
        hosts,
    };
    (snapshot, findings)
}

fn resolve_settings(branches: &BranchFiles, findings: &mut Vec<Finding>) -> FleetSettings {
    for (key, branch) in &branches.files {
        check_section(branch, &BRANCH, key == ROOT_KEY, findings);
    }
    let tree = merge_branches(branches, findings);
    let settings = decode_tree(&tree);
    // What an unreadable branch would have defined must not be reported as missing.
    if branches.complete {
        check_references(&tree, &settings, findings);
    }
    settings
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
    let mut names = std::collections::BTreeSet::new();
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
