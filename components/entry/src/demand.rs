//! Demand for each model at this process.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;
use wire::ModelDemand;

const FAST_TIME_CONSTANT: Duration = Duration::from_secs(10);
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(120);
/// Rate below which a model is no longer listed, in tokens a second.
const MIN_LISTED_TOKENS_PER_S: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Average {
    fast: f64,
    slow: f64,
    updated: Timestamp,
}

impl Average {
    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.fast *= (-passed / FAST_TIME_CONSTANT.as_secs_f64()).exp();
        self.slow *= (-passed / SLOW_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated = now;
    }
}

/// Exponential averages of the tokens asked for, by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    models: SortedMap<CompactString, Average>,
}

impl DemandMeter {
    /// Counts a request.
    pub(crate) fn record(&mut self, model: &str, tokens: u64, now: Timestamp) {
        let average = self.models.get_or_insert_with(CompactString::new(model), || Average {
            fast: 0.0,
            slow: 0.0,
            updated: now,
        });
        average.decay(now);
        average.fast += tokens as f64 / FAST_TIME_CONSTANT.as_secs_f64();
        average.slow += tokens as f64 / SLOW_TIME_CONSTANT.as_secs_f64();
    }

    /// Demand now; models without any are dropped.
    pub(crate) fn report(&mut self, now: Timestamp) -> Vec<ModelDemand> {
        self.models.retain(|_, average| {
            average.decay(now);
            average.fast >= MIN_LISTED_TOKENS_PER_S || average.slow >= MIN_LISTED_TOKENS_PER_S
        });
        self.models
            .iter()
            .map(|(model, average)| ModelDemand {
                model: model.clone(),
                fast_tokens_per_s: average.fast as u64,
                slow_tokens_per_s: average.slow as u64,
            })
            .collect()
    }
}
