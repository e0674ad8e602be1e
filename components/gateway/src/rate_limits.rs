//! Rate limits of customers and retry budgets of services on one gateway.

use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use config::{Customer, FleetBounds, FleetConfig};
use rates::{
    CustomerRate, FleetRetryBudget, RetryBudgetSettings, RetryCounts, RetryDecision, SharedBucket,
};
use wire::{AdmittedTokens, FurtherSends};

/// Share of the tolerated excess over a customer's rate that is admitted.
const ADMITTED_EXCESS_SHARE: f64 = 0.6;

/// Rate limit buckets by customer, and retry budgets by service.
#[derive(Debug)]
pub(crate) struct RateLimits {
    first_start: bool,
    bounds: FleetBounds,
    buckets: SortedMap<CompactString, SharedBucket>,
    budgets: SortedMap<CompactString, FleetRetryBudget>,
}

impl RateLimits {
    /// Rate limits without customers.
    pub(crate) const fn new(first_start: bool, bounds: FleetBounds) -> Self {
        Self { first_start, bounds, buckets: SortedMap::new(), budgets: SortedMap::new() }
    }

    /// Sets the bounds; they take effect with the next configuration that is applied.
    pub(crate) const fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
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
        let settings = RetryBudgetSettings {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window: Duration::from_millis(self.bounds.retry_window_ms),
        };
        // The clock starts with the process.
        let slack_from = match self.first_start {
            true => Timestamp::default(),
            false => Timestamp::default() + settings.window,
        };
        for service in &config.services {
            self.budgets.get_or_insert_with(service.name.clone(), || {
                FleetRetryBudget::new(settings, slack_from)
            });
        }
    }

    /// Bucket of a customer.
    pub(crate) fn bucket_mut(&mut self, customer: &str) -> Option<&mut SharedBucket> {
        self.buckets.get_mut(customer)
    }

    /// Counts a request for the retry budget of a service.
    pub(crate) fn record_request(&mut self, service: &str, now: Timestamp) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.record_request(now);
        }
    }

    /// Takes one attempt at a further target from the retry budget of a service; returns none for a
    /// service that is not in the configuration.
    pub(crate) fn try_take_retry(
        &mut self,
        service: &str,
        gateways: u32,
        now: Timestamp,
    ) -> Option<RetryDecision> {
        Some(self.budgets.get_mut(service)?.try_acquire(gateways, now))
    }

    /// Requests and retries of this gateway, reported to the other gateways.
    pub(crate) fn retry_counts(&mut self, now: Timestamp) -> Vec<FurtherSends> {
        self.budgets
            .iter_mut()
            .map(|(service, budget)| {
                let counts = budget.counts(now);
                FurtherSends {
                    service: short_hash(service.as_bytes()),
                    requests: counts.requests,
                    further: counts.retries,
                }
            })
            .collect()
    }

    /// Applies another gateway's report on its requests and retries.
    pub(crate) fn update_peer_retries(
        &mut self,
        peer: &ProcessId,
        sends: &[FurtherSends],
        now: Timestamp,
    ) {
        for (service, budget) in self.budgets.iter_mut() {
            let hash = short_hash(service.as_bytes());
            if let Some(report) = sends.iter().find(|report| report.service == hash) {
                let counts = RetryCounts { requests: report.requests, retries: report.further };
                budget.update_peer(peer, counts, now);
            }
        }
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

/// Admitted rate and burst of a customer.
///
/// The deployment tolerates an excess over the rate in each window. The customer gets a share of
/// it; the rest covers what gateways admit before they receive each other's reports.
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
    }
}
