//! Why an entry process can't start.

use std::fmt;
use std::net::SocketAddr;

/// Error at the start of an entry process.
#[derive(Debug)]
pub enum EntryError {
    /// An address can't be bound.
    Bind {
        /// Address.
        address: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// Metrics can't be set up.
    Metrics(telemetry::MetricsError),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, error } => write!(f, "can't bind {address}: {error}"),
            Self::Metrics(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for EntryError {}
