//! Reports of the limits that targets name.

use serde::{Deserialize, Serialize};

/// What a gateway knows of the limit of a target.
///
/// Gateways pass on what they have heard from others, so that a limit outlasts the gateway that was
/// told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLimitReport {
    /// Short hash of the target's id.
    pub target: u32,
    /// Unix time of the target's start in milliseconds, if it says so; a limit ends with its target.
    pub born_ms: Option<u64>,
    /// Requests that the target takes in 1,000 seconds from all gateways together; none if it no
    /// longer names a limit.
    pub limit_per_1000_s: Option<u64>,
    /// Short hash of the process that got the answer.
    pub origin: u32,
    /// Clock of that process when it got the answer, in microseconds.
    pub origin_micros: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}
