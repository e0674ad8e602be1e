//! Results of requests and of a run.

use std::time::Duration;

use base::{CustomerId, Timestamp};
use compact_str::CompactString;
use serde::Serialize;

/// Longest time to the first token that counts as attained (design page, size to design for).
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(360);
/// Longest mean time between tokens that counts as attained (same source).
const TOKEN_GAP_LIMIT: Duration = Duration::from_millis(37);

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full.
    Answered {
        /// From arrival to the first token.
        first_token: Duration,
        /// Mean time between tokens.
        token_gap: Duration,
    },
    /// Broke off and was not resumed.
    Broken,
    /// Refused by rate although inside the customer's rate and burst.
    RefusedInsideRate,
    /// Refused by rate.
    RefusedAboveRate,
    /// Refused for lack of capacity or time.
    RefusedBusy,
}

impl Outcome {
    /// Whether it met both latency targets.
    pub fn attained(&self) -> bool {
        match self {
            Self::Answered { first_token, token_gap } => {
                *first_token <= FIRST_TOKEN_LIMIT && *token_gap <= TOKEN_GAP_LIMIT
            }
            Self::Broken | Self::RefusedInsideRate | Self::RefusedAboveRate | Self::RefusedBusy => {
                false
            }
        }
    }
}

/// Times of a request in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progressing {
    pub(crate) first: Option<Timestamp>,
    pub(crate) last: Option<Timestamp>,
    pub(crate) tokens: u64,
}

impl Progressing {
    /// Notes a token.
    pub(crate) fn token(&mut self, now: Timestamp) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
    }

    /// Outcome of a request that arrived at `arrived`; `delay` is the way back to the entry process.
    pub(crate) fn finish(&self, arrived: Timestamp, delay: Duration) -> Outcome {
        let (first, last) = (self.first.unwrap_or(arrived), self.last.unwrap_or(arrived));
        let gaps = u32::try_from(self.tokens.saturating_sub(1).max(1)).unwrap_or(u32::MAX);
        Outcome::Answered {
            first_token: first.since(arrived) + delay,
            token_gap: last.since(first) / gaps,
        }
    }
}

/// Attainment of one customer.
#[derive(Clone, Debug, Serialize)]
pub struct CustomerResult {
    /// Customer.
    pub customer: CompactString,
    /// Requests inside its rate and burst.
    pub inside_rate: u64,
    /// Those that attained both targets, as a share.
    pub attained_share: f64,
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Deployment.
    pub deployment: CompactString,
    /// Policy.
    pub policy: CompactString,
    /// Fault.
    pub fault: CompactString,
    /// Seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Attained requests a second and engine.
    pub attained_per_engine_s: f64,
    /// Loads of models.
    pub model_moves: u64,
    /// Lowest attainment of a customer among its requests inside rate and burst.
    pub worst_customer: CustomerResult,
    /// Refusals inside rate and burst.
    pub refused_inside_rate: u64,
    /// Refusals for lack of capacity or time.
    pub refused_busy: u64,
    /// Broken answers.
    pub broken: u64,
    /// Tokens admitted above rate and burst.
    pub excess_tokens: u64,
    /// First token, 95th percentile in milliseconds.
    pub first_token_p95_ms: u64,
    /// Mean time between tokens of a request, 95th percentile in milliseconds.
    pub token_gap_p95_ms: u64,
}

/// Attainment by customer, from outcomes.
pub(crate) fn by_customer(
    names: impl Iterator<Item = CompactString>,
    outcomes: &[(CustomerId, Outcome)],
) -> Vec<CustomerResult> {
    names
        .zip(0..)
        .map(|(customer, id)| {
            let inside = outcomes
                .iter()
                .filter(|(owner, o)| *owner == CustomerId(id) && *o != Outcome::RefusedAboveRate);
            let inside_rate = inside.clone().count() as u64;
            let attained = inside.filter(|(_, o)| o.attained()).count();
            let attained_share = attained as f64 / inside_rate.max(1) as f64;
            CustomerResult { customer, inside_rate, attained_share }
        })
        .collect()
}
