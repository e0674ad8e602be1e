//! Settings of the quarantine.

use std::time::Duration;

/// When a part is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Fewest crashes that quarantine a part.
    pub min_crashes: usize,
    /// Probability that a sound part was in that many crashes in a row, below which a part is
    /// quarantined.
    pub false_positive: f64,
    /// Time within which crashes count once: engines that lose power together end on requests that
    /// have nothing to do with it.
    pub crash_gap: Duration,
    /// Age from which a crash counts: by then an output at another gateway has been reported.
    pub settle_time: Duration,
    /// Longest time that a report takes; times of other gateways are known no better.
    pub report_delay: Duration,
    /// Age up to which a crash counts.
    pub evidence_lifetime: Duration,
    /// Length of a first quarantine; each failed trial doubles it.
    pub hold: Duration,
    /// Longest quarantine.
    pub max_hold: Duration,
    /// Time over which the gateways spread their trials after a quarantine, and between two trials of
    /// one gateway.
    pub trial_spread: Duration,
    /// Time for which an output is reported, so that lost reports do no harm.
    pub clear_reported: Duration,
    /// Parts whose last output is remembered, for crashes that are reported after it.
    pub max_outputs: usize,
    /// Most parts with evidence; bounds the memory.
    pub max_parts: usize,
    /// Most parts of a request that are suspected.
    pub max_parts_of_request: usize,
    /// Most parts in a report to the other gateways.
    pub max_reported: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            false_positive: 1e-6,
            crash_gap: Duration::from_millis(500),
            settle_time: Duration::from_millis(600),
            report_delay: Duration::from_secs(1),
            evidence_lifetime: Duration::from_secs(600),
            hold: Duration::from_secs(600),
            max_hold: Duration::from_secs(14_400),
            trial_spread: Duration::from_secs(30),
            clear_reported: Duration::from_secs(5),
            max_outputs: 1_024,
            max_parts: 256,
            max_parts_of_request: 16,
            max_reported: 32,
        }
    }
}
