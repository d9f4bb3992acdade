//! The effective value of every field after inheritance, defaults included.

use crate::{
    SourcePlace,
    merge::{MergedEntries, MergedTree},
    node::TreeNode,
    schema::{FRESHNESS, FieldShape, REGION, ROUTE, SERVICE, SectionSchema, TEAM},
    value::FieldValue,
};

/// The field of a service that its servers inherit from; the servers show what comes of it.
const SERVER_DEFAULTS: &str = "server";

/// What a field belongs to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FieldOwner {
    /// Its kind, such as `team`.
    pub kind: &'static str,
    /// Its path, such as `teams.shop`.
    pub path: String,
    /// Its name, such as `shop`; empty for a thing that exists once.
    pub name: String,
}

/// One field with its value in force.
#[derive(Clone, Debug)]
pub(crate) struct EffectiveField {
    /// What it belongs to.
    pub owner: FieldOwner,
    /// Its path below its owner, such as `ejection.base`.
    pub name: String,
    /// Its value; none when it is absent.
    pub value: Option<FieldValue>,
    /// Where it was written; none for a built-in default.
    pub place: Option<SourcePlace>,
}

impl EffectiveField {
    /// Its path in the tree.
    pub fn path(&self) -> String {
        format!("{}.{}", self.owner.path, self.name)
    }
}

/// Every field of `tree`.
pub(crate) fn effective_fields(tree: &MergedTree) -> Vec<EffectiveField> {
    let mut fields = Vec::new();
    let freshness = FieldOwner {
        kind: FRESHNESS.kind,
        path: "freshness".to_owned(),
        name: String::new(),
    };
    add_fields(
        &mut fields,
        &freshness,
        "",
        Some(&tree.freshness),
        &FRESHNESS,
    );
    add_entries(&mut fields, "regions", &tree.regions, &REGION);
    add_entries(&mut fields, "routes", &tree.routes, &ROUTE);
    add_entries(&mut fields, "services", &tree.services, &SERVICE);
    add_entries(&mut fields, "teams", &tree.teams, &TEAM);
    fields
}

fn add_entries(
    fields: &mut Vec<EffectiveField>,
    path: &str,
    entries: &MergedEntries,
    schema: &'static SectionSchema,
) {
    for (name, node) in entries {
        let owner = FieldOwner {
            kind: schema.kind,
            path: format!("{path}.{name}"),
            name: name.to_string(),
        };
        add_fields(fields, &owner, "", Some(node), schema);
    }
}

fn add_fields(
    fields: &mut Vec<EffectiveField>,
    owner: &FieldOwner,
    prefix: &str,
    node: Option<&TreeNode>,
    schema: &'static SectionSchema,
) {
    for field in schema.fields {
        let member = node.and_then(|node| node.member(field.name));
        let name = format!("{prefix}{}", field.name);
        match field.shape {
            FieldShape::Section(_) if name == SERVER_DEFAULTS => {}
            FieldShape::Section(inner) => {
                add_fields(fields, owner, &format!("{name}."), member, inner);
            }
            FieldShape::Named(inner) => {
                let members = member
                    .and_then(TreeNode::members)
                    .cloned()
                    .unwrap_or_default();
                add_entries(fields, &format!("{}.{name}", owner.path), &members, inner);
            }
            FieldShape::Value(kind, default) => {
                let value = match member {
                    Some(member) => kind.read(member).ok(),
                    None => default.node().and_then(|node| kind.read(&node).ok()),
                };
                fields.push(EffectiveField {
                    owner: owner.clone(),
                    name,
                    value,
                    place: member.map(|member| member.place.clone()),
                });
            }
        }
    }
}
