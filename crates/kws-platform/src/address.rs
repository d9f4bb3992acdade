//! Text in the addresses of calls to the platform.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The bytes that mean something other than themselves in an address: all but the unreserved characters
/// of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The same for a path, whose slashes separate segments.
const RESERVED_IN_PATH: &AsciiSet = &RESERVED.remove(b'/');

/// Escapes `text` as one value of a query.
pub fn query_value(text: &str) -> String {
    utf8_percent_encode(text, RESERVED).to_string()
}

/// Escapes `text` as a path; its slashes stay.
pub fn path_segments(text: &str) -> String {
    utf8_percent_encode(text, RESERVED_IN_PATH).to_string()
}
