//! Checks of a raw request head before it reaches the HTTP server.
//!
//! The HTTP library merges equal lengths and ignores a length after `Transfer-Encoding`, so that
//! such a request could be read differently here and by a process in front of this one. The checks
//! run on the bytes as they came.

use std::fmt;

use crate::ErrorCode;

/// Most header fields that the parser has room for.
const MAX_FIELDS: usize = 256;

/// What is wrong with a request head or with the framing of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// A chunk of the body is malformed.
    BadChunk,
    /// The credential is not a bearer token.
    BadCredential,
    /// The head is not HTTP/1.1.
    Malformed,
    /// Both `Content-Length` and `Transfer-Encoding`.
    MixedLengths,
    /// More than one credential.
    RepeatedCredential,
    /// More than one `Content-Length`, `Transfer-Encoding`, `Host` or `Idempotency-Key`.
    RepeatedField,
    /// The head did not arrive in time.
    Slow,
    /// The head exceeds the limit.
    TooLarge,
    /// More header fields than the limit.
    TooManyFields,
    /// `Transfer-Encoding` other than `chunked`.
    UnknownEncoding,
}

impl HeadError {
    /// The code to answer with.
    pub const fn code(self) -> ErrorCode {
        match self {
            Self::BadChunk
            | Self::BadCredential
            | Self::Malformed
            | Self::MixedLengths
            | Self::RepeatedCredential
            | Self::RepeatedField
            | Self::UnknownEncoding => ErrorCode::InvalidRequest,
            Self::Slow => ErrorCode::RequestTimeout,
            Self::TooLarge | Self::TooManyFields => ErrorCode::HeadersTooLarge,
        }
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadChunk => "a chunk of the body is malformed",
            Self::BadCredential => "the credential is not a bearer token",
            Self::Malformed => "the request head is malformed",
            Self::MixedLengths => "Content-Length and Transfer-Encoding exclude each other",
            Self::RepeatedCredential => "more than one credential was sent",
            Self::RepeatedField => "a header field that must be single was sent more than once",
            Self::Slow => "the request head did not arrive in time",
            Self::TooLarge => "the request head is too large",
            Self::TooManyFields => "too many header fields",
            Self::UnknownEncoding => "the only supported Transfer-Encoding is chunked",
        })
    }
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// Chunks, ended by the last one.
    Chunked,
    /// A number of bytes.
    Length(u64),
}

/// Checks a whole head, final empty line included, and says how its body is framed. `api_key_header` says
/// whether `X-Api-Key` is a credential too; otherwise it is a header like any other.
///
/// # Errors
///
/// What is wrong with the head.
pub fn check_head(
    head: &[u8],
    max_fields: usize,
    api_key_header: bool,
) -> Result<BodyFraming, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(head) {
        // A shorter head than the bytes given would leave the rest to be read as a body.
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(HeadError::Malformed),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooManyFields),
        Err(_) => return Err(HeadError::Malformed),
    }
    // For HTTP/1.0, the end of the connection ends a response without a length, so that one that is cut off
    // would look complete.
    if request.version != Some(1) {
        return Err(HeadError::Malformed);
    }
    if request.headers.len() > max_fields {
        return Err(HeadError::TooManyFields);
    }
    let values = |name: &str| -> Vec<&[u8]> {
        request
            .headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value)
            .collect()
    };
    let (lengths, encodings) = (values("content-length"), values("transfer-encoding"));
    let api_keys = if api_key_header { values("x-api-key").len() } else { 0 };
    if values("authorization").len() + api_keys > 1 {
        return Err(HeadError::RepeatedCredential);
    }
    if [lengths.len(), encodings.len(), values("host").len(), values("idempotency-key").len()]
        .iter()
        .any(|count| *count > 1)
    {
        return Err(HeadError::RepeatedField);
    }
    match (lengths.first(), encodings.first()) {
        (Some(_), Some(_)) => Err(HeadError::MixedLengths),
        (None, Some(value)) if value.eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
        (None, Some(_)) => Err(HeadError::UnknownEncoding),
        (Some(value), None) => parse_length(value).map(BodyFraming::Length),
        (None, None) => Ok(BodyFraming::Length(0)),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Malformed);
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
    text.parse().map_err(|_| HeadError::Malformed)
}

/// Finds the end of a chunked body in bytes that arrive in parts.
#[derive(Clone, Debug, Default)]
pub struct ChunkedScanner {
    state: ChunkState,
}

#[derive(Clone, Copy, Debug, Default)]
enum ChunkState {
    #[default]
    SizeStart,
    Size(u64),
    Extension(u64),
    SizeLf(u64),
    Data(u64),
    DataCr,
    DataLf,
    TrailerStart,
    Trailer,
    TrailerLf,
    EndLf,
}

/// Largest chunk in bytes; keeps the size far from overflow.
const MAX_CHUNK_BYTES: u64 = 1 << 40;

impl ChunkedScanner {
    /// Reads `bytes`; says how many belong to the body once its end is among them.
    ///
    /// # Errors
    ///
    /// `BadChunk` for anything but strict chunked coding.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, HeadError> {
        let mut at = 0;
        while let Some(&byte) = bytes.get(at) {
            if let ChunkState::Data(left) = self.state {
                let step = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len() - at);
                at += step;
                let left = left - step as u64;
                self.state = if left == 0 { ChunkState::DataCr } else { ChunkState::Data(left) };
                continue;
            }
            at += 1;
            match self.step(byte) {
                Some(ChunkState::EndLf) if byte == b'\n' => {
                    self.state = ChunkState::SizeStart;
                    return Ok(Some(at));
                }
                Some(next) => self.state = next,
                None => return Err(HeadError::BadChunk),
            }
        }
        Ok(None)
    }

    fn step(&self, byte: u8) -> Option<ChunkState> {
        let digit = char::from(byte).to_digit(16).map(u64::from);
        Some(match (self.state, byte) {
            (ChunkState::SizeStart, _) => ChunkState::Size(digit?),
            (ChunkState::Size(size) | ChunkState::Extension(size), b'\r') => {
                ChunkState::SizeLf(size)
            }
            (ChunkState::Size(size), b';') => ChunkState::Extension(size),
            (ChunkState::Size(size), _) if size < MAX_CHUNK_BYTES => {
                ChunkState::Size(size * 16 + digit?)
            }
            (ChunkState::Extension(size), b' '..=b'~' | b'\t') => ChunkState::Extension(size),
            (ChunkState::SizeLf(0), b'\n') => ChunkState::TrailerStart,
            (ChunkState::SizeLf(size), b'\n') => ChunkState::Data(size),
            (ChunkState::DataCr, b'\r') => ChunkState::DataLf,
            (ChunkState::DataLf, b'\n') => ChunkState::SizeStart,
            (ChunkState::TrailerStart, b'\r') => ChunkState::EndLf,
            (ChunkState::Trailer, b'\r') => ChunkState::TrailerLf,
            (ChunkState::TrailerStart | ChunkState::Trailer, b' '..=b'~' | b'\t') => {
                ChunkState::Trailer
            }
            (ChunkState::TrailerLf, b'\n') => ChunkState::TrailerStart,
            (ChunkState::EndLf, b'\n') => ChunkState::EndLf,
            _ => return None,
        })
    }
}
