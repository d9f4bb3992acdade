//! YAML text to values with places.

use crate::{
    Finding, Problem, SourcePlace,
    node::{NodeValue, TreeNode},
};
use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    Location, NonFiniteFloatPolicy, Options, Spanned, UserMessageFormatter, alias_limits, budget,
    options,
};
use std::{fmt, sync::Arc};

/// The deepest nesting of a branch; the schema needs less than half.
const MAX_DEPTH: usize = 24;
/// The most values in one file, aliases expanded.
const MAX_VALUES: usize = 400_000;
/// The most parser events that aliases may repeat in one file.
const MAX_REPEATED: usize = 20_000;
/// The most uses of anchors in one file.
const MAX_ALIASES: usize = 1_000;

/// Reads one file.
///
/// # Errors
/// One finding at the first place where the file is not YAML or breaks a bound.
pub(crate) fn parse_yaml(file: &str, text: &str) -> Result<TreeNode, Box<Finding>> {
    let raw: Spanned<RawValue> = serde_saphyr::from_str_with_options(text, yaml_options())
        .map_err(|error| Box::new(syntax_finding(file, &error)))?;
    Ok(placed(raw, None, &Arc::from(file), ""))
}

fn yaml_options() -> Options {
    options! {
        budget: budget! {
            max_depth: MAX_DEPTH,
            max_documents: 1,
            max_nodes: MAX_VALUES,
            max_aliases: MAX_ALIASES,
        },
        alias_limits: alias_limits! {
            max_total_replayed_events: MAX_REPEATED,
            max_replay_stack_depth: MAX_DEPTH,
        },
        non_finite_float_policy: NonFiniteFloatPolicy::AsString,
        strict_booleans: true,
        with_snippet: false,
    }
}

fn syntax_finding(file: &str, error: &serde_saphyr::Error) -> Finding {
    let mut place = SourcePlace::whole_file(file);
    if let Some(location) = error.location() {
        place.line = location.line();
        place.column = location.column();
    }
    let message = error
        .without_snippet()
        .render_with_formatter(&UserMessageFormatter);
    let line = message.lines().next().unwrap_or_default();
    let line = line.split(" at line ").next().unwrap_or_default();
    Finding {
        place,
        path: String::new(),
        problem: Problem::Syntax(line.to_owned()),
    }
}

/// A value as the parser gives it, with the places inside.
enum RawValue {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Spanned<RawValue>>),
    Map(Vec<(Spanned<String>, Spanned<RawValue>)>),
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E: Error>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_none<E: Error>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::Flag(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<RawValue, E> {
        Ok(RawValue::Number(value as f64))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::Number(value as f64))
    }

    fn visit_i128<E: Error>(self, value: i128) -> Result<RawValue, E> {
        Ok(RawValue::Number(value as f64))
    }

    fn visit_u128<E: Error>(self, value: u128) -> Result<RawValue, E> {
        Ok(RawValue::Number(value as f64))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::Number(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<RawValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(RawValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<RawValue, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = access.next_entry()? {
            members.push(member);
        }
        Ok(RawValue::Map(members))
    }
}

fn placed(raw: Spanned<RawValue>, name: Option<Location>, file: &Arc<str>, path: &str) -> TreeNode {
    let place = place_of(raw.referenced, file);
    let value = match raw.value {
        RawValue::Null => NodeValue::Null,
        RawValue::Flag(flag) => NodeValue::Flag(flag),
        RawValue::Number(number) => NodeValue::Number(number),
        RawValue::Text(text) => NodeValue::Text(Arc::from(text)),
        RawValue::List(items) => NodeValue::List(
            items
                .into_iter()
                .enumerate()
                .map(|(index, item)| placed(item, None, file, &format!("{path}[{index}]")))
                .collect(),
        ),
        RawValue::Map(members) => NodeValue::Map(
            members
                .into_iter()
                .map(|(key, member)| placed_member(key, member, file, path))
                .collect(),
        ),
    };
    TreeNode {
        value,
        name_place: name.map_or_else(|| place.clone(), |at| place_of(at, file)),
        place,
        path: Arc::from(path),
    }
}

fn placed_member(
    key: Spanned<String>,
    member: Spanned<RawValue>,
    file: &Arc<str>,
    path: &str,
) -> (Arc<str>, TreeNode) {
    let inner = match path {
        "" => key.value.clone(),
        _ => format!("{path}.{}", key.value),
    };
    let node = placed(member, Some(key.referenced), file, &inner);
    (Arc::from(key.value), node)
}

fn place_of(location: Location, file: &Arc<str>) -> SourcePlace {
    SourcePlace {
        file: file.clone(),
        line: location.line(),
        column: location.column(),
    }
}
