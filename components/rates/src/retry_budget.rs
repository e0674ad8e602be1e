//! Budget of retries that all gateways share.
//!
//! Each gateway may always use its own share. What the others leave unused may be used by whoever needs
//! it, as long as the whole budget is far from spent: what the others do meanwhile is known late.

use std::collections::VecDeque;
use std::time::Duration;

use base::Timestamp;

/// Part of the budget that is used, so that clocks and messages under way can't exceed it.
const USED_PART: f64 = 0.85;

/// Part of the whole budget up to which a gateway may use more than its own share.
const POOLED_PART: f64 = 0.6;

/// Settings of the budget, for one service over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Further sends as a share of the requests in a window.
    pub ratio: f64,
    /// Further sends in a window whatever the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries of one gateway to one service in the last window.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    settings: RetryBudgetSettings,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Requests and retries of other gateways in the window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryCounts {
    /// Requests.
    pub requests: u32,
    /// retries.
    pub retries: u32,
}

impl FleetRetryBudget {
    /// A budget without requests.
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Changes the settings.
    pub const fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry, if the share of this gateway among `gateways` or the rest of the whole
    /// budget allows it.
    pub fn try_acquire(&mut self, gateways: u32, peers: RetryCounts, now: Timestamp) -> bool {
        self.forget(now);
        let own = self.requests.len() as f64;
        let used = self.retries.len() as f64 + 1.0;
        let own_slack = self.settings.slack / f64::from(gateways.max(1));
        let within_share = used <= USED_PART * (self.settings.ratio * own + own_slack);
        let all = self.settings.ratio * (own + f64::from(peers.requests)) + self.settings.slack;
        let within_pool = used + f64::from(peers.retries) <= POOLED_PART * all;
        if !within_share && !within_pool {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Requests and retries in the window, for the other gateways.
    pub fn counts(&mut self, now: Timestamp) -> RetryCounts {
        self.forget(now);
        let count = |times: &VecDeque<Timestamp>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        RetryCounts { requests: count(&self.requests), retries: count(&self.retries) }
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= self.settings.window) {
                times.pop_front();
            }
        }
    }
}
