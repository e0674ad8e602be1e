//! Errors at the start of a side process.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a side process could not start.
#[derive(Debug)]
pub enum SideError {
    /// Binding an address failed, for example because another process uses it.
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// Creating the metrics registry failed.
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
