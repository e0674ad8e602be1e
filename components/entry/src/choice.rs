//! A target chosen for one attempt.

use std::net::SocketAddr;

use base::ProcessId;
use compact_str::CompactString;

/// Where an attempt goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Choice {
    /// Side process.
    pub process: ProcessId,
    /// Its target.
    pub target: CompactString,
    /// Its peer address.
    pub address: SocketAddr,
}
