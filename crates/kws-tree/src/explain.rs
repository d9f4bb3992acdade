//! The value in force of any field, with the place that set it.

use crate::{
    Finding, Problem, SourcePlace,
    branch::{ROOT_KEY, file_finding},
    effective::effective_fields,
    resolve::merge_checked,
};
use kws_protocol::PublishedValues;
use std::fmt;

/// Where a value comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ValueOrigin {
    /// No branch sets it.
    BuiltIn,
    /// A branch sets it.
    Written(SourcePlace),
}

impl fmt::Display for ValueOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => formatter.write_str("built-in default"),
            Self::Written(place) => place.fmt(formatter),
        }
    }
}

/// One field and its value in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EffectiveValue {
    /// Its path in the tree, such as `teams.shop.rate`.
    pub path: String,
    /// Its value with its unit; none when it is absent.
    pub value: Option<String>,
    /// Where it comes from.
    pub origin: ValueOrigin,
}

/// The values at `path` and below it; an empty path gives the whole tree.
///
/// # Errors
/// The findings of a tree that is not accepted, or one for a path that leads to nothing.
pub fn explain(
    published: &PublishedValues,
    path: &str,
) -> Result<Vec<EffectiveValue>, Vec<Finding>> {
    let tree = merge_checked(published)?;
    let values: Vec<EffectiveValue> = effective_fields(&tree)
        .into_iter()
        .filter(|field| is_below(&field.path(), path))
        .map(|field| EffectiveValue {
            path: field.path(),
            value: field.value.map(|value| value.to_string()),
            origin: field
                .place
                .map_or(ValueOrigin::BuiltIn, ValueOrigin::Written),
        })
        .collect();
    if values.is_empty() {
        let problem = Problem::UnknownPath(path.to_owned());
        return Err(vec![file_finding(ROOT_KEY, problem)]);
    }
    Ok(values)
}

fn is_below(path: &str, wanted: &str) -> bool {
    match path.strip_prefix(wanted) {
        Some(rest) => wanted.is_empty() || rest.is_empty() || rest.starts_with('.'),
        None => false,
    }
}
