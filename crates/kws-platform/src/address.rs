//! Text in the addresses of calls to the platform.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The bytes that mean something other than themselves in a path or in a value of a query: all but the
/// unreserved characters of RFC 3986 and the slash.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b'_')
    .remove(b'~');

/// Escapes `text` as a path or as one value of a query.
pub fn escape_text(text: &str) -> String {
    utf8_percent_encode(text, RESERVED).to_string()
}
