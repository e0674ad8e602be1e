//! Why a side process could not start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a side process could not start.
#[derive(Debug)]
pub enum SideError {
    /// An address could not be bound; another process may hold it.
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// The metrics could not be set up.
    Metrics,
}

impl fmt::Display for SideError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, error } => write!(f, "can't bind {address}: {error}"),
            Self::Metrics => f.write_str("can't set up the metrics"),
        }
    }
}

impl std::error::Error for SideError {}
