//! Checks of request targets: only unambiguous paths are accepted.

use kws_protocol::RefusalReason;

/// Checks the path of a request target.
///
/// Refuses paths that a backend server could normalize to another path, and so to another route.
///
/// # Errors
/// [`RefusalReason::BadRequest`] for an ambiguous path.
pub(crate) fn check_path(path: &str) -> Result<(), RefusalReason> {
    let plain = path.starts_with('/')
        && !path.contains("//")
        && !path.contains('\\')
        && path.bytes().all(|byte| byte.is_ascii_graphic())
        && path.split('/').skip(1).all(is_plain_segment);
    if plain {
        return Ok(());
    }
    Err(RefusalReason::BadRequest)
}

/// Whether a segment is no dot segment, with or without parameters, and escapes no special
/// character.
fn is_plain_segment(segment: &str) -> bool {
    let name = segment.split(';').next().unwrap_or_default();
    !matches!(name, "." | "..") && has_plain_escapes(segment)
}

/// Whether all percent escapes are complete and none encodes `.`, `/`, `\`, `%`, `;` or a control
/// character.
fn has_plain_escapes(segment: &str) -> bool {
    segment.split('%').skip(1).all(|rest| {
        let code = rest
            .get(..2)
            .filter(|digits| digits.bytes().all(|b| b.is_ascii_hexdigit()));
        code.and_then(|digits| u8::from_str_radix(digits, 16).ok())
            .is_some_and(|byte| {
                !matches!(byte, 0..=0x1f | b'.' | b'/' | b'\\' | b'%' | b';' | 0x7f)
            })
    })
}
