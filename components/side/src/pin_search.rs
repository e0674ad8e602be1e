//! One round of asks for a pin.

use std::net::SocketAddr;

use base::Timestamp;
use compact_str::CompactString;

/// A round that asks the other side processes in turn for a pin of one model.
#[derive(Clone, Debug)]
pub(crate) struct PinSearch {
    pub model: CompactString,
    /// Whom to ask, last first.
    pub candidates: Vec<SocketAddr>,
    /// The one that was asked and has not answered.
    pub asked: Option<SocketAddr>,
    /// A round without success is not repeated before this time.
    pub not_before: Timestamp,
    /// Whether the round is over without a pin.
    pub failed: bool,
}
