//! Mutual authentication of a link: each end proves knowledge of the fleet's secret before messages
//! are exchanged.

use hmac::{Hmac, Mac};
use kws_protocol::HostName;
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;
use std::{fmt, sync::Arc};
use thiserror::Error;

/// Version of the handshake.
const HANDSHAKE_VERSION: u8 = 1;
/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Reason why a link is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HandshakeError {
    /// The secret is shorter than 16 bytes.
    #[error("the peer secret has {0} bytes, at least {MIN_SECRET_BYTES} are needed")]
    ShortSecret(usize),
    /// The frame is not a handshake frame of this version.
    #[error("malformed handshake")]
    Malformed,
    /// The peer's proof does not match the secret.
    #[error("peer {0} doesn't know the fleet's secret")]
    InvalidProof(HostName),
    /// The host at the address has another name than the one dialled.
    #[error("peer {found} answers in place of {wanted}")]
    UnexpectedHost {
        /// Host that was dialled.
        wanted: HostName,
        /// Host that accepted the link.
        found: HostName,
    },
}

/// Secret shared by all daemons of a fleet.
#[derive(Clone)]
pub struct PeerSecret(Arc<[u8]>);

impl PeerSecret {
    /// Creates the secret from `bytes`, trimmed of surrounding ASCII white space.
    ///
    /// # Errors
    /// [`HandshakeError::ShortSecret`] if fewer than 16 bytes remain.
    pub fn new(bytes: &[u8]) -> Result<Self, HandshakeError> {
        let trimmed = bytes.trim_ascii();
        if trimmed.len() < MIN_SECRET_BYTES {
            return Err(HandshakeError::ShortSecret(trimmed.len()));
        }
        Ok(Self(Arc::from(trimmed)))
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

/// First frame, sent by the dialling end.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireHello {
    v: u8,
    pub(crate) host: HostName,
    nonce: u64,
}

/// Second frame, sent by the accepting end, with its proof.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireWelcome {
    pub(crate) host: HostName,
    nonce: u64,
    proof: Vec<u8>,
}

/// Third frame, sent by the dialling end, with its proof.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireProof {
    proof: Vec<u8>,
}

impl WireHello {
    pub(crate) fn new(host: &HostName) -> Self {
        Self {
            v: HANDSHAKE_VERSION,
            host: host.clone(),
            nonce: rand::rng().random(),
        }
    }
}

impl WireWelcome {
    pub(crate) fn reply(
        secret: &PeerSecret,
        host: &HostName,
        hello: &WireHello,
    ) -> Result<Self, HandshakeError> {
        if hello.v != HANDSHAKE_VERSION {
            return Err(HandshakeError::Malformed);
        }
        let mut welcome = Self {
            host: host.clone(),
            nonce: rand::rng().random(),
            proof: Vec::new(),
        };
        welcome.proof = compute_proof(secret, b"accept", hello, &welcome)
            .finalize()
            .into_bytes()
            .to_vec();
        Ok(welcome)
    }

    /// Verifies the accepting end's proof and name, and computes the dialling end's proof.
    pub(crate) fn verify_acceptor(
        &self,
        secret: &PeerSecret,
        hello: &WireHello,
        wanted: &HostName,
    ) -> Result<WireProof, HandshakeError> {
        compute_proof(secret, b"accept", hello, self)
            .verify_slice(&self.proof)
            .map_err(|_| HandshakeError::InvalidProof(self.host.clone()))?;
        if !wanted.matches(&self.host) {
            return Err(HandshakeError::UnexpectedHost {
                wanted: wanted.clone(),
                found: self.host.clone(),
            });
        }
        let proof = compute_proof(secret, b"dial", hello, self)
            .finalize()
            .into_bytes()
            .to_vec();
        Ok(WireProof { proof })
    }

    /// Verifies the dialling end's proof.
    pub(crate) fn verify_dialler(
        &self,
        secret: &PeerSecret,
        hello: &WireHello,
        proof: &WireProof,
    ) -> Result<(), HandshakeError> {
        compute_proof(secret, b"dial", hello, self)
            .verify_slice(&proof.proof)
            .map_err(|_| HandshakeError::InvalidProof(hello.host.clone()))
    }
}

/// The MAC covers the role, both host names and both nonces, so that a proof is valid for one link
/// and one direction only.
fn compute_proof(
    secret: &PeerSecret,
    role: &[u8],
    hello: &WireHello,
    welcome: &WireWelcome,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC takes any key length");
    for part in [
        role,
        hello.host.as_str().as_bytes(),
        &hello.nonce.to_be_bytes(),
        welcome.host.as_str().as_bytes(),
        &welcome.nonce.to_be_bytes(),
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

pub(crate) fn encode_frame<T: Serialize>(value: &T) -> Result<Vec<u8>, HandshakeError> {
    let mut frame = Vec::new();
    ciborium::into_writer(value, &mut frame).map_err(|_| HandshakeError::Malformed)?;
    Ok(frame)
}

pub(crate) fn decode_frame<T: DeserializeOwned>(frame: &[u8]) -> Result<T, HandshakeError> {
    ciborium::from_reader(frame).map_err(|_| HandshakeError::Malformed)
}
