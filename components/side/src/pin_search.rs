//! Search for a side process that grants a pin.

use std::net::SocketAddr;

use base::Timestamp;
use compact_str::CompactString;

/// Requests a pin of one model from the other side processes, one after the other.
#[derive(Clone, Debug)]
pub(crate) struct PinSearch {
    pub model: CompactString,
    /// Candidates, asked from last to first.
    pub candidates: Vec<SocketAddr>,
    /// Candidate with an outstanding pin request.
    pub asked: Option<SocketAddr>,
    /// Earliest time of the next search after a failed one.
    pub not_before: Timestamp,
    /// Whether the search ended without a pin.
    pub failed: bool,
}
