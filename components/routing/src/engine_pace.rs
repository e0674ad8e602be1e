//! How fast engines read prompts, learned from answers.

use base::SortedMap;
use compact_str::CompactString;

/// Time to read a prompt token on a model that was never seen, in microseconds: between the fastest
/// and the slowest model of the deployments of today.
const UNKNOWN_MICROS_PER_TOKEN: f64 = 20.0;
/// Weight of an observation that is faster than what is known.
const FASTER_RATE: f64 = 0.2;
/// Weight of an observation that is slower. A wait that nobody knew of looks like a slow engine, so the
/// pace follows the fast tenth of the observations.
const SLOWER_RATE: f64 = 0.02;
/// Most that an observation counts for, in known paces.
const MOST_SLOWER: f64 = 2.0;
/// Bounds of a plausible observation, in microseconds a token.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 1.0..=400.0;
/// Fewest tokens that an observation must cover; below, fixed costs hide the pace.
const MIN_TOKENS: u64 = 400;

/// Time to read prompt tokens, by model.
#[derive(Clone, Debug, Default)]
pub struct EnginePace {
    micros_per_token: SortedMap<CompactString, f64>,
}

impl EnginePace {
    /// Knows no model.
    pub const fn new() -> Self {
        Self { micros_per_token: SortedMap::new() }
    }

    /// Estimated time to read `tokens` of a prompt, in milliseconds.
    pub fn read_ms(&self, model: &str, tokens: u64) -> f64 {
        let micros = self.micros_per_token.get(model).copied().unwrap_or(UNKNOWN_MICROS_PER_TOKEN);
        micros * tokens as f64 / 1_000.0
    }

    /// Takes an observation: an engine that had nothing else to read took `took_ms` for `tokens`.
    pub fn observe(&mut self, model: &str, tokens: u64, took_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let seen = took_ms * 1_000.0 / tokens as f64;
        if !PLAUSIBLE.contains(&seen) {
            return;
        }
        match self.micros_per_token.get_mut(model) {
            Some(known) if seen < *known => *known += FASTER_RATE * (seen - *known),
            Some(known) => *known += SLOWER_RATE * (seen.min(MOST_SLOWER * *known) - *known),
            None => {
                self.micros_per_token.insert(CompactString::new(model), seen);
            }
        }
    }
}
