//! Exponential average of token demand.

use base::Timestamp;

/// Exponentially decaying average of tokens per second.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    window_ms: u64,
    tokens_per_s: f64,
    updated: Timestamp,
}

impl DemandRate {
    /// Creates a rate of zero with a time constant of `window_ms`.
    pub const fn new(window_ms: u64, now: Timestamp) -> Self {
        Self { window_ms, tokens_per_s: 0.0, updated: now }
    }

    /// Adds a demand of `tokens` at `now`.
    pub fn add(&mut self, tokens: u64, now: Timestamp) {
        self.decay(now);
        self.tokens_per_s += tokens as f64 * 1_000.0 / self.window_ms as f64;
    }

    /// Returns the average at `now`, in tokens per second.
    pub fn tokens_per_s(&self, now: Timestamp) -> u64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.tokens_per_s.round() as u64
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed_ms = now.since(self.updated).as_secs_f64() * 1_000.0;
        self.tokens_per_s *= (-elapsed_ms / self.window_ms as f64).exp();
        self.updated = self.updated.max(now);
    }
}
