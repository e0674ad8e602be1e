//! Reading of whole response bodies.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncompleteBody {
    /// It broke off.
    Broken,
    /// It is larger than its limit.
    TooLarge,
}

/// Reads a body of at most `max_bytes` into one buffer: kept chunks would take some 40 times their bytes if
/// they are small.
///
/// # Errors
///
/// If the body is larger, or breaks off.
pub async fn collect_body<B>(mut body: B, max_bytes: usize) -> Result<Bytes, IncompleteBody>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_| IncompleteBody::Broken)?.into_data() else { continue };
        if collected.len() + bytes.len() > max_bytes {
            return Err(IncompleteBody::TooLarge);
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
