//! Errors of the protocol between processes.

use std::fmt;

/// Why a connection or a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The peer closed the stream or the connection.
    Closed,
    /// The transport failed.
    Io,
    /// A message could not be decoded.
    Malformed,
    /// The peer did not prove that it knows the fleet secret.
    NotAuthenticated,
    /// No answer within the time allowed.
    Timeout,
    /// A message exceeds the frame limit.
    TooLarge,
    /// The peer speaks another version of the protocol.
    Version,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Closed => "connection closed by the peer",
            Self::Io => "transport error",
            Self::Malformed => "malformed message",
            Self::NotAuthenticated => "peer failed authentication",
            Self::Timeout => "timed out",
            Self::TooLarge => "message exceeds the frame limit",
            Self::Version => "protocol version mismatch",
        })
    }
}

impl std::error::Error for WireError {}

impl From<h2::Error> for WireError {
    fn from(error: h2::Error) -> Self {
        if error.is_io() { Self::Io } else { Self::Closed }
    }
}

impl From<std::io::Error> for WireError {
    fn from(_: std::io::Error) -> Self {
        Self::Io
    }
}
