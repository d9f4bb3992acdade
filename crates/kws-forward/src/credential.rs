//! Keys of callers: where they come, how they are looked up, and how they are taken out.

use kws_protocol::{FleetSnapshot, KeyDigest, RefusalReason, TeamName};
use ntex::http::{HeaderMap, header::HeaderValue};
use sha2::{Digest, Sha256};
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};
use subtle::ConstantTimeEq;

/// The name of the key as query parameter and as cookie.
const KEY_PARAMETER: &str = "api_key";
/// The header that carries a bare key.
const KEY_HEADER: &str = "x-api-key";
/// The scheme of the `authorization` header that carries a key.
const KEY_SCHEME: &str = "bearer";

/// Takes every key out of the headers and the query, and gives the digest of the single one.
///
/// # Errors
/// [`RefusalReason::KeyTwice`] when more than one key came, and [`RefusalReason::BadRequest`] for a
/// header that could hide one.
pub(crate) fn take_key(
    headers: &mut HeaderMap,
    query: &mut Option<String>,
) -> Result<Option<KeyDigest>, RefusalReason> {
    let mut keys = Vec::new();
    take_bearer(headers, &mut keys)?;
    take_bare(headers, &mut keys);
    take_query(query, &mut keys);
    take_cookie(headers, &mut keys)?;
    match keys.as_slice() {
        [] => Ok(None),
        [digest] => Ok(Some(*digest)),
        _ => Err(RefusalReason::KeyTwice),
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    KeyDigest(Sha256::digest(key).into())
}

/// Other schemes of `authorization` are dropped as well: a backend server must see no credential
/// that this daemon did not judge.
fn take_bearer(headers: &mut HeaderMap, keys: &mut Vec<KeyDigest>) -> Result<(), RefusalReason> {
    for value in headers.get_all("authorization") {
        let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
        if let Some((scheme, key)) = text.trim().split_once(' ')
            && scheme.eq_ignore_ascii_case(KEY_SCHEME)
        {
            keys.push(digest(key.trim().as_bytes()));
        }
    }
    headers.remove("authorization");
    headers.remove("proxy-authorization");
    Ok(())
}

fn take_bare(headers: &mut HeaderMap, keys: &mut Vec<KeyDigest>) {
    for value in headers.get_all(KEY_HEADER) {
        keys.push(digest(value.as_bytes().trim_ascii()));
    }
    headers.remove(KEY_HEADER);
}

fn take_query(query: &mut Option<String>, keys: &mut Vec<KeyDigest>) {
    let Some(text) = query.take() else { return };
    let mut kept = Vec::new();
    for pair in text.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        if is_key_name(&decode_percent(name)) {
            keys.push(digest(&decode_percent(value)));
        } else {
            kept.push(pair);
        }
    }
    let rest = kept.join("&");
    *query = (!rest.is_empty()).then_some(rest);
}

fn take_cookie(headers: &mut HeaderMap, keys: &mut Vec<KeyDigest>) -> Result<(), RefusalReason> {
    let mut kept = Vec::new();
    for value in headers.get_all("cookie") {
        let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
        for pair in text
            .split(';')
            .map(str::trim)
            .filter(|pair| !pair.is_empty())
        {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            if is_key_name(name.trim().as_bytes()) {
                keys.push(digest(value.trim().trim_matches('"').as_bytes()));
            } else {
                kept.push(pair.to_owned());
            }
        }
    }
    headers.remove("cookie");
    if !kept.is_empty() {
        let value = HeaderValue::from_str(&kept.join("; "));
        let value = value.map_err(|_| RefusalReason::BadRequest)?;
        headers.insert(ntex::http::header::COOKIE, value);
    }
    Ok(())
}

fn is_key_name(name: &[u8]) -> bool {
    name.eq_ignore_ascii_case(KEY_PARAMETER.as_bytes())
}

fn decode_percent(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        let escaped = escaped_byte(&bytes[at..]);
        decoded.push(escaped.unwrap_or(byte));
        at += if escaped.is_some() { 3 } else { 1 };
    }
    decoded
}

/// The byte that `%xx` at the start of `bytes` stands for.
fn escaped_byte(bytes: &[u8]) -> Option<u8> {
    let &[b'%', high, low, ..] = bytes else {
        return None;
    };
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}

/// The teams of one snapshot by the digests of their keys.
#[derive(Debug)]
struct KeyIndex {
    snapshot: Arc<FleetSnapshot>,
    teams: HashMap<[u8; 8], Vec<(KeyDigest, TeamName)>>,
}

impl KeyIndex {
    fn new(snapshot: Arc<FleetSnapshot>) -> Self {
        let mut teams: HashMap<[u8; 8], Vec<_>> = HashMap::new();
        for team in snapshot.settings.teams.values() {
            for digest in &team.keys {
                let bucket = teams.entry(bucket_of(*digest)).or_default();
                bucket.push((*digest, team.name.clone()));
            }
        }
        Self { snapshot, teams }
    }

    /// Compares with the whole bucket, each digest in constant time.
    fn team(&self, digest: KeyDigest) -> Option<&TeamName> {
        let bucket = self.teams.get(&bucket_of(digest))?;
        bucket.iter().fold(None, |found, (known, team)| {
            if bool::from(known.0.ct_eq(&digest.0)) {
                Some(team)
            } else {
                found
            }
        })
    }
}

fn bucket_of(digest: KeyDigest) -> [u8; 8] {
    std::array::from_fn(|at| digest.0[at])
}

/// Looks keys up; the index is made anew when the snapshot changes.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    index: RefCell<Option<Rc<KeyIndex>>>,
}

impl KeyTable {
    /// The team of a key in `snapshot`.
    pub(crate) fn team(
        &self,
        snapshot: &Arc<FleetSnapshot>,
        digest: KeyDigest,
    ) -> Option<TeamName> {
        self.index_of(snapshot).team(digest).cloned()
    }

    fn index_of(&self, snapshot: &Arc<FleetSnapshot>) -> Rc<KeyIndex> {
        let mut cached = self.index.borrow_mut();
        if let Some(index) = cached.as_ref()
            && Arc::ptr_eq(&index.snapshot, snapshot)
        {
            return Rc::clone(index);
        }
        let index = Rc::new(KeyIndex::new(Arc::clone(snapshot)));
        *cached = Some(Rc::clone(&index));
        index
    }
}
