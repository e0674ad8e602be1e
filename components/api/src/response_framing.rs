//! Framing of response bodies.

use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

use crate::RunEnd;

/// What marks the end of a response body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFraming {
    /// The last chunk.
    Chunked,
    /// The end of the connection, which doesn't show whether the body is complete.
    #[default]
    ConnectionEnd,
    /// Its length.
    Length,
}

impl ResponseFraming {
    /// Framing of a body that follows these headers.
    pub fn decode(headers: &HeaderMap) -> Self {
        let last_coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match last_coding.and_then(|value| value.to_str().ok()) {
            Some(codings) if ends_with_chunked(codings) => Self::Chunked,
            Some(_) => Self::ConnectionEnd,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            None => Self::ConnectionEnd,
        }
    }

    /// Judges the end of a body that isn't a stream of events and that the target did not reset.
    /// `has_body` is false if the status or the method excludes a body, so that nothing can be missing.
    pub const fn end(self, has_body: bool) -> RunEnd {
        match self {
            Self::ConnectionEnd if has_body => RunEnd::CompleteIfAlive,
            Self::Chunked | Self::ConnectionEnd | Self::Length => RunEnd::Complete,
        }
    }

    /// Value for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Chunked => "chunked",
            Self::ConnectionEnd => "connection_end",
            Self::Length => "length",
        }
    }
}

fn ends_with_chunked(codings: &str) -> bool {
    let last = codings.rsplit(',').next();
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
