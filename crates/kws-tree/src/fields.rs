//! Checks each field of a branch by itself: that it exists, stands where it may, and can be read.

use crate::{
    Finding, Problem, SourcePlace,
    node::{NodeValue, TreeNode},
    schema::{FieldSchema, FieldScope, FieldShape, SectionSchema},
    value::is_name,
};

/// Where a section stands.
#[derive(Clone, Copy)]
struct SectionContext {
    /// Whether the file is the root branch.
    root: bool,
    /// Whether other sections inherit from this one.
    inherited: bool,
}

/// Checks every field of `node`, which is written by `schema`.
pub(crate) fn check_section(
    node: &TreeNode,
    schema: &SectionSchema,
    root: bool,
    findings: &mut Vec<Finding>,
) {
    let context = SectionContext {
        root,
        inherited: false,
    };
    check_members(node, schema, context, findings);
}

fn check_members(
    node: &TreeNode,
    schema: &SectionSchema,
    context: SectionContext,
    findings: &mut Vec<Finding>,
) {
    let Some(members) = node.members() else {
        if node.value != NodeValue::Null {
            findings.push(map_expected(node));
        }
        return;
    };
    for (name, member) in members {
        match schema.field(name) {
            Some(field) => check_field(member, field, context, findings),
            None => findings.push(name_finding(
                member,
                Problem::UnknownField(name.to_string(), schema.nearest(name)),
            )),
        }
    }
}

fn check_field(
    node: &TreeNode,
    field: &FieldSchema,
    context: SectionContext,
    findings: &mut Vec<Finding>,
) {
    let name = field.name.to_owned();
    match field.scope {
        FieldScope::Own if context.inherited => {
            findings.push(name_finding(node, Problem::NotInherited(name)));
        }
        FieldScope::Root if !context.root => {
            findings.push(name_finding(node, Problem::RootOnly(name)));
        }
        _ => check_shape(node, field, context, findings),
    }
}

fn check_shape(
    node: &TreeNode,
    field: &FieldSchema,
    context: SectionContext,
    findings: &mut Vec<Finding>,
) {
    match field.shape {
        FieldShape::Value(..) if node.value == NodeValue::Null => {}
        FieldShape::Value(kind, _) => {
            if let Err(problem) = kind.read(node) {
                findings.push(value_finding(node, problem));
            }
        }
        FieldShape::Section(schema) => {
            let inherited = context.inherited || matches!(field.name, "defaults" | "server");
            let inner = SectionContext {
                inherited,
                ..context
            };
            check_members(node, schema, inner, findings);
        }
        FieldShape::Named(schema) => check_named(node, schema, context, findings),
    }
}

fn check_named(
    node: &TreeNode,
    schema: &SectionSchema,
    context: SectionContext,
    findings: &mut Vec<Finding>,
) {
    let Some(members) = node.members() else {
        if node.value != NodeValue::Null {
            findings.push(map_expected(node));
        }
        return;
    };
    for (name, member) in members {
        if !is_name(name) {
            findings.push(name_finding(member, Problem::BadName(name.to_string())));
        }
        check_members(member, schema, context, findings);
    }
}

fn map_expected(node: &TreeNode) -> Finding {
    let problem = Problem::WrongType {
        expected: "a map",
        found: node.describe(),
    };
    value_finding(node, problem)
}

/// A finding at the value of `node`.
pub(crate) fn value_finding(node: &TreeNode, problem: Problem) -> Finding {
    finding_at(&node.place, &node.path, problem)
}

/// A finding at the name of `node`.
pub(crate) fn name_finding(node: &TreeNode, problem: Problem) -> Finding {
    finding_at(&node.name_place, &node.path, problem)
}

fn finding_at(place: &SourcePlace, path: &str, problem: Problem) -> Finding {
    Finding {
        place: place.clone(),
        path: path.to_owned(),
        problem,
    }
}
