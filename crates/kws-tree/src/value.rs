//! The kinds of fields: how each is read, and how it is written out.

mod read;
mod text;

use crate::unit;
use kws_protocol::{KeyDigest, RouteAccess, TeamName};
use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

pub(crate) use text::{is_name, short_digest};

/// What a field takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ValueKind {
    /// An address with a port.
    Address,
    /// A list of addresses with ports.
    Addresses,
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
    /// How long a host stays current: short enough for a withdrawn key to stop within seconds.
    Lease,
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
    /// A number of at least 0, which stands for none.
    Ratio,
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
            Self::Addresses => "a list of IP addresses with ports",
            Self::Access => "`open`, `any_team` or a list of teams",
            Self::Bandwidth => "a volume a second",
            Self::Count => "a whole number of at least 1",
            Self::Digests => "a list of digests",
            Self::Duration => "a duration longer than 0",
            Self::DurationOrNone => "a duration",
            Self::Flag => "`true` or `false`",
            Self::Factor => "a number of at least 1",
            Self::Ratio => "a number of at least 0",
            Self::FilePath => "the path of a file or directory",
            Self::Headers => "a list of header names",
            Self::HostName => "the name of a host, without port",
            Self::KeyPrefix => "a prefix of keys that ends in `/`",
            Self::Lease => "a duration from 100ms to 10s",
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
            Self::Addresses => "[\"10.0.0.7:9101\"]",
            Self::Access => "[orchard, shop]",
            Self::Bandwidth => "5 Mbit/s",
            Self::Count | Self::Limit => "3",
            Self::Digests => "[sha256:<64 hex digits>]",
            Self::Lease => "3s",
            Self::Duration | Self::DurationOrNone | Self::OptionalDuration => "250ms",
            Self::Flag | Self::Repeatable => "true",
            Self::Factor | Self::Weight => "1.5",
            Self::Ratio => "0.2",
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
