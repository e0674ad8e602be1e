//! Rate limit of a stand-in.

use tokio::time::Instant;

/// Token bucket by the runtime's clock.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    level: Option<(f64, Instant)>,
}

impl Rate {
    /// Takes one unit if the rate allows it.
    pub(crate) fn take(&mut self, per_s: f64, burst: f64) -> bool {
        let now = Instant::now();
        let level = self.level.map_or(burst, |(level, updated)| {
            (level + (now - updated).as_secs_f64() * per_s).min(burst)
        });
        let allowed = level >= 1.0;
        self.level = Some((if allowed { level - 1.0 } else { level }, now));
        allowed
    }
}
