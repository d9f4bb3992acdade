//! Reading a value as its kind.

use super::{FieldValue, ValueKind, text};
use crate::{
    Problem,
    node::{NodeValue, TreeNode},
    unit,
};
use kws_protocol::{RouteAccess, TeamName};
use std::{collections::BTreeSet, ops::RangeInclusive, time::Duration};

/// The longest duration of any field.
const LONGEST: Duration = Duration::from_hours(30 * 24);
/// The shortest duration of a field that takes none of zero.
const SHORTEST: Duration = Duration::from_nanos(1);
/// The longest lease: a withdrawn key must stop working within seconds.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// The shortest lease that leaves time for a question across regions to be answered.
const SHORTEST_LEASE: Duration = Duration::from_millis(100);

impl ValueKind {
    /// Reads `node` as this kind.
    ///
    /// # Errors
    /// What is wrong with the value.
    pub fn read(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        match self {
            Self::Address => {
                self.read_text(node, |text| text.parse().ok().map(FieldValue::Address))
            }
            Self::Addresses => self.read_texts(node, text::is_address, str::to_owned),
            Self::Access => self.read_access(node),
            Self::Bandwidth => self.read_unit(node, |text| {
                unit::parse_bandwidth(text).map(FieldValue::Bandwidth)
            }),
            Self::Count => self.read_number(node, |number| number >= 1.0 && is_whole(number)),
            Self::Limit => self.read_number(node, |number| number >= 0.0 && is_whole(number)),
            Self::Factor => self.read_number(node, |number| number >= 1.0),
            Self::Ratio => self.read_number(node, |number| number >= 0.0),
            Self::Weight => self.read_number(node, |number| number > 0.0),
            Self::Digests => self.read_digests(node),
            Self::Lease => self.read_duration(node, SHORTEST_LEASE..=LONGEST_LEASE),
            Self::DurationOrNone => self.read_duration(node, Duration::ZERO..=LONGEST),
            Self::OptionalDuration if is_text(node, "off") => Ok(FieldValue::Off("off")),
            Self::Duration | Self::OptionalDuration => self.read_duration(node, SHORTEST..=LONGEST),
            Self::Repeatable if is_text(node, "by_method") => Ok(FieldValue::Off("by_method")),
            Self::Flag | Self::Repeatable => self.read_flag(node),
            Self::Headers => self.read_texts(node, text::is_token, str::to_ascii_lowercase),
            Self::Methods => self.read_texts(node, text::is_method, str::to_owned),
            Self::Names => self.read_texts(node, text::is_name, str::to_owned),
            Self::FilePath => self.read_checked(node, |text| !text.is_empty(), str::to_owned),
            Self::KeyPrefix => self.read_checked(node, |text| text.ends_with('/'), str::to_owned),
            Self::LogLevel => self.read_checked(node, text::is_log_level, str::to_owned),
            Self::HostName => self.read_checked(node, text::is_host_name, str::to_ascii_lowercase),
            Self::MediaType => {
                self.read_checked(node, text::is_media_type, str::to_ascii_lowercase)
            }
            Self::Name => self.read_checked(node, text::is_name, str::to_owned),
            Self::Path => self.read_checked(node, text::is_path, str::to_owned),
            Self::Rate => self.read_rate(node),
            Self::Share => self.read_share(node),
            Self::Size => self.read_size(node),
        }
    }

    fn wrong_type(self, node: &TreeNode) -> Problem {
        Problem::WrongType {
            expected: self.expected(),
            found: node.describe(),
        }
    }

    fn wrong_value(self, text: &str) -> Problem {
        Problem::WrongValue {
            value: text.to_owned(),
            expected: self.expected(),
            example: self.example(),
        }
    }

    fn out_of_range(self, value: String) -> Problem {
        Problem::OutOfRange {
            value,
            range: self.expected(),
        }
    }

    fn read_text(
        self,
        node: &TreeNode,
        parse: impl Fn(&str) -> Option<FieldValue>,
    ) -> Result<FieldValue, Problem> {
        let NodeValue::Text(text) = &node.value else {
            return Err(self.wrong_type(node));
        };
        parse(text).ok_or_else(|| self.wrong_value(text))
    }

    fn read_checked(
        self,
        node: &TreeNode,
        check: fn(&str) -> bool,
        convert: fn(&str) -> String,
    ) -> Result<FieldValue, Problem> {
        self.read_text(node, |text| {
            check(text).then(|| FieldValue::Text(convert(text)))
        })
    }

    fn read_unit(
        self,
        node: &TreeNode,
        parse: impl Fn(&str) -> Option<FieldValue>,
    ) -> Result<FieldValue, Problem> {
        if let NodeValue::Number(number) = node.value {
            return Err(Problem::NoUnit {
                value: number.to_string(),
                example: self.example(),
            });
        }
        self.read_text(node, parse)
    }

    fn read_number(
        self,
        node: &TreeNode,
        in_range: impl Fn(f64) -> bool,
    ) -> Result<FieldValue, Problem> {
        let NodeValue::Number(number) = node.value else {
            return Err(self.wrong_type(node));
        };
        if !number.is_finite() || !in_range(number) {
            return Err(self.out_of_range(number.to_string()));
        }
        Ok(FieldValue::Number(number))
    }

    fn read_flag(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        match node.value {
            NodeValue::Flag(flag) => Ok(FieldValue::Flag(flag)),
            _ => Err(self.wrong_type(node)),
        }
    }

    fn read_duration(
        self,
        node: &TreeNode,
        range: RangeInclusive<Duration>,
    ) -> Result<FieldValue, Problem> {
        let value = self.read_unit(node, |text| {
            unit::parse_duration(text).map(FieldValue::Duration)
        })?;
        match value {
            FieldValue::Duration(duration) if !range.contains(&duration) => {
                Err(self.out_of_range(unit::format_duration(duration)))
            }
            value => Ok(value),
        }
    }

    fn read_rate(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        let value = self.read_unit(node, |text| unit::parse_rate(text).map(FieldValue::Rate))?;
        match value {
            FieldValue::Rate(rate) if rate <= 0.0 => {
                Err(self.out_of_range(unit::format_rate(rate)))
            }
            value => Ok(value),
        }
    }

    fn read_share(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        let value = self.read_unit(node, |text| unit::parse_share(text).map(FieldValue::Share))?;
        match value {
            FieldValue::Share(share) if !(0.0..=1.0).contains(&share) => {
                Err(self.out_of_range(unit::format_share(share)))
            }
            value => Ok(value),
        }
    }

    fn read_size(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        let value = self.read_unit(node, |text| unit::parse_size(text).map(FieldValue::Size))?;
        match value {
            FieldValue::Size(0) => Err(self.out_of_range(unit::format_size(0))),
            value => Ok(value),
        }
    }

    fn read_access(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        if is_text(node, "open") {
            return Ok(FieldValue::Access(RouteAccess::Open));
        }
        if is_text(node, "any_team") {
            return Ok(FieldValue::Access(RouteAccess::AnyTeam));
        }
        let FieldValue::Texts(teams) = self.read_texts(node, text::is_name, str::to_owned)? else {
            return Err(self.wrong_type(node));
        };
        if teams.is_empty() {
            return Err(self.wrong_value("[]"));
        }
        let teams = teams.iter().map(|team| TeamName::new(team)).collect();
        Ok(FieldValue::Access(RouteAccess::Teams(teams)))
    }

    fn read_digests(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        let mut digests = BTreeSet::new();
        for item in self.list_texts(node)? {
            let digest = text::parse_digest(item).ok_or_else(|| self.wrong_value(item))?;
            digests.insert(digest);
        }
        Ok(FieldValue::Digests(digests))
    }

    fn read_texts(
        self,
        node: &TreeNode,
        check: fn(&str) -> bool,
        convert: fn(&str) -> String,
    ) -> Result<FieldValue, Problem> {
        let mut texts = BTreeSet::new();
        for text in self.list_texts(node)? {
            if !check(text) {
                return Err(self.wrong_value(text));
            }
            texts.insert(convert(text));
        }
        Ok(FieldValue::Texts(texts))
    }

    fn list_texts(self, node: &TreeNode) -> Result<Vec<&str>, Problem> {
        let NodeValue::List(items) = &node.value else {
            return Err(self.wrong_type(node));
        };
        items
            .iter()
            .map(|item| match &item.value {
                NodeValue::Text(text) => Ok(&**text),
                _ => Err(self.wrong_type(item)),
            })
            .collect()
    }
}

fn is_text(node: &TreeNode, wanted: &str) -> bool {
    matches!(&node.value, NodeValue::Text(text) if &**text == wanted)
}

fn is_whole(number: f64) -> bool {
    number.fract() == 0.0 && number <= f64::from(u32::MAX)
}
