//! Estimate of the prefill time per model, learned from responses.

use base::SortedMap;
use compact_str::CompactString;

/// Prefill time per token of a model without observations, in microseconds: between the fastest and
/// the slowest model of current deployments.
const DEFAULT_MICROS_PER_TOKEN: f64 = 20.0;
/// Weight of an observation that is faster than the estimate.
const FASTER_WEIGHT: f64 = 0.2;
/// Weight of an observation that is slower than the estimate. An unknown wait is indistinguishable
/// from a slow engine, so the estimate follows the fastest tenth of the observations.
const SLOWER_WEIGHT: f64 = 0.02;
/// Maximum value of an observation, as a multiple of the current estimate.
const MAX_SLOWDOWN_RATIO: f64 = 2.0;
/// Range of plausible observations, in microseconds per token; others are ignored.
const PLAUSIBLE_MICROS_PER_TOKEN: std::ops::RangeInclusive<f64> = 1.0..=400.0;
/// Minimum number of tokens of an observation; with fewer, fixed costs dominate.
const MIN_OBSERVED_TOKENS: u64 = 400;

/// Estimated prefill time per token, by model.
#[derive(Clone, Debug, Default)]
pub struct PrefillEstimator {
    micros_per_token: SortedMap<CompactString, f64>,
}

impl PrefillEstimator {
    /// Creates an estimator without observations.
    pub const fn new() -> Self {
        Self { micros_per_token: SortedMap::new() }
    }

    /// Returns the estimated prefill time of `tokens` prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u64) -> f64 {
        let micros = self.micros_per_token.get(model).copied().unwrap_or(DEFAULT_MICROS_PER_TOKEN);
        micros * tokens as f64 / 1_000.0
    }

    /// Records that an engine without other prefill work took `took_ms` for `tokens`.
    pub fn observe(&mut self, model: &str, tokens: u64, took_ms: f64) {
        if tokens < MIN_OBSERVED_TOKENS {
            return;
        }
        let seen = took_ms * 1_000.0 / tokens as f64;
        if !PLAUSIBLE_MICROS_PER_TOKEN.contains(&seen) {
            return;
        }
        match self.micros_per_token.get_mut(model) {
            Some(known) if seen < *known => *known += FASTER_WEIGHT * (seen - *known),
            Some(known) => {
                *known += SLOWER_WEIGHT * (seen.min(MAX_SLOWDOWN_RATIO * *known) - *known)
            }
            None => {
                self.micros_per_token.insert(CompactString::new(model), seen);
            }
        }
    }
}
