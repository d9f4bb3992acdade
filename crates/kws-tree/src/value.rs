//! The kinds of fields: how each is read, and how it is written out.

use crate::{
    Problem,
    node::{NodeValue, TreeNode},
    unit,
};
use kws_protocol::{KeyDigest, RouteAccess, TeamName};
use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

/// The longest duration of any field.
const LONGEST: Duration = Duration::from_hours(30 * 24);
/// The prefix of a key's digest.
const DIGEST_PREFIX: &str = "sha256:";

/// What a field takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ValueKind {
    /// An address with a port.
    Address,
    /// Who may use a route.
    Access,
    /// Volume a second.
    Bandwidth,
    /// A whole number of at least 1.
    Count,
    /// A list of digests of keys.
    Digests,
    /// A time longer than nothing.
    Duration,
    /// A time that may be nothing.
    DurationOrNone,
    /// True or false.
    Flag,
    /// A number of at least 1.
    Factor,
    /// The path of a file or directory.
    FilePath,
    /// A list of HTTP header names.
    Headers,
    /// The name of a host in a request.
    HostName,
    /// What keys of published values start with.
    KeyPrefix,
    /// A whole number that may be 0.
    Limit,
    /// A level of the log.
    LogLevel,
    /// The media type of an answer.
    MediaType,
    /// A list of HTTP methods.
    Methods,
    /// One name.
    Name,
    /// A list of names.
    Names,
    /// A time, or `off`.
    OptionalDuration,
    /// A path prefix.
    Path,
    /// Requests a second, more than none.
    Rate,
    /// Whether requests are idempotent.
    Repeatable,
    /// A part of a whole.
    Share,
    /// An amount of bytes.
    Size,
    /// A number above 0.
    Weight,
}

/// A value that was read as its kind.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FieldValue {
    /// Who may use a route.
    Access(RouteAccess),
    /// An address.
    Address(SocketAddr),
    /// Bits a second.
    Bandwidth(u64),
    /// Digests of keys.
    Digests(BTreeSet<KeyDigest>),
    /// A time.
    Duration(Duration),
    /// True or false.
    Flag(bool),
    /// A number without unit.
    Number(f64),
    /// A field that is switched off or left to its rule; the text says how it is written.
    Off(&'static str),
    /// Requests a second.
    Rate(f64),
    /// A part of 1.
    Share(f64),
    /// Bytes.
    Size(u64),
    /// Text.
    Text(String),
    /// A set of texts.
    Texts(BTreeSet<String>),
}

impl ValueKind {
    /// What the field takes, in words.
    pub fn expected(self) -> &'static str {
        match self {
            Self::Address => "an IP address with a port",
            Self::Access => "`open`, `any_team` or a list of teams",
            Self::Bandwidth => "a volume a second",
            Self::Count => "a whole number of at least 1",
            Self::Digests => "a list of digests",
            Self::Duration => "a duration longer than 0",
            Self::DurationOrNone => "a duration",
            Self::Flag => "`true` or `false`",
            Self::Factor => "a number of at least 1",
            Self::FilePath => "the path of a file or directory",
            Self::Headers => "a list of header names",
            Self::HostName => "the name of a host, without port",
            Self::KeyPrefix => "a prefix of keys that ends in `/`",
            Self::Limit => "a whole number of at least 0",
            Self::LogLevel => "`error`, `warn`, `info`, `debug` or `trace`",
            Self::MediaType => "a media type without parameters",
            Self::Methods => "a list of methods in upper case",
            Self::Name => "a name",
            Self::Names => "a list of names",
            Self::OptionalDuration => "a duration or `off`",
            Self::Path => "a path prefix that starts with `/`",
            Self::Rate => "a rate above 0",
            Self::Repeatable => "`true`, `false` or `by_method`",
            Self::Share => "a share from 0% to 100%",
            Self::Size => "a size of at least 1 B",
            Self::Weight => "a number above 0",
        }
    }

    /// A value that the field takes.
    pub fn example(self) -> &'static str {
        match self {
            Self::Address => "127.0.0.1:8080",
            Self::Access => "[orchard, shop]",
            Self::Bandwidth => "5 Mbit/s",
            Self::Count | Self::Limit => "3",
            Self::Digests => "[sha256:<64 hex digits>]",
            Self::Duration | Self::DurationOrNone | Self::OptionalDuration => "250ms",
            Self::Flag | Self::Repeatable => "true",
            Self::Factor | Self::Weight => "1.5",
            Self::FilePath => "/etc/knapweedseam/secret",
            Self::Headers => "[etag]",
            Self::HostName => "booking.example.org",
            Self::KeyPrefix => "knapweedseam/",
            Self::LogLevel => "info",
            Self::MediaType => "application/json",
            Self::Methods => "[GET, HEAD]",
            Self::Name => "till",
            Self::Names => "[turaida, ligatne]",
            Self::Path => "/slots",
            Self::Rate => "5/s",
            Self::Share => "70%",
            Self::Size => "10 MB",
        }
    }

    /// Reads `node` as this kind.
    ///
    /// # Errors
    /// What is wrong with the value.
    pub fn read(self, node: &TreeNode) -> Result<FieldValue, Problem> {
        match self {
            Self::Address => {
                self.read_text(node, |text| text.parse().ok().map(FieldValue::Address))
            }
            Self::Access => self.read_access(node),
            Self::Bandwidth => self.read_unit(node, |text| {
                unit::parse_bandwidth(text).map(FieldValue::Bandwidth)
            }),
            Self::Count => self.read_number(node, |number| number >= 1.0 && is_whole(number)),
            Self::Limit => self.read_number(node, |number| number >= 0.0 && is_whole(number)),
            Self::Factor => self.read_number(node, |number| number >= 1.0),
            Self::Weight => self.read_number(node, |number| number > 0.0),
            Self::Digests => self.read_digests(node),
            Self::DurationOrNone => self.read_duration(node, Duration::ZERO),
            Self::OptionalDuration if is_text(node, "off") => Ok(FieldValue::Off("off")),
            Self::Duration | Self::OptionalDuration => {
                self.read_duration(node, Duration::from_nanos(1))
            }
            Self::Repeatable if is_text(node, "by_method") => Ok(FieldValue::Off("by_method")),
            Self::Flag | Self::Repeatable => self.read_flag(node),
            Self::Headers => self.read_texts(node, is_token, str::to_ascii_lowercase),
            Self::Methods => self.read_texts(node, is_method, str::to_owned),
            Self::Names => self.read_texts(node, is_name, str::to_owned),
            Self::FilePath => self.read_checked(node, |text| !text.is_empty(), str::to_owned),
            Self::KeyPrefix => self.read_checked(node, |text| text.ends_with('/'), str::to_owned),
            Self::LogLevel => self.read_checked(node, is_log_level, str::to_owned),
            Self::HostName => self.read_checked(node, is_host_name, str::to_ascii_lowercase),
            Self::MediaType => self.read_checked(node, is_media_type, str::to_ascii_lowercase),
            Self::Name => self.read_checked(node, is_name, str::to_owned),
            Self::Path => self.read_checked(node, is_path, str::to_owned),
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

    fn read_duration(self, node: &TreeNode, least: Duration) -> Result<FieldValue, Problem> {
        let value = self.read_unit(node, |text| {
            unit::parse_duration(text).map(FieldValue::Duration)
        })?;
        match value {
            FieldValue::Duration(duration) if duration < least || duration > LONGEST => {
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
        let FieldValue::Texts(teams) = self.read_texts(node, is_name, str::to_owned)? else {
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
        for text in self.list_texts(node)? {
            let digest = parse_digest(text).ok_or_else(|| self.wrong_value(text))?;
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

impl fmt::Display for FieldValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Access(RouteAccess::Open) => formatter.write_str("open"),
            Self::Access(RouteAccess::AnyTeam) => formatter.write_str("any_team"),
            Self::Access(RouteAccess::Teams(teams)) => {
                write_list(formatter, teams.iter().map(TeamName::as_str))
            }
            Self::Address(address) => address.fmt(formatter),
            Self::Bandwidth(bits) => formatter.write_str(&unit::format_bandwidth(*bits)),
            Self::Digests(digests) => write_list(formatter, digests.iter().map(short_digest)),
            Self::Duration(duration) => formatter.write_str(&unit::format_duration(*duration)),
            Self::Flag(flag) => flag.fmt(formatter),
            Self::Number(number) => number.fmt(formatter),
            Self::Off(text) => formatter.write_str(text),
            Self::Rate(rate) => formatter.write_str(&unit::format_rate(*rate)),
            Self::Share(share) => formatter.write_str(&unit::format_share(*share)),
            Self::Size(bytes) => formatter.write_str(&unit::format_size(*bytes)),
            Self::Text(text) => formatter.write_str(text),
            Self::Texts(texts) => write_list(formatter, texts.iter()),
        }
    }
}

fn write_list<T: AsRef<str>>(
    formatter: &mut fmt::Formatter<'_>,
    items: impl Iterator<Item = T>,
) -> fmt::Result {
    let items: Vec<T> = items.collect();
    let texts: Vec<&str> = items.iter().map(AsRef::as_ref).collect();
    write!(formatter, "[{}]", texts.join(", "))
}

/// Reads `sha256:` and 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut bytes = [0; 32];
    let digits = text.strip_prefix(DIGEST_PREFIX)?;
    hex::decode_to_slice(digits, &mut bytes).ok()?;
    Some(KeyDigest(bytes))
}

/// The first characters of a digest: enough to find it in the tree.
pub(crate) fn short_digest(digest: &KeyDigest) -> String {
    format!("{DIGEST_PREFIX}{}..", hex::encode(&digest.0[..6]))
}

fn is_text(node: &TreeNode, wanted: &str) -> bool {
    matches!(&node.value, NodeValue::Text(text) if &**text == wanted)
}

fn is_whole(number: f64) -> bool {
    number.fract() == 0.0 && number <= f64::from(u32::MAX)
}

/// Whether `text` may be the name of a region, data centre, service, server, route or team.
pub(crate) fn is_name(text: &str) -> bool {
    let mut letters = text.bytes();
    text.len() <= 63
        && letters
            .next()
            .is_some_and(|first| first.is_ascii_alphanumeric())
        && letters.all(|letter| letter.is_ascii_alphanumeric() || matches!(letter, b'-' | b'_'))
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|letter| letter.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&letter))
}

fn is_method(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|letter| letter.is_ascii_uppercase() || letter == b'-')
}

fn is_log_level(text: &str) -> bool {
    matches!(text, "error" | "warn" | "info" | "debug" | "trace")
}

fn is_media_type(text: &str) -> bool {
    text.split_once('/')
        .is_some_and(|(kind, subtype)| is_token(kind) && is_token(subtype))
}

fn is_host_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 253
        && text.split('.').all(|label| {
            !label.is_empty()
                && label
                    .bytes()
                    .all(|letter| letter.is_ascii_alphanumeric() || letter == b'-')
        })
}

/// Whether `text` is `/`, or whole segments without a slash at the end.
fn is_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    rest.is_empty() || rest.split('/').all(is_segment)
}

fn is_segment(text: &str) -> bool {
    !matches!(text, "" | "." | "..")
        && text
            .bytes()
            .all(|letter| letter.is_ascii_graphic() && !b"?#\\%\"<>".contains(&letter))
}
