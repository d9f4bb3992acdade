//! Extraction of API keys from requests, and removal of every copy before forwarding.

use kws_protocol::{KeyDigest, RefusalReason};
use ntex::http::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use sha2::{Digest, Sha256};

/// Name of the query parameter and of the cookie that carry a key.
const KEY_PARAMETER: &str = "api_key";
/// Header that carries a key without a scheme.
const KEY_HEADER: &str = "x-api-key";
/// Authentication scheme of the `authorization` header that carries a key.
const KEY_SCHEME: &str = "bearer";
/// Minimum length of a key in bytes. Shorter texts are never valid keys and occur in other headers
/// by chance, so copies of them are not searched for.
const MIN_KEY_BYTES: usize = 8;

/// The parts of a request that may carry a key.
pub(crate) struct KeyLocations<'a> {
    pub(crate) headers: &'a mut HeaderMap,
    pub(crate) path: &'a str,
    pub(crate) query: &'a mut Option<String>,
}

/// Removes all keys from the request and returns the digest of its only key.
///
/// # Errors
/// [`RefusalReason::KeyTwice`] if there is more than one key, and [`RefusalReason::BadRequest`] if
/// a header or parameter is ambiguous and may hide a key.
pub(crate) fn extract_key(
    mut locations: KeyLocations<'_>,
) -> Result<Option<KeyDigest>, RefusalReason> {
    let mut keys = Vec::new();
    extract_bearer(locations.headers, &mut keys)?;
    extract_header(locations.headers, &mut keys);
    extract_query(locations.query, &mut keys)?;
    extract_cookie(locations.headers, &mut keys)?;
    strip_referer(locations.headers);
    match keys.as_slice() {
        [] => Ok(None),
        [key] => {
            remove_copies(&mut locations, key)?;
            Ok(Some(KeyDigest(Sha256::digest(key).into())))
        }
        _ => Err(RefusalReason::KeyTwice),
    }
}

/// Extracts bearer keys. Other `authorization` schemes are removed as well: a backend server must
/// not receive a credential that this daemon did not verify.
fn extract_bearer(headers: &mut HeaderMap, keys: &mut Vec<Vec<u8>>) -> Result<(), RefusalReason> {
    for value in headers.get_all(header::AUTHORIZATION) {
        let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
        if let Some((scheme, key)) = text.trim().split_once(' ')
            && scheme.eq_ignore_ascii_case(KEY_SCHEME)
        {
            keys.push(key.trim().into());
        }
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::PROXY_AUTHORIZATION);
    Ok(())
}

fn extract_header(headers: &mut HeaderMap, keys: &mut Vec<Vec<u8>>) {
    for value in headers.get_all(KEY_HEADER) {
        keys.push(value.as_bytes().trim_ascii().into());
    }
    headers.remove(KEY_HEADER);
}

fn extract_query(query: &mut Option<String>, keys: &mut Vec<Vec<u8>>) -> Result<(), RefusalReason> {
    let Some(text) = query.take() else {
        return Ok(());
    };
    let mut kept = Vec::new();
    for pair in text.split('&') {
        if is_key_parameter(pair) {
            let value = pair.split_once('=').map_or("", |(_, value)| value);
            keys.push(decode_percent(value));
        } else if pair.split(';').any(is_key_parameter) {
            // Some servers also accept semicolons as separators of parameters.
            return Err(RefusalReason::BadRequest);
        } else {
            kept.push(pair);
        }
    }
    let rest = kept.join("&");
    *query = (!rest.is_empty()).then_some(rest);
    Ok(())
}

fn extract_cookie(headers: &mut HeaderMap, keys: &mut Vec<Vec<u8>>) -> Result<(), RefusalReason> {
    let mut kept = Vec::new();
    for value in headers.get_all(header::COOKIE) {
        let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
        let pairs = text.split(';').map(str::trim);
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            if is_key_parameter(pair) {
                let value = pair.split_once('=').map_or("", |(_, value)| value);
                keys.push(value.trim().trim_matches('"').into());
            } else {
                kept.push(pair.to_owned());
            }
        }
    }
    headers.remove(header::COOKIE);
    if !kept.is_empty() {
        let value = HeaderValue::from_str(&kept.join("; "));
        let value = value.map_err(|_| RefusalReason::BadRequest)?;
        headers.insert(header::COOKIE, value);
    }
    Ok(())
}

/// Removes the query of a `referer` that contains a key: a page requested with a key in its query
/// appears with that query in the `referer` of the next request.
fn strip_referer(headers: &mut HeaderMap) {
    let referer = headers
        .get(header::REFERER)
        .and_then(|value| value.to_str().ok());
    let Some((page, query)) = referer.and_then(|text| text.split_once('?')) else {
        return;
    };
    if !query.split(['&', ';', '#']).any(is_key_parameter) {
        return;
    }
    let page = HeaderValue::from_str(page);
    headers.remove(header::REFERER);
    if let Ok(page) = page {
        headers.insert(header::REFERER, page);
    }
}

/// Removes headers that contain a copy of the key. A copy in the target or the `host` header is
/// refused, since these cannot change without changing the request.
fn remove_copies(locations: &mut KeyLocations<'_>, key: &[u8]) -> Result<(), RefusalReason> {
    if key.len() < MIN_KEY_BYTES {
        return Ok(());
    }
    let query = locations.query.as_deref().unwrap_or_default();
    let host = locations.headers.get(header::HOST);
    let host = host.map_or(&[][..], HeaderValue::as_bytes);
    if [locations.path.as_bytes(), query.as_bytes(), host]
        .iter()
        .any(|text| contains_copy(text, key))
    {
        return Err(RefusalReason::BadRequest);
    }
    let copies: Vec<HeaderName> = locations
        .headers
        .iter()
        .filter(|(_, value)| contains_copy(value.as_bytes(), key))
        .map(|(name, _)| name.clone())
        .collect();
    for name in copies {
        locations.headers.remove(name);
    }
    Ok(())
}

fn contains_copy(text: &[u8], key: &[u8]) -> bool {
    let contains = |text: &[u8]| text.windows(key.len()).any(|part| part == key);
    contains(text) || (text.contains(&b'%') && contains(&decode_bytes(text)))
}

/// Whether a `name=value` pair of a query or cookie is the key parameter.
fn is_key_parameter(pair: &str) -> bool {
    let name = pair.split('=').next().unwrap_or_default();
    decode_percent(name.trim()).eq_ignore_ascii_case(KEY_PARAMETER.as_bytes())
}

fn decode_percent(text: &str) -> Vec<u8> {
    decode_bytes(text.as_bytes())
}

fn decode_bytes(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        let escaped = escaped_byte(&bytes[at..]);
        decoded.push(escaped.unwrap_or(byte));
        at += if escaped.is_some() { 3 } else { 1 };
    }
    decoded
}

/// Decodes the percent escape at the start of `bytes`.
fn escaped_byte(bytes: &[u8]) -> Option<u8> {
    let &[b'%', high, low, ..] = bytes else {
        return None;
    };
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}
