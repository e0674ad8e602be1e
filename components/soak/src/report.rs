//! What a run of the soak has shown.

use std::fmt;
use std::time::Duration;

use crate::evidence::Evidence;
use crate::finding::Finding;
use crate::schedule::Schedule;

/// Result of one run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Faults.
    pub schedule: Schedule,
    /// Attempts of callers.
    pub attempts: usize,
    /// Attempts with a whole success.
    pub served: usize,
    /// Runs at targets.
    pub runs: usize,
    /// Orders that engines took.
    pub orders: usize,
    /// Median and 99th percentile of the time of a whole success.
    pub latency: (Duration, Duration),
    /// Broken promises.
    pub findings: Vec<Finding>,
}

impl SoakReport {
    pub(crate) fn new(
        seed: u64,
        schedule: Schedule,
        evidence: &Evidence,
        findings: Vec<Finding>,
    ) -> Self {
        let mut times: Vec<Duration> = evidence
            .attempts
            .iter()
            .filter(|attempt| attempt.answer.is_success() && attempt.answer.is_complete)
            .map(|attempt| attempt.ended_at - attempt.sent_at)
            .collect();
        times.sort_unstable();
        let percentile = |part: f64| {
            let at = (times.len() as f64 * part) as usize;
            times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
        };
        Self {
            seed,
            schedule,
            attempts: evidence.attempts.len(),
            served: times.len(),
            runs: evidence.runs.len(),
            orders: evidence.orders.len(),
            latency: (percentile(0.5), percentile(0.99)),
            findings,
        }
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} faults, {} attempts, {} served, {} runs, {} orders, median {} ms, p99 {} ms, {} findings",
            self.seed,
            self.schedule.planned.len(),
            self.attempts,
            self.served,
            self.runs,
            self.orders,
            self.latency.0.as_millis(),
            self.latency.1.as_millis(),
            self.findings.len()
        )?;
        self.findings.iter().try_for_each(|finding| writeln!(f, "  {finding}"))
    }
}
