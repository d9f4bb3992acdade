//! Request targets: only those with one meaning pass.

use kws_protocol::RefusalReason;

/// Checks the path of a request target.
///
/// Paths that a backend server could read as another path, and so as another route, are refused.
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

/// A segment without dot segments, parameters on dots, or escapes of characters with a meaning.
fn is_plain_segment(segment: &str) -> bool {
    let name = segment.split(';').next().unwrap_or_default();
    !matches!(name, "." | "..") && has_plain_escapes(segment)
}

/// Escapes are whole, and none stands for `.`, `/`, `\`, `%`, `;` or a control character.
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
