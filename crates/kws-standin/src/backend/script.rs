//! What a backend server does with its requests.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// A script that cannot be read.
#[derive(Debug)]
pub struct ScriptError(String);

impl std::fmt::Display for ScriptError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "unreadable script: {}", self.0)
    }
}

impl std::error::Error for ScriptError {}

/// How answers tell where their body ends.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyFraming {
    /// By `content-length`.
    #[default]
    Length,
    /// By `content-length`, in HTTP/1.0.
    OldLength,
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// How answers are broken.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFault {
    /// They are not.
    #[default]
    None,
    /// The connection ends instead of an answer.
    CutHead,
    /// The connection ends after this many bytes of the body.
    CutBody(u64),
    /// Nothing follows the request, and the connection stays open.
    SilentHead,
    /// Nothing follows this many bytes of the body, and the connection stays open.
    SilentBody(u64),
    /// Bytes that belong to no answer follow each one.
    ExtraBytes,
    /// Two requests get each other's answers.
    Swapped,
    /// The body stops being what was asked for, though its framing is right.
    Wrong,
    /// Requests are shed, with the promise that they did not run.
    NotRun,
    /// Each second request on a connection is shed, and its refusal is written once more before the
    /// next answer.
    RepeatedRefusal,
    /// Requests are refused as [`RefusalCopies`] says, and each refusal is written once more.
    CopiedRefusals(RefusalCopies),
    /// The answer comes before the request's body is read, and the connection ends.
    Early,
}

/// When refusals are made and written once more.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RefusalCopies {
    /// Each request of a connection whose number, counted from 0, is a multiple of this is shed; 0
    /// for none.
    pub shed_every: u64,
    /// The time after which a copy is written on the idle connection, in milliseconds; 0 for
    /// immediately before the next answer only.
    pub idle_ms: u64,
}

impl RefusalCopies {
    /// Whether the request with this number on its connection is shed.
    pub(crate) fn sheds(self, number: u64) -> bool {
        self.shed_every > 0 && number.is_multiple_of(self.shed_every)
    }

    /// How long a connection is idle before copies are written; absent if they wait for the next
    /// answer.
    pub(crate) fn idle(self) -> Option<Duration> {
        (self.idle_ms > 0).then(|| Duration::from_millis(self.idle_ms))
    }
}

/// What a backend server does with its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendScript {
    /// The status of answers.
    pub status: u16,
    /// The size of their bodies.
    pub body_bytes: u64,
    /// The wait before an answer, in milliseconds.
    pub delay_ms: u64,
    /// The size of the pieces in which a body is written, in bytes.
    pub piece_bytes: u64,
    /// The wait between pieces, in milliseconds.
    pub piece_delay_ms: u64,
    /// How answers tell where they end.
    pub framing: BodyFraming,
    /// How they are broken.
    pub fault: BackendFault,
    /// Whether answers say that the server drains.
    pub draining: bool,
    /// Whether answers name the request that they answer.
    pub echo_id: bool,
    /// The header that names requests.
    pub id_header: String,
    /// The identifier of the server. A request that expects another one is refused with 421.
    pub instance: Option<String>,
    /// The header that names the expected server.
    pub instance_header: String,
    /// Whether `/health` says that all is well.
    pub healthy: bool,
    /// Further headers of answers.
    pub headers: BTreeMap<String, String>,
    /// Further headers of refusals.
    pub refusal_headers: BTreeMap<String, String>,
}

impl Default for BackendScript {
    fn default() -> Self {
        Self {
            status: 200,
            body_bytes: 64,
            delay_ms: 0,
            piece_bytes: 16 * 1024,
            piece_delay_ms: 0,
            framing: BodyFraming::Length,
            fault: BackendFault::None,
            draining: false,
            echo_id: true,
            id_header: "x-request-id".to_owned(),
            instance: None,
            instance_header: "x-expected-server".to_owned(),
            healthy: true,
            headers: BTreeMap::new(),
            refusal_headers: BTreeMap::new(),
        }
    }
}

impl BackendScript {
    /// A script that differs from the default by a fault.
    pub fn with_fault(fault: BackendFault) -> Self {
        Self {
            fault,
            ..Self::default()
        }
    }

    /// Reads a script.
    ///
    /// # Errors
    /// [`ScriptError`] when the text is no script.
    pub fn from_yaml(text: &str) -> Result<Self, ScriptError> {
        serde_saphyr::from_str(text).map_err(|error| ScriptError(error.to_string()))
    }

    /// The wait before an answer.
    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// The wait between pieces.
    pub(crate) fn piece_delay(&self) -> Duration {
        Duration::from_millis(self.piece_delay_ms)
    }
}
