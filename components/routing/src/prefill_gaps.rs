//! Gaps that prefill causes in the streams that run at the same engine.
//!
//! Engines prefill prompts in chunks between the decode steps of running streams. While there is a
//! backlog of chunks, each step takes as long as a chunk, and an event takes several steps. A backlog
//! that is short against the streams' gap objective delays one event a little; a long one makes an
//! event of each running stream late.

use std::time::Duration;

/// Gap objective of services whose routes declare none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(600);
/// Backlog up to which no gap is expected to exceed its objective, as a share of the objective.
const HARMLESS_BACKLOG_SHARE: f64 = 0.4;
/// Backlog from which each running stream is expected to have a late event, as a share of the gap
/// objective.
const LATE_BACKLOG_SHARE: f64 = 2.2;
/// Cost of a late stream, in milliseconds of the delay of another request: about the delay at which
/// a long prompt loses as much for its caller.
const LATE_STREAM_MS: f64 = 200.0;

/// Estimate of the late events that a backlog of prefill work causes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillGaps {
    gap_objective_ms: f64,
}

impl Default for PrefillGaps {
    fn default() -> Self {
        Self::new(DEFAULT_EVENT_GAP)
    }
}

impl PrefillGaps {
    /// Creates the estimate for streams with this gap objective.
    pub fn new(gap_objective: Duration) -> Self {
        let objective = if gap_objective.is_zero() { DEFAULT_EVENT_GAP } else { gap_objective };
        Self { gap_objective_ms: objective.as_secs_f64() * 1_000.0 }
    }

    /// Returns the share of the running streams that get a late event from a backlog of prefill work.
    pub fn late_share(self, backlog_ms: f64) -> f64 {
        let backlog = backlog_ms / self.gap_objective_ms;
        let ramp = LATE_BACKLOG_SHARE - HARMLESS_BACKLOG_SHARE;
        ((backlog - HARMLESS_BACKLOG_SHARE) / ramp).clamp(0.0, 1.0)
    }

    /// Returns the cost of a backlog for the streams at an engine, in milliseconds.
    pub fn cost_ms(self, backlog_ms: f64, streams: u32) -> f64 {
        self.late_share(backlog_ms) * LATE_STREAM_MS * f64::from(streams)
    }
}
