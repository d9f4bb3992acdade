//! Checks of teams: a key stands for one team.

use super::field_finding;
use crate::{Finding, Problem, merge::MergedTree, value::short_digest};
use kws_protocol::{FleetSettings, KeyDigest, TeamName};
use std::collections::BTreeMap;

pub(super) fn check_teams(
    tree: &MergedTree,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) {
    let mut owners: BTreeMap<&KeyDigest, &TeamName> = BTreeMap::new();
    for team in settings.teams.values() {
        for digest in &team.keys {
            let Some(first) = owners.insert(digest, &team.name) else {
                continue;
            };
            let problem = Problem::DuplicateKey {
                digest: short_digest(digest),
                first: first.to_string(),
            };
            findings.push(field_finding(
                &tree.teams[team.name.as_str()],
                "keys",
                problem,
            ));
        }
    }
}
