//! Binary encoding of messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::WireError;

/// Largest message in bytes; a longer one closes the connection.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

const fn bincode_config() -> Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message.
///
/// # Errors
///
/// `TooLarge` if the message exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode_config())
        .map_err(|_| WireError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge);
    }
    Ok(bytes)
}

/// Decodes a message that must fill `bytes` exactly.
///
/// # Errors
///
/// `Malformed` for truncated, oversized or trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, bincode_config())
        .map_err(|_| WireError::Malformed)?;
    if used == bytes.len() { Ok(message) } else { Err(WireError::Malformed) }
}
