//! Budget of sends to further targets, within the share that each gateway may use on its own.

use std::collections::VecDeque;
use std::time::Duration;

use base::Timestamp;

/// Part of the budget that is used, so that clocks and messages under way can't exceed it.
const USED_PART: f64 = 0.85;

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

    /// Takes one further send, if the share of this gateway among `gateways` allows it.
    pub fn try_take(&mut self, gateways: u32, now: Timestamp) -> bool {
        self.forget(now);
        let slack = self.settings.slack / f64::from(gateways.max(1));
        let allowed = self.settings.ratio * self.requests.len() as f64 + slack;
        if (self.further.len() + 1) as f64 > USED_PART * allowed {
            return false;
        }
        self.further.push_back(now);
        true
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.further] {
            while times.front().is_some_and(|at| now.since(*at) >= self.settings.window) {
                times.pop_front();
            }
        }
    }
}
