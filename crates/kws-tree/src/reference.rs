//! The reference of all fields, written from the schema so that it names every one.

use crate::schema::{
    BRANCH, DefaultValue, FieldSchema, FieldScope, FieldShape, HOST, SectionSchema,
};
use std::fmt::Write;

/// Every field of the tree as tables in Markdown.
pub fn tree_reference() -> String {
    section_tables(&BRANCH)
}

/// Every field of the settings of an entry host as tables in Markdown.
pub fn host_reference() -> String {
    section_tables(&HOST)
}

/// The table of `schema`, and those of all sections in it.
fn section_tables(schema: &'static SectionSchema) -> String {
    let mut text = String::new();
    for section in sections_of(schema) {
        // Writing to text cannot fail.
        let _ = write_section(&mut text, section);
    }
    text
}

/// `schema` and the sections in it, each once, the outer ones first.
fn sections_of(schema: &'static SectionSchema) -> Vec<&'static SectionSchema> {
    let mut sections = vec![schema];
    let mut next = 0;
    while let Some(section) = sections.get(next).copied() {
        next += 1;
        for field in section.fields {
            let (FieldShape::Section(inner) | FieldShape::Named(inner)) = field.shape else {
                continue;
            };
            if !sections.iter().any(|known| known.kind == inner.kind) {
                sections.push(inner);
            }
        }
    }
    sections
}

fn write_section(text: &mut String, section: &SectionSchema) -> std::fmt::Result {
    writeln!(text, "### {}\n", section.title)?;
    writeln!(text, "| Field | Takes | Example | Default | Meaning |")?;
    writeln!(text, "| --- | --- | --- | --- | --- |")?;
    for field in section.fields {
        writeln!(text, "{}", field_row(field))?;
    }
    writeln!(text)
}

fn field_row(field: &FieldSchema) -> String {
    let (takes, example, default) = match field.shape {
        FieldShape::Value(kind, default) => (
            kind.expected().to_owned(),
            format!("`{}`", kind.example()),
            describe_default(kind, default),
        ),
        FieldShape::Section(inner) => (
            format!("fields of: {}", inner.title),
            String::new(),
            String::new(),
        ),
        FieldShape::Named(inner) => (
            format!("a map by name, each with the fields of: {}", inner.title),
            String::new(),
            String::new(),
        ),
    };
    let scope = match field.scope {
        FieldScope::Any => "",
        FieldScope::Own => " Not inherited.",
        FieldScope::Root => " In root.yaml only.",
    };
    format!(
        "| `{}` | {takes} | {example} | {default} | {}{scope} |",
        field.name, field.meaning
    )
}

fn describe_default(kind: crate::value::ValueKind, default: DefaultValue) -> String {
    match default {
        DefaultValue::Absent => "absent".to_owned(),
        DefaultValue::Required => "must be set".to_owned(),
        _ => default
            .node()
            .and_then(|node| kind.read(&node).ok())
            .map(|value| format!("`{value}`"))
            .unwrap_or_default(),
    }
}
