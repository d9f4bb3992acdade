//! Validation of request heads, and filtering of headers in both directions.

use crate::{
    credential::{KeyLocations, extract_key},
    target::check_path,
};
use kws_protocol::{HeaderDialect, KeyDigest, RefusalReason};
use ntex::http::{HeaderMap, Method, Request, Version, header};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// Maximum number of header lines in a request. The HTTP server's own limit counts headers
/// differently.
const MAX_HEADERS: usize = 128;
/// Prefix of headers that only the daemon may set.
const DAEMON_PREFIX: &str = "x-knapweedseam-";
/// Prefix of headers exchanged between the daemon and backend servers.
const SERVER_PREFIX: &str = "knapweedseam-";
/// Prefix of headers in which proxies report the original client.
const FORWARDED_PREFIX: &str = "x-forwarded-";

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
];
/// Request headers that the daemon sets or handles itself.
const REPLACED_HEADERS: [&str; 7] = [
    "expect",
    "forwarded",
    "host",
    "content-length",
    "traceparent",
    "x-real-ip",
    "x-request-id",
];
/// Headers that a `Connection` header must not list: removing them would change the request.
const PROTECTED_HEADERS: [&str; 7] = [
    "authorization",
    "content-length",
    "content-type",
    "cookie",
    "host",
    "transfer-encoding",
    "x-api-key",
];

/// Framing of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyLength {
    /// No body.
    None,
    /// A body with this `content-length`, in bytes.
    Sized(u64),
    /// A chunked body.
    Chunked,
}

/// A validated request head without keys.
#[derive(Debug)]
pub(crate) struct RequestParts {
    pub(crate) method: Method,
    /// The host name without the port, in lower case.
    pub(crate) host: String,
    /// The value of the `host` header.
    pub(crate) authority: String,
    pub(crate) path: String,
    /// The query without keys.
    pub(crate) query: Option<String>,
    /// The headers to forward.
    pub(crate) headers: HeaderMap,
    /// The caller's `traceparent`.
    pub(crate) traceparent: Option<String>,
    /// The digest of the caller's key.
    pub(crate) key: Option<KeyDigest>,
    /// The framing of the body.
    pub(crate) length: BodyLength,
    /// The time limit that the caller requested, if any.
    pub(crate) caller_timeout: Option<Duration>,
    /// Size of the head in bytes, without separators and line ends.
    pub(crate) size: u64,
    /// The caller's address.
    pub(crate) caller: Option<SocketAddr>,
}

impl RequestParts {
    /// Returns the request target (path and query) to send to a backend server.
    pub(crate) fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// Validates a request head and splits it into its parts.
///
/// # Errors
/// [`RefusalReason::BadRequest`], [`RefusalReason::HeadTooLarge`] or [`RefusalReason::KeyTwice`].
pub(crate) fn read_head(
    request: &Request,
    dialect: &HeaderDialect,
) -> Result<RequestParts, RefusalReason> {
    if request.headers().iter().count() > MAX_HEADERS {
        return Err(RefusalReason::HeadTooLarge);
    }
    check_method(request)?;
    check_path(request.uri().path())?;
    let authority = single_host(request)?;
    let length = body_length(request.headers())?;
    let size = head_size(request);
    let mut headers = request.headers().clone();
    let mut query = request.uri().query().map(str::to_owned);
    let key = extract_key(KeyLocations {
        headers: &mut headers,
        path: request.uri().path(),
        query: &mut query,
    })?;
    let traceparent = single_text(&headers, "traceparent");
    let caller_timeout = single_text(&headers, dialect.deadline_ms)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    strip_hop_by_hop(&mut headers)?;
    strip_identity(&mut headers, dialect);
    Ok(RequestParts {
        method: request.method().clone(),
        host: host_name(&authority),
        authority,
        path: request.uri().path().to_owned(),
        query,
        headers,
        traceparent,
        key,
        length,
        caller_timeout,
        size,
        caller: request.peer_addr(),
    })
}

/// Whether any `connection` header contains `close`.
pub(crate) fn requests_close(headers: &HeaderMap) -> bool {
    let texts = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok());
    let mut names = texts.flat_map(|text| text.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Removes the response headers that must not reach the caller.
///
/// # Errors
/// [`RefusalReason::BadAnswer`] for a `connection` header that is not text or lists a protected
/// header.
pub(crate) fn strip_response(
    headers: &mut HeaderMap,
    dialect: &HeaderDialect,
) -> Result<(), RefusalReason> {
    strip_hop_by_hop(headers).map_err(|_| RefusalReason::BadAnswer)?;
    remove_where(headers, |name| {
        name.starts_with(DAEMON_PREFIX)
            || name.starts_with(SERVER_PREFIX)
            || name == dialect.request_id
    });
    Ok(())
}

fn check_method(request: &Request) -> Result<(), RefusalReason> {
    let refused = matches!(*request.method(), Method::CONNECT | Method::TRACE)
        || request.version() != Version::HTTP_11
        || request.headers().contains_key(header::UPGRADE)
        || request.uri().scheme().is_some()
        || request.uri().authority().is_some();
    refuse_if(refused)
}

fn single_host(request: &Request) -> Result<String, RefusalReason> {
    let text = single_text(request.headers(), "host").ok_or(RefusalReason::BadRequest)?;
    let valid = !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._:[]".contains(&b));
    refuse_if(!valid)?;
    Ok(text)
}

/// Returns the value of a header that occurs exactly once.
fn single_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let mut values = headers.get_all(name);
    let text = values.next()?.to_str().ok()?.to_owned();
    values.next().is_none().then_some(text)
}

/// Returns the host name of an authority, normalized: without port and trailing dots, in lower
/// case.
fn host_name(authority: &str) -> String {
    let name = match authority.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => authority,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}

fn body_length(headers: &HeaderMap) -> Result<BodyLength, RefusalReason> {
    let coded = headers.contains_key(header::TRANSFER_ENCODING);
    let sized = headers.contains_key(header::CONTENT_LENGTH);
    refuse_if(coded && sized)?;
    if coded {
        let coding = single_text(headers, "transfer-encoding");
        let chunked = coding.is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        refuse_if(!chunked)?;
        return Ok(BodyLength::Chunked);
    }
    if !sized {
        return Ok(BodyLength::None);
    }
    let digits = single_text(headers, "content-length").ok_or(RefusalReason::BadRequest)?;
    refuse_if(!digits.bytes().all(|b| b.is_ascii_digit()))?;
    let bytes = digits.parse().map_err(|_| RefusalReason::BadRequest)?;
    Ok(BodyLength::Sized(bytes))
}

fn head_size(request: &Request) -> u64 {
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    (request.method().as_str().len() + target + headers) as u64
}

/// Removes hop-by-hop headers, including those that `connection` lists.
fn strip_hop_by_hop(headers: &mut HeaderMap) -> Result<(), RefusalReason> {
    let mut named = BTreeSet::new();
    for value in headers.get_all(header::CONNECTION) {
        let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
        named.extend(text.split(',').map(|name| name.trim().to_ascii_lowercase()));
    }
    refuse_if(named.iter().any(|name| is_protected(name)))?;
    remove_where(headers, |name| {
        HOP_BY_HOP_HEADERS.contains(&name) || named.contains(name)
    });
    Ok(())
}

fn is_protected(name: &str) -> bool {
    PROTECTED_HEADERS.contains(&name) || is_identity(name)
}

fn is_identity(name: &str) -> bool {
    name.starts_with(DAEMON_PREFIX)
        || name.starts_with(SERVER_PREFIX)
        || name.starts_with(FORWARDED_PREFIX)
}

fn strip_identity(headers: &mut HeaderMap, dialect: &HeaderDialect) {
    let own = [dialect.request_id, dialect.deadline_ms, dialect.team];
    remove_where(headers, |name| {
        is_identity(name)
            || REPLACED_HEADERS.contains(&name)
            || own.contains(&name)
            || dialect.expected_server == Some(name)
            || name.contains('_')
    });
}

fn remove_where(headers: &mut HeaderMap, drops: impl Fn(&str) -> bool) {
    let dropped: Vec<_> = headers
        .keys()
        .filter(|name| drops(name.as_str()))
        .cloned()
        .collect();
    for name in dropped {
        headers.remove(name);
    }
}

fn refuse_if(refused: bool) -> Result<(), RefusalReason> {
    if refused {
        return Err(RefusalReason::BadRequest);
    }
    Ok(())
}
