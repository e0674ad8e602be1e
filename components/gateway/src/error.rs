//! Why a gateway can't start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use telemetry::MetricsError;

/// Why a gateway can't start.
#[derive(Debug)]
pub enum GatewayError {
    /// An address can't be bound.
    Bind {
        /// Address.
        address: SocketAddr,
        /// Reason.
        error: io::Error,
    },
    /// Metrics can't be set up.
    Metrics(MetricsError),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, error } => write!(f, "can't listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for GatewayError {}
