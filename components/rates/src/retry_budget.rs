//! Retry budget shared by all gateways.
//!
//! A retry is a send of a request to a further target. What is left of the budget, as far as the
//! reports of the other gateways tell, is divided evenly among the reporting gateways, and each
//! takes no more than its part within the time that reports need. The retries of all gateways
//! together therefore stay within the budget, and a gateway can use nearly all of it while the
//! others use nothing. The slack of gateways that don't report is left to them.

use std::collections::VecDeque;
use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp};

/// Usable fraction of the budget; the rest covers retries that arrive closer together than they
/// were sent.
const USABLE_FRACTION: f64 = 0.85;

/// Time within which the other gateways know of a retry.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Age from which a report is no longer current: the gateway has ended, restarted or is cut off.
/// Reports arrive several times in this period.
const REPORT_CURRENT: Duration = Duration::from_secs(1);

/// Retry budget of one service over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed retries per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of the number of requests.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of one gateway to one service within the sliding window, with what the
/// other gateways reported of theirs.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    settings: RetryBudgetSettings,
    /// Time from which the slack may be used.
    slack_from: Timestamp,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    /// Newest report of each process; those of ended processes are kept for one window.
    peers: SortedMap<ProcessId, PeerReport>,
}

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    counts: RetryCounts,
    received: Timestamp,
}

/// Decision on a retry, with what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is allowed.
    pub allowed: bool,
    /// Requests and retries of this gateway, without this retry.
    pub own: RetryCounts,
    /// Sum of what the other gateways reported.
    pub peers: RetryCounts,
    /// Retries left for all reporting gateways; those that this gateway made within the report delay
    /// are not taken off.
    pub left: f64,
    /// Number of gateways whose reports are current, with this one.
    pub reporting: u32,
}

/// Number of requests and retries in the window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryCounts {
    /// Requests, without their retries.
    pub requests: u32,
    /// Retries to further targets.
    pub retries: u32,
}

impl FleetRetryBudget {
    /// Creates a budget with no recorded requests.
    ///
    /// A process that starts while others are running has no record of the retries of its
    /// predecessor. It may use the slack only from `slack_from`, one window after its start.
    pub const fn new(settings: RetryBudgetSettings, slack_from: Timestamp) -> Self {
        Self {
            settings,
            slack_from,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            peers: SortedMap::new(),
        }
    }

    /// Replaces the settings; recorded requests and retries are kept.
    pub const fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Applies another gateway's report of its requests and retries in the window.
    pub fn update_peer(&mut self, peer: &ProcessId, counts: RetryCounts, now: Timestamp) {
        self.peers.insert(peer.clone(), PeerReport { counts, received: now });
    }

    /// Spends one retry if this gateway's part of what is left allows it. `gateways` is the number
    /// of gateways that may be running, including this one.
    pub fn try_acquire(&mut self, gateways: u32, now: Timestamp) -> RetryDecision {
        let own = self.counts(now);
        let reporting = self.peers.values().filter(|report| report.is_current(now)).count();
        let reporting = u32::try_from(reporting).unwrap_or(u32::MAX).saturating_add(1);
        let left = self.left(reporting, gateways, now);
        let allowed = self.allows_one_more(left, reporting, now);
        if allowed {
            self.retries.push_back(now);
        }
        let peers = self.peers.values().fold(RetryCounts::default(), |sum, report| RetryCounts {
            requests: sum.requests + report.counts.requests,
            retries: sum.retries + report.counts.retries,
        });
        RetryDecision { allowed, own, peers, left, reporting }
    }

    /// Returns the requests and retries in the window, to report to the other gateways.
    pub fn counts(&mut self, now: Timestamp) -> RetryCounts {
        self.expire(now);
        let count = |times: &VecDeque<Timestamp>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        RetryCounts { requests: count(&self.requests), retries: count(&self.retries) }
    }

    /// Retries left for all reporting gateways. Those of this gateway within the report delay are
    /// not taken off, since they come out of its part.
    fn left(&self, reporting: u32, gateways: u32, now: Timestamp) -> f64 {
        let entitled = |requests: f64| -> f64 { USABLE_FRACTION * self.settings.ratio * requests };
        let slack = if now >= self.slack_from { self.settings.slack } else { 0.0 };
        let reporting_fraction = f64::from(reporting) / f64::from(gateways.max(reporting));
        let own_older = self.retries.len() - self.retries_within(REPORT_DELAY, now);
        let own = entitled(self.requests.len() as f64) - own_older as f64;
        let peers = self.peers.values().map(|report| {
            let left =
                entitled(f64::from(report.counts.requests)) - f64::from(report.counts.retries);
            // The callers of a process that no longer reports send elsewhere, so what it left
            // unused is not available; what it used beyond that stays spent.
            if report.is_current(now) { left } else { left.min(0.0) }
        });
        USABLE_FRACTION * slack * reporting_fraction + own + peers.sum::<f64>()
    }

    /// Whether this gateway's part of what is left allows one more retry. A part below 1 allows one
    /// retry in a correspondingly longer time.
    fn allows_one_more(&self, left: f64, reporting: u32, now: Timestamp) -> bool {
        if left < 1.0 {
            return false;
        }
        let part = left / f64::from(reporting);
        let period = REPORT_DELAY.div_f64(part.min(1.0));
        self.retries_within(period, now) as f64 + 1.0 <= part.max(1.0)
    }

    fn retries_within(&self, period: Duration, now: Timestamp) -> usize {
        self.retries.len() - self.retries.partition_point(|at| now.since(*at) >= period)
    }

    fn expire(&mut self, now: Timestamp) {
        let window = self.settings.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
        self.peers.retain(|_, report| now.since(report.received) < window);
    }
}

impl PeerReport {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.received) < REPORT_CURRENT
    }
}
