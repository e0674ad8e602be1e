//! Reports of the times that requests take at targets.

use serde::{Deserialize, Serialize};

/// Times of the plain requests that a gateway has sent to a target since the gateway's start, so that a
/// lost report is made up for by the next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSpeedReport {
    /// Short hash of the target's id.
    pub target: u32,
    /// Unix time of the target's start in milliseconds, if it says so.
    pub born_ms: Option<u64>,
    /// Number of responses.
    pub responses: u64,
    /// Sum of the natural logarithms of their times in milliseconds, in thousandths.
    pub log_ms_sum: i64,
}
