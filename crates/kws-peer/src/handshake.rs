//! Both ends of a link prove that they know the fleet's secret before any message passes.

use hmac::{Hmac, Mac};
use kws_protocol::HostName;
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;
use std::{fmt, sync::Arc};
use thiserror::Error;

/// The version of the handshake.
const HANDSHAKE_VERSION: u8 = 1;
/// The least length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why a link is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HandshakeError {
    /// The secret is shorter than 16 bytes.
    #[error("the peer secret has {0} bytes, at least {MIN_SECRET_BYTES} are needed")]
    ShortSecret(usize),
    /// The frame isn't a handshake of this version.
    #[error("malformed handshake")]
    Malformed,
    /// The other end doesn't know the secret.
    #[error("peer {0} doesn't know the fleet's secret")]
    WrongProof(HostName),
    /// Another host answers at the address.
    #[error("peer {found} answers in place of {wanted}")]
    OtherHost {
        /// The host that was dialled.
        wanted: HostName,
        /// The host that answered.
        found: HostName,
    },
}

/// The secret that all daemons of one fleet share.
#[derive(Clone)]
pub struct PeerSecret(Arc<[u8]>);

impl PeerSecret {
    /// Takes the secret's bytes, without the white space around them.
    ///
    /// # Errors
    /// [`HandshakeError::ShortSecret`].
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

/// The dialling end's first frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireHello {
    v: u8,
    pub(crate) host: HostName,
    nonce: u64,
}

/// The accepting end's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireWelcome {
    pub(crate) host: HostName,
    nonce: u64,
    proof: Vec<u8>,
}

/// The dialling end's last frame.
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
    pub(crate) fn answer(
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
        welcome.proof = prove(secret, b"accept", hello, &welcome)
            .finalize()
            .into_bytes()
            .to_vec();
        Ok(welcome)
    }

    /// Checks the accepting end's proof and makes the dialling end's.
    pub(crate) fn confirm(
        &self,
        secret: &PeerSecret,
        hello: &WireHello,
        wanted: &HostName,
    ) -> Result<WireProof, HandshakeError> {
        prove(secret, b"accept", hello, self)
            .verify_slice(&self.proof)
            .map_err(|_| HandshakeError::WrongProof(self.host.clone()))?;
        if !wanted.matches(&self.host) {
            return Err(HandshakeError::OtherHost {
                wanted: wanted.clone(),
                found: self.host.clone(),
            });
        }
        let proof = prove(secret, b"dial", hello, self)
            .finalize()
            .into_bytes()
            .to_vec();
        Ok(WireProof { proof })
    }

    /// Checks the dialling end's proof.
    pub(crate) fn check(
        &self,
        secret: &PeerSecret,
        hello: &WireHello,
        proof: &WireProof,
    ) -> Result<(), HandshakeError> {
        prove(secret, b"dial", hello, self)
            .verify_slice(&proof.proof)
            .map_err(|_| HandshakeError::WrongProof(hello.host.clone()))
    }
}

/// Binds the role, both names and both nonces, so that no proof fits another link.
fn prove(
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
