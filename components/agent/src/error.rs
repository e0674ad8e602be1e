//! Why an agent can't start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why an agent can't start.
#[derive(Debug)]
pub enum AgentError {
    /// An address can't be bound.
    Bind {
        /// Address.
        address: SocketAddr,
        /// Reason.
        error: io::Error,
    },
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, error } => write!(f, "can't listen on {address}: {error}"),
        }
    }
}

impl std::error::Error for AgentError {}
