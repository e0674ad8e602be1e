//! How fast engines read prompts, learned from answers.

use base::SortedMap;
use compact_str::CompactString;

/// Time to read a prompt token on a model that was never seen, in microseconds: between the fastest
/// and the slowest model of the deployments of today.
const DEFAULT_MICROS_PER_TOKEN: f64 = 20.0;
/// Weight of an observation that is faster than what is known.
const FASTER_WEIGHT: f64 = 0.2;
/// Weight of an observation that is slower. A wait that nobody knew of looks like a slow engine, so the
/// pace follows the fast tenth of the observations.
const SLOWER_WEIGHT: f64 = 0.02;
/// Most that an observation counts for, in known paces.
const MAX_SLOWDOWN_RATIO: f64 = 2.0;
/// Bounds of a plausible observation, in microseconds a token.
const PLAUSIBLE_MICROS_PER_TOKEN: std::ops::RangeInclusive<f64> = 1.0..=400.0;
/// Fewest tokens that an observation must cover; below, fixed costs hide the pace.
const MIN_OBSERVED_TOKENS: u64 = 400;

/// Time to read prompt tokens, by model.
#[derive(Clone, Debug, Default)]
pub struct PrefillEstimator {
    micros_per_token: SortedMap<CompactString, f64>,
}

impl PrefillEstimator {
    /// Knows no model.
    pub const fn new() -> Self {
        Self { micros_per_token: SortedMap::new() }
    }

    /// Estimated time to read `tokens` of a prompt, in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u64) -> f64 {
        let micros = self.micros_per_token.get(model).copied().unwrap_or(DEFAULT_MICROS_PER_TOKEN);
        micros * tokens as f64 / 1_000.0
    }

    /// Takes an observation: an engine that had nothing else to read took `took_ms` for `tokens`.
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
