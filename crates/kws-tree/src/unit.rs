//! Quantities in text with their units.

use std::time::Duration;

/// Bytes in one kilobyte.
const KILO: f64 = 1_000.0;
/// Bytes in one kibibyte.
const KIBI: f64 = 1_024.0;
/// Nanoseconds in one millisecond.
const MILLI_NANOS: u128 = 1_000_000;

/// Units of size, each with its bytes.
const SIZE_UNITS: [(&str, f64); 7] = [
    ("B", 1.0),
    ("KB", KILO),
    ("MB", KILO * KILO),
    ("GB", KILO * KILO * KILO),
    ("KiB", KIBI),
    ("MiB", KIBI * KIBI),
    ("GiB", KIBI * KIBI * KIBI),
];

/// Units of bandwidth, each with its bits a second.
const BANDWIDTH_UNITS: [(&str, f64); 4] = [
    ("bit/s", 1.0),
    ("kbit/s", KILO),
    ("Mbit/s", KILO * KILO),
    ("Gbit/s", KILO * KILO * KILO),
];

/// Units of rate, each with its requests a second.
const RATE_UNITS: [(&str, f64); 3] = [("/s", 1.0), ("/min", 1.0 / 60.0), ("/h", 1.0 / 3600.0)];

/// Units of share.
const SHARE_UNITS: [(&str, f64); 1] = [("%", 0.01)];

/// Reads a size such as `10 MB`, in bytes.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    whole(parse_quantity(text, &SIZE_UNITS)?)
}

/// Reads a bandwidth such as `30 Mbit/s`, in bits a second.
pub(crate) fn parse_bandwidth(text: &str) -> Option<u64> {
    whole(parse_quantity(text, &BANDWIDTH_UNITS)?)
}

/// Reads a rate such as `5/s`, in requests a second.
pub(crate) fn parse_rate(text: &str) -> Option<f64> {
    parse_quantity(text, &RATE_UNITS)
}

/// Reads a share such as `70%`, as a part of 1.
pub(crate) fn parse_share(text: &str) -> Option<f64> {
    parse_quantity(text, &SHARE_UNITS)
}

/// Reads a duration such as `250ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    // A bare zero is a duration to the library, yet it has no unit.
    if text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    humantime::parse_duration(text).ok()
}

/// Reads a number followed by one of `units`; spaces between the two are allowed.
fn parse_quantity(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let text = text.trim();
    let end = text.find(|letter: char| !matches!(letter, '0'..='9' | '.' | '-'))?;
    let (number, unit) = text.split_at(end);
    let number: f64 = number.parse().ok()?;
    let unit = unit.trim_start();
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    Some(number * factor)
}

/// The number as a whole one, when it is one.
fn whole(number: f64) -> Option<u64> {
    let rounded = number.round();
    let fits = (0.0..=2_f64.powi(53)).contains(&rounded);
    (fits && (number - rounded).abs() < 1e-6).then_some(rounded as u64)
}

/// Writes a size in the largest unit that keeps it whole.
pub(crate) fn format_size(bytes: u64) -> String {
    format_whole(bytes, &SIZE_UNITS[..4])
}

/// Writes a bandwidth in the largest unit that keeps it whole.
pub(crate) fn format_bandwidth(bits: u64) -> String {
    format_whole(bits, &BANDWIDTH_UNITS)
}

fn format_whole(number: u64, units: &[(&str, f64)]) -> String {
    let fitting = units
        .iter()
        .rev()
        .find(|(_, factor)| number >= *factor as u64 && number.is_multiple_of(*factor as u64));
    let (unit, factor) = fitting.unwrap_or(&units[0]);
    format!("{} {unit}", number / *factor as u64)
}

/// Writes a share as a percentage.
pub(crate) fn format_share(share: f64) -> String {
    format!("{}%", rounded(share * 100.0))
}

/// Writes a rate in requests a second.
pub(crate) fn format_rate(rate: f64) -> String {
    format!("{}/s", rounded(rate))
}

/// Writes a duration.
pub(crate) fn format_duration(duration: Duration) -> String {
    if !duration.is_zero()
        && duration < Duration::from_secs(1)
        && duration.as_nanos().is_multiple_of(MILLI_NANOS)
    {
        return format!("{}ms", duration.as_millis());
    }
    humantime::format_duration(duration).to_string()
}

/// The number without the digits that binary fractions add.
fn rounded(number: f64) -> f64 {
    const DIGITS: f64 = 1e9;
    // Adding zero turns a negative zero into a plain one.
    (number * DIGITS).round() / DIGITS + 0.0
}
