//! The fields of the tree, with their kinds, defaults and meanings.

mod fleet;
mod host;
mod route;
mod service;
mod team;

use crate::{
    node::{NodeValue, TreeNode},
    value::ValueKind,
};

pub(crate) use fleet::{BRANCH, FRESHNESS, REGION};
pub(crate) use host::{CENTER, HOST, TLS};
pub(crate) use route::{ROUTE, SPLIT};
pub(crate) use service::{SERVER, SERVICE};
pub(crate) use team::TEAM;

/// What a field is when no branch sets it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DefaultValue {
    /// It has no value.
    Absent,
    /// An empty list.
    EmptyList,
    /// True or false.
    Flag(bool),
    /// A number.
    Number(f64),
    /// It must be set.
    Required,
    /// Text, with its unit.
    Text(&'static str),
}

impl DefaultValue {
    /// The default as a value; none for a field that is absent or required.
    pub fn node(self) -> Option<TreeNode> {
        let value = match self {
            Self::Absent | Self::Required => return None,
            Self::EmptyList => NodeValue::List(Vec::new()),
            Self::Flag(flag) => NodeValue::Flag(flag),
            Self::Number(number) => NodeValue::Number(number),
            Self::Text(text) => NodeValue::Text(text.into()),
        };
        Some(TreeNode::built_in(value))
    }
}

/// What stands under the name of a field.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldShape {
    /// One value.
    Value(ValueKind, DefaultValue),
    /// Further fields.
    Section(&'static SectionSchema),
    /// Sections by name.
    Named(&'static SectionSchema),
}

/// Where a field may stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldScope {
    /// Anywhere.
    Any,
    /// Not in the defaults of a branch.
    Own,
    /// In the root branch.
    Root,
}

/// One field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldSchema {
    /// Its name.
    pub name: &'static str,
    /// What it takes.
    pub shape: FieldShape,
    /// Where it may stand.
    pub scope: FieldScope,
    /// Its meaning.
    pub meaning: &'static str,
}

/// The fields of one section.
#[derive(Debug)]
pub(crate) struct SectionSchema {
    /// What it describes, in one word.
    pub kind: &'static str,
    /// Its heading in the reference.
    pub title: &'static str,
    /// Its fields.
    pub fields: &'static [FieldSchema],
}

impl SectionSchema {
    /// The field called `name`.
    pub fn field(&self, name: &str) -> Option<&'static FieldSchema> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// The field whose name is nearest to `name`, when one is near.
    pub fn nearest(&self, name: &str) -> Option<&'static str> {
        const FAR: usize = 3;
        self.fields
            .iter()
            .map(|field| (edit_distance(field.name, name), field.name))
            .min()
            .filter(|(distance, _)| *distance < FAR)
            .map(|(_, near)| near)
    }
}

/// A field with one value.
const fn value(
    name: &'static str,
    kind: ValueKind,
    default: DefaultValue,
    meaning: &'static str,
) -> FieldSchema {
    FieldSchema {
        name,
        shape: FieldShape::Value(kind, default),
        scope: FieldScope::Any,
        meaning,
    }
}

/// A field that may stand in some places only.
const fn scoped(scope: FieldScope, field: FieldSchema) -> FieldSchema {
    FieldSchema { scope, ..field }
}

/// A field with further fields.
const fn section(
    name: &'static str,
    schema: &'static SectionSchema,
    meaning: &'static str,
) -> FieldSchema {
    FieldSchema {
        name,
        shape: FieldShape::Section(schema),
        scope: FieldScope::Any,
        meaning,
    }
}

/// A field with sections by name.
const fn named(
    name: &'static str,
    schema: &'static SectionSchema,
    meaning: &'static str,
) -> FieldSchema {
    FieldSchema {
        name,
        shape: FieldShape::Named(schema),
        scope: FieldScope::Own,
        meaning,
    }
}

/// How many letters must be added, removed or changed to make `left` into `right`.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().take(64).collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in right.iter().enumerate() {
            let changed = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = changed.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
