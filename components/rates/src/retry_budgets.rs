//! Retry budgets by service.

use base::{ProcessId, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use wire::FurtherSends;

use crate::{FleetRetryBudget, RetryBudgetSettings, RetryCounts, RetryDecision};

/// Retry budgets of all services at one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    slack_from: Timestamp,
    budgets: SortedMap<CompactString, FleetRetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets of no service. The clock starts with the process; only on the first start of
    /// the fleet, when no retry can have been made before, the slack may be used at once.
    pub fn new(settings: RetryBudgetSettings, first_start: bool) -> Self {
        let start = Timestamp::default();
        let slack_from = if first_start { start } else { start + settings.window };
        Self { settings, slack_from, budgets: SortedMap::new() }
    }

    /// Replaces the settings of all budgets; recorded requests and retries are kept.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
        self.budgets.values_mut().for_each(|budget| budget.set_settings(settings));
    }

    /// Adds a budget for a service that has none.
    pub fn add_service(&mut self, service: &CompactString) {
        let (settings, slack_from) = (self.settings, self.slack_from);
        self.budgets
            .get_or_insert_with(service.clone(), || FleetRetryBudget::new(settings, slack_from));
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.record_request(now);
        }
    }

    /// Spends one retry of a service if its budget allows it; returns none for an unknown service.
    pub fn try_acquire(
        &mut self,
        service: &str,
        gateways: u32,
        now: Timestamp,
    ) -> Option<RetryDecision> {
        Some(self.budgets.get_mut(service)?.try_acquire(gateways, now))
    }

    /// Returns the requests and retries of this gateway, to report to the other gateways.
    pub fn reports(&mut self, now: Timestamp) -> Vec<FurtherSends> {
        let report = |(service, budget): (&CompactString, &mut FleetRetryBudget)| {
            let counts = budget.counts(now);
            FurtherSends {
                service: short_hash(service.as_bytes()),
                requests: counts.requests,
                further: counts.retries,
            }
        };
        self.budgets.iter_mut().map(report).collect()
    }

    /// Applies another gateway's report on its requests and retries.
    pub fn update_peer(&mut self, peer: &ProcessId, reports: &[FurtherSends], now: Timestamp) {
        for (service, budget) in self.budgets.iter_mut() {
            let hash = short_hash(service.as_bytes());
            if let Some(report) = reports.iter().find(|report| report.service == hash) {
                let counts = RetryCounts { requests: report.requests, retries: report.further };
                budget.update_peer(peer, counts, now);
            }
        }
    }
}
