//! Concurrency of a target beyond which further requests only wait.

use std::time::Duration;

use base::Timestamp;

use crate::slowdown_estimate::fraction_left;

/// Highest concurrency whose times are used. It bounds the work of a fit to a few microseconds; a knee
/// above it is not found.
const MAX_CONCURRENCY: usize = 24;
/// Time constant after which an observation loses its weight.
const MEMORY: Duration = Duration::from_secs(60);
/// Highest weight of the observations at one concurrency, so that a change is noticed.
const MAX_WEIGHT: f64 = 30.0;
/// Squared error that a knee must explain beyond what a constant time explains. Times vary by a factor
/// of five, a variance of about 0.25 as logarithms; this is a likelihood ratio of about 50.
const MIN_EVIDENCE: f64 = 2.0;
/// Age from which observations support no knee.
const EXPIRY: Duration = Duration::from_secs(60);

/// Times at one concurrency.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    mean_log: f64,
    weight: f64,
    updated: Timestamp,
}

/// Fit of the time of a request at concurrency `n`, relative to its time alone: 1 up to the knee, and
/// proportional to `n` beyond it, where the throughput is constant.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyKnee {
    /// Times by concurrency, from 1.
    times: Vec<Times>,
    knee: Option<u32>,
    updated: Timestamp,
}

impl ConcurrencyKnee {
    /// Records the logarithm of a request's time at a concurrency of `in_flight`, relative to the time
    /// of a request alone.
    pub(crate) fn record(&mut self, in_flight: u32, log_growth: f64, now: Timestamp) {
        let at = in_flight.max(1) as usize - 1;
        if at >= MAX_CONCURRENCY {
            return;
        }
        if self.times.len() <= at {
            self.times.resize(at + 1, Times::default());
        }
        for times in &mut self.times {
            times.weight *= fraction_left(now.since(times.updated), MEMORY);
            times.updated = now;
        }
        let times = &mut self.times[at];
        times.weight = (times.weight + 1.0).min(MAX_WEIGHT);
        times.mean_log += (log_growth - times.mean_log) / times.weight.max(1.0);
        self.knee = self.fit();
        self.updated = now;
    }

    /// Returns the knee, if the observations clearly show one.
    pub(crate) fn knee(&self, now: Timestamp) -> Option<u32> {
        self.knee.filter(|_| now.since(self.updated) < EXPIRY)
    }

    /// Returns the time of a request at a concurrency of `in_flight` relative to its time alone.
    pub(crate) fn growth(&self, in_flight: f64, now: Timestamp) -> f64 {
        self.knee(now).map_or(1.0, |knee| (in_flight / f64::from(knee)).max(1.0))
    }

    fn fit(&self) -> Option<u32> {
        let without = self.squared_error(None);
        let highest = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        (1..highest)
            .map(|knee| (self.squared_error(Some(knee)), knee))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(error, _)| error + MIN_EVIDENCE < without)
            .map(|(_, knee)| knee)
    }

    fn squared_error(&self, knee: Option<u32>) -> f64 {
        let log_growth = |concurrency: u32| {
            knee.map_or(0.0, |knee| (f64::from(concurrency) / f64::from(knee)).ln().max(0.0))
        };
        (1..)
            .zip(&self.times)
            .map(|(concurrency, times)| {
                times.weight * (times.mean_log - log_growth(concurrency)).powi(2)
            })
            .sum()
    }
}
