//! Averages of demand.

use base::Timestamp;

/// Exponential average of tokens a second.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    window_ms: u64,
    tokens_per_s: f64,
    updated: Timestamp,
}

impl DemandRate {
    /// A rate of zero, averaged over `window_ms`.
    pub const fn new(window_ms: u64, now: Timestamp) -> Self {
        Self { window_ms, tokens_per_s: 0.0, updated: now }
    }

    /// Adds demand.
    pub fn add(&mut self, tokens: u64, now: Timestamp) {
        self.decay(now);
        self.tokens_per_s += tokens as f64 * 1_000.0 / self.window_ms as f64;
    }

    /// The average now, in tokens a second.
    pub fn tokens_per_s(&self, now: Timestamp) -> u64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.tokens_per_s.round() as u64
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64() * 1_000.0;
        self.tokens_per_s *= (-passed / self.window_ms as f64).exp();
        self.updated = self.updated.max(now);
    }
}
