//! Result of a run.

use std::time::Duration;

use base::CustomerId;
use hdrhistogram::Histogram;

use crate::outcome::{CustomerResult, by_customer};
use crate::run::Run;
use crate::{Outcome, RunResult};

impl Run<'_> {
    pub(crate) fn result(&self) -> RunResult {
        let outcomes: Vec<(CustomerId, Outcome)> = self
            .requests
            .iter()
            .map(|r| (r.arrival.customer, r.outcome.unwrap_or(Outcome::Broken)))
            .collect();
        let count = |wanted: fn(&Outcome) -> bool| {
            outcomes.iter().filter(|(_, outcome)| wanted(outcome)).count() as u64
        };
        let names = self.config.customers.iter().map(|customer| customer.name.clone());
        let worst = by_customer(names, &outcomes)
            .into_iter()
            .filter(|customer| customer.inside_rate > 0)
            .min_by(|a, b| a.attained_share.total_cmp(&b.attained_share));
        let attained = count(Outcome::attained) as f64;
        let (first, gap) = latencies(&outcomes);
        RunResult {
            deployment: self.deployment.name.into(),
            policy: self.policy.as_str().into(),
            fault: self.scenario.fault.as_str().into(),
            seed: self.scenario.seed,
            requests: outcomes.len() as u64,
            attained_per_engine_s: attained
                / self.scenario.length_s as f64
                / self.sides.len() as f64,
            model_moves: self.model_moves,
            worst_customer: worst.unwrap_or_else(|| CustomerResult {
                customer: "none".into(),
                inside_rate: 0,
                attained_share: 0.0,
            }),
            refused_inside_rate: count(|o| *o == Outcome::RefusedInsideRate),
            refused_busy: count(|o| *o == Outcome::RefusedBusy),
            broken: count(|o| *o == Outcome::Broken),
            excess_tokens: self.judge.excess_tokens(),
            first_token_p95_ms: first,
            token_gap_p95_ms: gap,
        }
    }
}

/// 95th percentiles of time to first token and mean time between tokens, in milliseconds.
fn latencies(outcomes: &[(CustomerId, Outcome)]) -> (u64, u64) {
    let percentile = |of: fn(&Outcome) -> Option<Duration>| {
        // Two significant digits are enough for a table, and their range grows as needed.
        let Ok(mut histogram) = Histogram::<u64>::new(2) else { return 0 };
        for value in outcomes.iter().filter_map(|(_, outcome)| of(outcome)) {
            let millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
            histogram.saturating_record(millis);
        }
        histogram.value_at_quantile(0.95)
    };
    let first = percentile(|outcome| match outcome {
        Outcome::Answered { first_token, .. } => Some(*first_token),
        _ => None,
    });
    let gap = percentile(|outcome| match outcome {
        Outcome::Answered { token_gap, .. } => Some(*token_gap),
        _ => None,
    });
    (first, gap)
}
