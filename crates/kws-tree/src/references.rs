//! Checks across the tree: references, duplicates, floors, weights, and routes that hide others.

mod region;
mod route;
mod service;
mod team;

use crate::{
    Finding, Problem,
    fields::{name_finding, value_finding},
    merge::{MergedEntries, MergedTree},
    node::TreeNode,
    schema::{DefaultValue, FieldShape, REGION, ROUTE, SERVICE, SectionSchema, TEAM},
};
use kws_protocol::FleetSettings;

/// Checks the whole tree after inheritance.
pub(crate) fn check_references(
    tree: &MergedTree,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) {
    check_missing(&tree.regions, &REGION, findings);
    check_missing(&tree.routes, &ROUTE, findings);
    check_missing(&tree.services, &SERVICE, findings);
    check_missing(&tree.teams, &TEAM, findings);
    region::check_regions(tree, settings, findings);
    route::check_routes(tree, settings, findings);
    service::check_services(tree, settings, findings);
    team::check_teams(tree, settings, findings);
}

fn check_missing(entries: &MergedEntries, schema: &SectionSchema, findings: &mut Vec<Finding>) {
    for entry in entries.values() {
        report_missing(entry, schema, findings);
    }
}

/// Reports fields that nothing sets and that have no default.
pub(crate) fn report_missing(
    entry: &TreeNode,
    schema: &SectionSchema,
    findings: &mut Vec<Finding>,
) {
    for field in schema.fields {
        match field.shape {
            FieldShape::Value(_, DefaultValue::Required) if entry.member(field.name).is_none() => {
                let problem = Problem::MissingField(field.name.to_owned());
                findings.push(name_finding(entry, problem));
            }
            FieldShape::Named(inner) => {
                if let Some(members) = entry.member(field.name).and_then(TreeNode::members) {
                    check_missing(members, inner, findings);
                }
            }
            _ => {}
        }
    }
}

/// A finding at the field of `entry`, or at the entry's name when no branch sets the field.
fn field_finding(entry: &TreeNode, field: &str, problem: Problem) -> Finding {
    match entry.member(field) {
        Some(member) => value_finding(member, problem),
        None => name_finding(entry, problem),
    }
}
