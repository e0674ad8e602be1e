//! Rate limits of customers and retry budgets of services on one gateway.

use std::time::Duration;

use base::{Incarnation, ProcessName, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use config::{Customer, FleetBounds, FleetConfig};
use rates::{CustomerRate, RetryBudgetSettings, RetryBudgets, SharedBucket};
use wire::AdmittedTokens;

/// Share of the tolerated excess over a customer's rate that is admitted.
const ADMITTED_EXCESS_SHARE: f64 = 0.6;

/// Share of the tolerated excess in one window by which resumed streams may overdraw a bucket.
const OVERDRAFT_EXCESS_SHARE: f64 = 0.2;

/// Rate limit buckets by customer, and retry budgets by service.
#[derive(Debug)]
pub(crate) struct RateLimits {
    first_start: bool,
    bounds: FleetBounds,
    buckets: SortedMap<CompactString, SharedBucket>,
    pub(crate) retries: RetryBudgets,
}

impl RateLimits {
    /// Rate limits without customers.
    pub(crate) fn new(first_start: bool, bounds: FleetBounds) -> Self {
        let retries = RetryBudgets::new(retry_settings(&bounds), first_start);
        Self { first_start, bounds, buckets: SortedMap::new(), retries }
    }

    /// Sets the bounds: for retries at once, for customers with the next configuration that is
    /// applied.
    pub(crate) fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
        self.retries.set_settings(retry_settings(&bounds));
    }

    /// Applies the customers and services of a configuration.
    pub(crate) fn apply_configuration(&mut self, config: &FleetConfig, now: Timestamp) {
        for customer in &config.customers {
            let rate = admitted_rate(customer, &self.bounds);
            let first_start = self.first_start;
            self.buckets
                .get_or_insert_with(customer.name.clone(), || {
                    SharedBucket::new(rate, first_start, now)
                })
                .set_rate(rate);
        }
        for service in &config.services {
            self.retries.add_service(&service.name);
        }
    }

    /// Bucket of a customer.
    pub(crate) fn bucket_mut(&mut self, customer: &str) -> Option<&mut SharedBucket> {
        self.buckets.get_mut(customer)
    }

    /// Applies another gateway's report on the tokens that it admitted.
    pub(crate) fn update_peer_admitted(
        &mut self,
        peer: &ProcessName,
        incarnation: Incarnation,
        admitted: &[AdmittedTokens],
    ) {
        for (name, bucket) in self.buckets.iter_mut() {
            let hash = short_hash(name.as_bytes());
            if let Some(report) = admitted.iter().find(|report| report.customer == hash) {
                bucket.update_peer(peer, incarnation, report.tokens, report.asked_per_s);
            }
        }
    }

    /// Removes a gateway that has expired.
    pub(crate) fn remove_peer(&mut self, peer: &ProcessName) {
        self.buckets.values_mut().for_each(|bucket| bucket.remove_peer(peer));
    }

    /// Tokens that this gateway has admitted, reported to the other gateways.
    pub(crate) fn admitted(&self) -> Vec<AdmittedTokens> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.admitted() > 0)
            .map(|(name, bucket)| AdmittedTokens {
                customer: short_hash(name.as_bytes()),
                tokens: bucket.admitted(),
                asked_per_s: bucket.demand_per_s(),
            })
            .collect()
    }
}

const fn retry_settings(bounds: &FleetBounds) -> RetryBudgetSettings {
    RetryBudgetSettings {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: Duration::from_millis(bounds.retry_window_ms),
    }
}

/// Admitted rate and burst of a customer.
///
/// The deployment tolerates an excess over the rate in each window. The customer gets a share of
/// it, and resumed streams another one, as a debt that later requests repay; the rest covers what
/// gateways admit before they receive each other's reports.
fn admitted_rate(customer: &Customer, bounds: &FleetBounds) -> CustomerRate {
    let rate = customer.rate_tokens_per_s;
    if rate == 0 {
        return CustomerRate::default();
    }
    let window_s = bounds.rate_window_ms as f64 / 1_000.0;
    let excess = rate as f64 * bounds.rate_overage + bounds.rate_slack_tokens as f64 / window_s;
    CustomerRate {
        tokens_per_s: rate + (ADMITTED_EXCESS_SHARE * excess) as u64,
        burst_tokens: customer.burst_tokens,
        overdraft_tokens: (OVERDRAFT_EXCESS_SHARE * excess * window_s) as u64,
    }
}
