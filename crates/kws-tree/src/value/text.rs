//! The forms of names, paths, methods and digests.

use kws_protocol::KeyDigest;

/// The prefix of a key's digest.
const DIGEST_PREFIX: &str = "sha256:";
/// The bytes of a digest that reports show.
const SHORT_DIGEST_BYTES: usize = 6;
/// The longest name.
const MAX_NAME_BYTES: usize = 63;
/// The longest name of a host in a request.
const MAX_HOST_BYTES: usize = 253;

/// Reads `sha256:` and 64 hexadecimal digits.
pub(super) fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut bytes = [0; 32];
    let digits = text.strip_prefix(DIGEST_PREFIX)?;
    hex::decode_to_slice(digits, &mut bytes).ok()?;
    Some(KeyDigest(bytes))
}

/// The first characters of a digest: enough to find it in the tree.
pub(crate) fn short_digest(digest: &KeyDigest) -> String {
    format!(
        "{DIGEST_PREFIX}{}..",
        hex::encode(&digest.0[..SHORT_DIGEST_BYTES])
    )
}

/// Whether `text` may be the name of a region, data centre, service, server, route or team.
pub(crate) fn is_name(text: &str) -> bool {
    let mut letters = text.bytes();
    text.len() <= MAX_NAME_BYTES
        && letters
            .next()
            .is_some_and(|first| first.is_ascii_alphanumeric())
        && letters.all(|letter| letter.is_ascii_alphanumeric() || matches!(letter, b'-' | b'_'))
}

/// Whether `text` is a token of HTTP.
pub(super) fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|letter| letter.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&letter))
}

/// Whether `text` is a method in upper case.
pub(super) fn is_method(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|letter| letter.is_ascii_uppercase() || letter == b'-')
}

/// Whether `text` is a level of the log.
pub(super) fn is_log_level(text: &str) -> bool {
    matches!(text, "error" | "warn" | "info" | "debug" | "trace")
}

/// Whether `text` is a media type without parameters.
pub(super) fn is_media_type(text: &str) -> bool {
    text.split_once('/')
        .is_some_and(|(kind, subtype)| is_token(kind) && is_token(subtype))
}

/// Whether `text` is a host name without port.
pub(super) fn is_host_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_HOST_BYTES
        && text.split('.').all(|label| {
            !label.is_empty()
                && label
                    .bytes()
                    .all(|letter| letter.is_ascii_alphanumeric() || letter == b'-')
        })
}

/// Whether `text` is `/`, or whole segments without a slash at the end.
pub(super) fn is_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    rest.is_empty() || rest.split('/').all(is_segment)
}

/// Whether `text` is a segment of a path that no server reads in two ways.
fn is_segment(text: &str) -> bool {
    !matches!(text, "" | "." | "..")
        && text
            .bytes()
            .all(|letter| letter.is_ascii_graphic() && !b"?#\\%\"<>".contains(&letter))
}

/// Whether the text is an IP address with a port.
pub(crate) fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok()
}
