//! Values of the tree together with the places where they were written.

use crate::SourcePlace;
use std::{collections::BTreeMap, sync::Arc};

/// One value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NodeValue {
    /// Nothing: the field goes back to its built-in default.
    Null,
    /// True or false.
    Flag(bool),
    /// A number without unit.
    Number(f64),
    /// Text.
    Text(Arc<str>),
    /// A list.
    List(Vec<TreeNode>),
    /// A map by name.
    Map(BTreeMap<Arc<str>, TreeNode>),
}

/// One value and its place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TreeNode {
    /// The value.
    pub value: NodeValue,
    /// Where the value was written.
    pub place: SourcePlace,
    /// Where its name was written; the place of the value when it has no name.
    pub name_place: SourcePlace,
    /// Its path within its file, such as `defaults.team.rate`.
    pub path: Arc<str>,
}

impl TreeNode {
    /// A value that stands in no file.
    pub fn built_in(value: NodeValue) -> Self {
        let place = SourcePlace::whole_file("");
        Self {
            value,
            name_place: place.clone(),
            place,
            path: Arc::from(""),
        }
    }

    /// The member called `name`, unless it is null.
    pub fn member(&self, name: &str) -> Option<&TreeNode> {
        self.members()
            .and_then(|members| members.get(name))
            .filter(|member| member.value != NodeValue::Null)
    }

    /// The members, when it is a map.
    pub fn members(&self) -> Option<&BTreeMap<Arc<str>, TreeNode>> {
        match &self.value {
            NodeValue::Map(members) => Some(members),
            _ => None,
        }
    }

    /// The value in words, for findings.
    pub fn describe(&self) -> String {
        match &self.value {
            NodeValue::Null => "nothing".to_owned(),
            NodeValue::Flag(flag) => format!("`{flag}`"),
            NodeValue::Number(number) => format!("the number {number}"),
            NodeValue::Text(text) => format!("the text `{text}`"),
            NodeValue::List(_) => "a list".to_owned(),
            NodeValue::Map(_) => "a map".to_owned(),
        }
    }

    /// This value with `over` laid above it: maps merge by name, all else is replaced.
    pub fn overlaid(&self, over: &TreeNode) -> TreeNode {
        let (NodeValue::Map(base), NodeValue::Map(upper)) = (&self.value, &over.value) else {
            return over.clone();
        };
        let mut members = base.clone();
        for (name, member) in upper {
            let merged = match base.get(name) {
                Some(below) => below.overlaid(member),
                None => member.clone(),
            };
            members.insert(name.clone(), merged);
        }
        TreeNode {
            value: NodeValue::Map(members),
            ..over.clone()
        }
    }
}
