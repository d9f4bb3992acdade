//! The platform's list of entry hosts and of leaving backend servers.

use crate::{
    Finding, Problem, SourcePlace,
    branch::{HOSTS_KEY, file_finding},
};
use kws_protocol::{FleetSettings, HostList, ListedHost, PublishedValues};
use std::collections::{BTreeMap, BTreeSet};

/// Reads and checks the platform's list by itself, for a tree that is refused for other reasons. An
/// absent list is an empty one.
///
/// # Errors
/// All findings together.
pub fn resolve_hosts(published: &PublishedValues) -> Result<HostList, Vec<Finding>> {
    let mut findings = Vec::new();
    let list = read_hosts(published, &mut findings);
    if findings.is_empty() {
        return Ok(list);
    }
    Err(findings)
}

/// Reads the list, and reports names and peer addresses that stand twice: such hosts would get
/// shares of the limits that belong to one.
pub(crate) fn read_hosts(published: &PublishedValues, findings: &mut Vec<Finding>) -> HostList {
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
    check_unique(&list, findings);
    list
}

/// Warns of hosts in data centres that the tree does not have.
pub(crate) fn check_places(list: &HostList, settings: &FleetSettings, findings: &mut Vec<Finding>) {
    for host in &list.hosts {
        let region = settings.regions.get(&host.region);
        if region.is_some_and(|region| region.centers.contains(&host.center)) {
            continue;
        }
        let problem = Problem::HostPlace {
            region: host.region.to_string(),
            center: host.center.to_string(),
        };
        findings.push(host_finding(host, problem));
    }
}

fn check_unique(list: &HostList, findings: &mut Vec<Finding>) {
    let mut names = BTreeSet::new();
    let mut peers = BTreeMap::new();
    for host in &list.hosts {
        if !names.insert(&host.name) {
            let problem = Problem::DuplicateName {
                name: host.name.to_string(),
                first: SourcePlace::whole_file(HOSTS_KEY),
            };
            findings.push(host_finding(host, problem));
        }
        if let Some(first) = peers.insert(host.peer, &host.name) {
            let problem = Problem::SameAddress {
                address: host.peer.to_string(),
                first: first.to_string(),
            };
            findings.push(host_finding(host, problem));
        }
    }
}

fn list_finding(error: &serde_json::Error) -> Finding {
    let message = error.to_string();
    // The place of the finding says the rest.
    let message = message.split(" at line ").next().unwrap_or_default();
    Finding {
        place: SourcePlace {
            line: error.line() as u64,
            column: error.column() as u64,
            ..SourcePlace::whole_file(HOSTS_KEY)
        },
        path: String::new(),
        problem: Problem::HostList(message.to_owned()),
    }
}

fn host_finding(host: &ListedHost, problem: Problem) -> Finding {
    Finding {
        path: format!("hosts.{}", host.name),
        ..file_finding(HOSTS_KEY, problem)
    }
}
