//! Usual time of a kind of work over all targets.

/// Assumed time before the first observation, in milliseconds.
const DEFAULT_MS: f64 = 50.0;
/// Range of a usual time, in milliseconds.
const BOUNDS_MS: (f64, f64) = (0.1, 60_000.0);
/// Lowest weight of an observation. Work that becomes slower at all targets is usual again after some
/// 50 observations.
const MIN_GAIN: f64 = 0.02;
/// Observations from which the average is used for comparisons.
const MIN_OBSERVATIONS: u32 = 10;
/// Largest difference of an observation that counts, as a natural logarithm.
const MAX_STEP: f64 = 1.5;

/// Geometric moving average of the times of work, so that a few slow targets or requests don't
/// determine what is usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualTime {
    log_ms: f64,
    observations: u32,
}

impl Default for UsualTime {
    fn default() -> Self {
        Self { log_ms: DEFAULT_MS.ln(), observations: 0 }
    }
}

impl UsualTime {
    /// Returns the usual time in milliseconds.
    pub(crate) fn ms(&self) -> f64 {
        self.log_ms.exp()
    }

    /// Returns whether enough was observed to compare with it.
    pub(crate) const fn is_known(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }

    /// Records an observed time, without the part that a target's concurrency explains.
    pub(crate) fn record(&mut self, took_ms: f64) {
        let (least, most) = BOUNDS_MS;
        self.observations = self.observations.saturating_add(1);
        let step = took_ms.clamp(least, most).ln() - self.log_ms;
        if self.observations == 1 {
            self.log_ms += step;
            return;
        }
        let gain = (1.0 / f64::from(self.observations)).max(MIN_GAIN);
        self.log_ms += gain * step.clamp(-MAX_STEP, MAX_STEP);
    }
}
