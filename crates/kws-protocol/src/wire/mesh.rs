//! Wire types of the mesh. Heartbeats make up most of an idle fleet's traffic, so their keys are
//! short.

use super::WireError;
use crate::{
    HashedAge, HostName, MemberReport, MeshMember, MeshMessage, RetainedValue, TreeRevision,
    ValuesDelta, ValuesView,
};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Unit in which the ages of members are encoded.
const AGE_UNIT: Duration = Duration::from_millis(100);

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireMember {
    #[serde(rename = "n")]
    name: HostName,
    #[serde(rename = "r")]
    region: String,
    #[serde(rename = "c")]
    center: String,
    #[serde(rename = "p")]
    address: String,
    #[serde(rename = "a")]
    age: u32,
    #[serde(rename = "m")]
    millicores: u32,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct WireValuesView {
    #[serde(rename = "r")]
    revision: u64,
    #[serde(rename = "d")]
    digest: u64,
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    confirmed_age_ms: Option<u64>,
    #[serde(default, rename = "c", skip_serializing_if = "is_false")]
    platform_unreachable: bool,
    // Hosts of earlier versions don't send it; theirs counts as current, as it did then.
    #[serde(default, rename = "o", skip_serializing_if = "is_false")]
    outdated: bool,
    #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
    retained: Option<u64>,
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    era_age_ms: Option<u64>,
}

// serde passes a reference to the field to this function.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !*flag
}

fn is_zero<T: Default + PartialEq>(number: &T) -> bool {
    *number == T::default()
}

/// A retained value: a newer version has a text only, that of a server which had left all but a text.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireRetained {
    #[serde(rename = "k")]
    key: String,
    #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
    text: Option<Arc<str>>,
    /// A large text, compressed.
    #[serde(
        default,
        rename = "z",
        with = "serde_bytes",
        skip_serializing_if = "Option::is_none"
    )]
    packed_text: Option<Vec<u8>>,
    #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
    started_at_ms: Option<u64>,
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    remaining_ms: Option<u64>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireHeartbeat {
    #[serde(rename = "n")]
    nonce: u64,
    #[serde(rename = "v")]
    view: WireValuesView,
    #[serde(rename = "m")]
    members_digest: u64,
    #[serde(default, rename = "a", skip_serializing_if = "Vec::is_empty")]
    ages: Vec<u32>,
    #[serde(default, rename = "c", skip_serializing_if = "is_zero")]
    member_count: u32,
    #[serde(default, rename = "h", skip_serializing_if = "Vec::is_empty")]
    hashed_ages: Vec<(u64, u32)>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireMesh {
    #[serde(rename = "b")]
    Heartbeat(WireHeartbeat),
    #[serde(rename = "r")]
    Reply(WireHeartbeat),
    #[serde(rename = "m")]
    Members(Vec<WireMember>),
    #[serde(rename = "l")]
    Leave,
    #[serde(rename = "f")]
    Fetch {
        held: u64,
        #[serde(default, skip_serializing_if = "is_zero")]
        newer: u64,
    },
    #[serde(rename = "c")]
    Delta {
        base: u64,
        revision: u64,
        digest: u64,
        set: Vec<(String, Arc<str>)>,
        removed: Vec<String>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        retained: Vec<WireRetained>,
        #[serde(default, rename = "era_age", skip_serializing_if = "Option::is_none")]
        era_age_ms: Option<u64>,
    },
    /// A large delta, compressed.
    #[serde(rename = "z")]
    CompressedDelta {
        base: u64,
        revision: u64,
        digest: u64,
        #[serde(with = "serde_bytes")]
        values: Vec<u8>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        retained: Vec<WireRetained>,
        #[serde(default, rename = "era_age", skip_serializing_if = "Option::is_none")]
        era_age_ms: Option<u64>,
    },
}

/// Decompressed content of [`WireMesh::CompressedDelta`].
#[derive(Debug, Deserialize, Serialize)]
struct WireDelta {
    set: Vec<(String, Arc<str>)>,
    removed: Vec<String>,
}

/// Size of the keys and values from which a delta is compressed, in bytes; below it, compression
/// costs more than sending one more packet.
const COMPRESSION_THRESHOLD_BYTES: usize = 2 * 1024;

/// Maximum decompressed size of a delta, in bytes: enough for a full copy of a large deployment.
const MAX_DECOMPRESSED_BYTES: u64 = 32 * 1024 * 1024;

/// Compresses a delta.
fn compress(delta: &ValuesDelta) -> Vec<u8> {
    let wire = WireDelta {
        set: delta.set.clone(),
        removed: delta.removed.clone(),
    };
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory cannot fail; if it did, the receiver would reject the empty content.
    let written = ciborium::into_writer(&wire, &mut encoder).is_ok();
    let compressed = encoder.finish();
    compressed.ok().filter(|_| written).unwrap_or_default()
}

/// Compresses a text.
fn pack(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // As for a delta, an empty result is rejected by the receiver.
    let written = encoder.write_all(text).is_ok();
    let compressed = encoder.finish();
    compressed.ok().filter(|_| written).unwrap_or_default()
}

fn unpack(packed: &[u8]) -> Result<Arc<str>, WireError> {
    let mut text = String::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_DECOMPRESSED_BYTES);
    let read = decoder.read_to_string(&mut text);
    read.map_err(|_| WireError::InvalidField { field: "retained" })?;
    Ok(text.into())
}

fn decompress(compressed: &[u8]) -> Result<ValuesDelta, WireError> {
    let decoder = DeflateDecoder::new(compressed).take(MAX_DECOMPRESSED_BYTES);
    let wire: WireDelta =
        ciborium::from_reader(decoder).map_err(|_| WireError::InvalidField { field: "values" })?;
    Ok(ValuesDelta::new(wire.set, wire.removed))
}

/// Converts an age to milliseconds, rounded up.
fn to_milliseconds(age: Duration) -> u64 {
    age.as_micros().div_ceil(1_000) as u64
}

/// Converts an age to wire units, rounded up: an age may be overstated but never understated.
fn age_units(age: Duration) -> u32 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    u32::try_from(units).unwrap_or(u32::MAX)
}

fn to_wire_age(hashed: &HashedAge) -> (u64, u32) {
    (hashed.member, age_units(hashed.age))
}

fn from_age_units(units: u32) -> Duration {
    AGE_UNIT * units.min(u32::MAX / 2)
}

impl From<&ValuesView> for WireValuesView {
    fn from(view: &ValuesView) -> Self {
        Self {
            revision: view.revision.to_wire(),
            digest: view.digest,
            confirmed_age_ms: view.confirmed_age.map(to_milliseconds),
            platform_unreachable: view.platform_unreachable,
            outdated: !view.current,
            retained: view.retained,
            // Rounded down: hosts take over the earliest begin, which must not move as they exchange it.
            era_age_ms: view.era_age.map(|age| age.as_millis() as u64),
        }
    }
}

impl From<WireValuesView> for ValuesView {
    fn from(wire: WireValuesView) -> Self {
        Self {
            revision: TreeRevision::from_wire(wire.revision),
            digest: wire.digest,
            confirmed_age: wire.confirmed_age_ms.map(Duration::from_millis),
            platform_unreachable: wire.platform_unreachable,
            current: !wire.outdated,
            retained: wire.retained,
            era_age: wire.era_age_ms.map(Duration::from_millis),
        }
    }
}

impl From<&RetainedValue> for WireRetained {
    fn from(value: &RetainedValue) -> Self {
        match value {
            RetainedValue::Left {
                key,
                started_at_ms,
                age,
                remaining,
            } => Self {
                key: key.clone(),
                text: None,
                packed_text: None,
                started_at_ms: Some(*started_at_ms),
                age_ms: Some(to_milliseconds(*age)),
                remaining_ms: Some(remaining.as_millis() as u64),
            },
            RetainedValue::Newer { key, text } => {
                let is_large = text.len() >= COMPRESSION_THRESHOLD_BYTES;
                Self {
                    key: key.clone(),
                    text: (!is_large).then(|| Arc::clone(text)),
                    packed_text: is_large.then(|| pack(text.as_bytes())),
                    started_at_ms: None,
                    age_ms: None,
                    remaining_ms: None,
                }
            }
        }
    }
}

impl TryFrom<WireRetained> for RetainedValue {
    type Error = WireError;

    fn try_from(wire: WireRetained) -> Result<Self, WireError> {
        let key = wire.key;
        let packed = wire.packed_text.map(|packed| unpack(&packed)).transpose()?;
        match (
            wire.text.or(packed),
            wire.started_at_ms,
            wire.age_ms,
            wire.remaining_ms,
        ) {
            (Some(text), None, None, None) => Ok(Self::Newer { key, text }),
            (None, Some(started_at_ms), Some(age_ms), Some(remaining_ms)) => Ok(Self::Left {
                key,
                started_at_ms,
                age: Duration::from_millis(age_ms),
                remaining: Duration::from_millis(remaining_ms),
            }),
            _ => Err(WireError::InvalidField { field: "retained" }),
        }
    }
}

fn from_wire_retained(wire: Vec<WireRetained>) -> Result<Vec<RetainedValue>, WireError> {
    wire.into_iter().map(RetainedValue::try_from).collect()
}

impl From<&MemberReport> for WireMember {
    fn from(report: &MemberReport) -> Self {
        Self {
            name: report.member.name.clone(),
            region: report.member.region.as_str().to_owned(),
            center: report.member.center.as_str().to_owned(),
            address: report.member.address.to_string(),
            age: age_units(report.age),
            millicores: report.member.millicores,
        }
    }
}

impl TryFrom<WireMember> for MemberReport {
    type Error = WireError;

    fn try_from(wire: WireMember) -> Result<Self, WireError> {
        let address: SocketAddr = wire
            .address
            .parse()
            .map_err(|_| WireError::InvalidField { field: "address" })?;
        Ok(Self {
            member: MeshMember {
                name: wire.name,
                region: wire.region.as_str().into(),
                center: wire.center.as_str().into(),
                address,
                millicores: wire.millicores,
            },
            age: from_age_units(wire.age),
        })
    }
}

/// Converts a list to the wire types of its items.
fn to_wire<'a, T, W: From<&'a T>>(items: &'a [T]) -> Vec<W> {
    items.iter().map(W::from).collect()
}

impl WireHeartbeat {
    /// A heartbeat without ages.
    fn new(nonce: u64, view: &ValuesView, members_digest: u64, member_count: u32) -> Self {
        Self {
            nonce,
            view: view.into(),
            members_digest,
            ages: Vec::new(),
            member_count,
            hashed_ages: Vec::new(),
        }
    }
}

impl From<&MeshMessage> for WireMesh {
    fn from(message: &MeshMessage) -> Self {
        match message {
            MeshMessage::Heartbeat {
                nonce,
                view,
                members_digest,
                member_count,
            } => Self::Heartbeat(WireHeartbeat::new(
                *nonce,
                view,
                *members_digest,
                *member_count,
            )),
            MeshMessage::Reply {
                nonce,
                view,
                members_digest,
                member_count,
                ages,
                hashed_ages,
            } => Self::Reply(WireHeartbeat {
                ages: ages.iter().copied().map(age_units).collect(),
                hashed_ages: hashed_ages.iter().map(to_wire_age).collect(),
                ..WireHeartbeat::new(*nonce, view, *members_digest, *member_count)
            }),
            MeshMessage::Members(reports) => Self::Members(to_wire(reports)),
            MeshMessage::Leave => Self::Leave,
            &MeshMessage::Fetch { held, newer } => Self::Fetch { held, newer },
            MeshMessage::Delta {
                base,
                revision,
                digest,
                values,
                retained,
                era_age,
            } if values.content_bytes() < COMPRESSION_THRESHOLD_BYTES => Self::Delta {
                base: *base,
                revision: revision.to_wire(),
                digest: *digest,
                set: values.set.clone(),
                removed: values.removed.clone(),
                retained: to_wire(retained),
                era_age_ms: era_age.map(to_milliseconds),
            },
            MeshMessage::Delta {
                base,
                revision,
                digest,
                values,
                retained,
                era_age,
            } => Self::CompressedDelta {
                base: *base,
                revision: revision.to_wire(),
                digest: *digest,
                values: values.compressed(compress).to_vec(),
                retained: to_wire(retained),
                era_age_ms: era_age.map(to_milliseconds),
            },
        }
    }
}

impl TryFrom<WireMesh> for MeshMessage {
    type Error = WireError;

    fn try_from(wire: WireMesh) -> Result<Self, WireError> {
        Ok(match wire {
            WireMesh::Heartbeat(heartbeat) => Self::Heartbeat {
                nonce: heartbeat.nonce,
                view: heartbeat.view.into(),
                members_digest: heartbeat.members_digest,
                member_count: heartbeat.member_count,
            },
            WireMesh::Reply(heartbeat) => Self::Reply {
                nonce: heartbeat.nonce,
                view: heartbeat.view.into(),
                members_digest: heartbeat.members_digest,
                member_count: heartbeat.member_count,
                ages: heartbeat.ages.into_iter().map(from_age_units).collect(),
                hashed_ages: heartbeat
                    .hashed_ages
                    .into_iter()
                    .map(|(member, age)| HashedAge {
                        member,
                        age: from_age_units(age),
                    })
                    .collect(),
            },
            WireMesh::Members(members) => {
                let reports = members.into_iter().map(MemberReport::try_from);
                Self::Members(reports.collect::<Result<_, _>>()?)
            }
            WireMesh::Leave => Self::Leave,
            WireMesh::Fetch { held, newer } => Self::Fetch { held, newer },
            WireMesh::Delta {
                base,
                revision,
                digest,
                set,
                removed,
                retained,
                era_age_ms,
            } => Self::Delta {
                base,
                revision: TreeRevision::from_wire(revision),
                digest,
                values: Arc::new(ValuesDelta::new(set, removed)),
                retained: from_wire_retained(retained)?,
                era_age: era_age_ms.map(Duration::from_millis),
            },
            WireMesh::CompressedDelta {
                base,
                revision,
                digest,
                values,
                retained,
                era_age_ms,
            } => Self::Delta {
                base,
                revision: TreeRevision::from_wire(revision),
                digest,
                values: Arc::new(decompress(&values)?),
                retained: from_wire_retained(retained)?,
                era_age: era_age_ms.map(Duration::from_millis),
            },
        })
    }
}
