//! Budget of sends to further targets that all gateways share.
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
pub struct SendBudgetSettings {
    /// Further sends as a share of the requests in a window.
    pub ratio: f64,
    /// Further sends in a window whatever the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and further sends of one gateway to one service in the last window.
#[derive(Clone, Debug)]
pub struct SendBudget {
    settings: SendBudgetSettings,
    requests: VecDeque<Timestamp>,
    further: VecDeque<Timestamp>,
}

/// Requests and further sends of other gateways in the window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerSends {
    /// Requests.
    pub requests: u32,
    /// Sends to further targets.
    pub further: u32,
}

impl SendBudget {
    /// A budget without requests.
    pub const fn new(settings: SendBudgetSettings) -> Self {
        Self { settings, requests: VecDeque::new(), further: VecDeque::new() }
    }

    /// Changes the settings.
    pub const fn set_settings(&mut self, settings: SendBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Timestamp) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one further send, if the share of this gateway among `gateways` or the rest of the whole
    /// budget allows it.
    pub fn try_take(&mut self, gateways: u32, peers: PeerSends, now: Timestamp) -> bool {
        self.forget(now);
        let own = self.requests.len() as f64;
        let used = self.further.len() as f64 + 1.0;
        let own_slack = self.settings.slack / f64::from(gateways.max(1));
        let within_share = used <= USED_PART * (self.settings.ratio * own + own_slack);
        let all = self.settings.ratio * (own + f64::from(peers.requests)) + self.settings.slack;
        let within_pool = used + f64::from(peers.further) <= POOLED_PART * all;
        if !within_share && !within_pool {
            return false;
        }
        self.further.push_back(now);
        true
    }

    /// Requests and further sends in the window, for the other gateways.
    pub fn counts(&mut self, now: Timestamp) -> PeerSends {
        self.forget(now);
        let count = |times: &VecDeque<Timestamp>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        PeerSends { requests: count(&self.requests), further: count(&self.further) }
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.further] {
            while times.front().is_some_and(|at| now.since(*at) >= self.settings.window) {
                times.pop_front();
            }
        }
    }
}
