//! CBOR encoding and decoding of peer messages.

use crate::{
    PeerMessage,
    wire::{WireEnvelope, WireError},
};
use thiserror::Error;

/// Maximum size of a frame sent or accepted by a daemon, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Errors of encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is not CBOR that matches the message schema.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
    /// The protocol version is unsupported or a field holds an invalid value.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Encodes a message into a frame.
///
/// # Errors
/// [`CodecError::TooLarge`] if the frame would exceed [`MAX_FRAME_BYTES`].
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, CodecError> {
    let mut frame = Vec::new();
    ciborium::into_writer(&WireEnvelope::from(message), &mut frame)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    check_size(frame.len())?;
    Ok(frame)
}

/// Decodes a frame into a message.
///
/// # Errors
/// Any [`CodecError`]; malformed input never panics.
pub fn decode_message(frame: &[u8]) -> Result<PeerMessage, CodecError> {
    check_size(frame.len())?;
    let envelope: WireEnvelope =
        ciborium::from_reader(frame).map_err(|error| CodecError::Malformed(error.to_string()))?;
    Ok(envelope.try_into()?)
}

fn check_size(bytes: usize) -> Result<(), CodecError> {
    if bytes > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(bytes));
    }
    Ok(())
}
