//! CBOR encoding of peer messages.

use crate::{
    PeerMessage,
    wire::{WireEnvelope, WireError},
};
use thiserror::Error;

/// The largest frame that a daemon sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame is not a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is not CBOR of the expected shape.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// A value is out of range.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Encodes a message into one frame.
///
/// # Errors
/// [`CodecError::TooLarge`] when the frame would exceed [`MAX_FRAME_BYTES`].
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, CodecError> {
    let mut frame = Vec::new();
    ciborium::into_writer(&WireEnvelope::from(message), &mut frame)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    check_size(frame.len())?;
    Ok(frame)
}

/// Decodes one frame.
///
/// # Errors
/// Any [`CodecError`]; a frame never panics.
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
