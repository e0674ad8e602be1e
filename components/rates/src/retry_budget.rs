//! Retry budget shared by all gateways.
//!
//! A retry is a send of a request to a further target. Each gateway may always use its own share of
//! the budget. It may also use what the others leave unused while the whole budget is far from
//! exhausted; the margin is needed because the counts of the other gateways arrive with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp};

/// Usable fraction of a gateway's share; the rest covers clock differences and messages in flight.
const USABLE_FRACTION: f64 = 0.85;

/// Age from which a report is no longer current: the gateway has ended, restarted or is cut off.
/// Reports arrive several times in this period.
const REPORT_CURRENT: Duration = Duration::from_secs(1);

/// Fraction of the whole budget up to which a gateway may exceed its own share.
const POOL_FRACTION: f64 = 0.6;

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
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryDecision {
    /// Part of the budget that the retry was taken from; none if the budget is exhausted.
    pub source: Option<RetrySource>,
    /// Requests and retries of this gateway, without this retry.
    pub own: RetryCounts,
    /// Sum of what counts of the other gateways' reports.
    pub peers: RetryCounts,
    /// Number of the reports.
    pub reports: usize,
    /// Age of the oldest report.
    pub oldest_report: Duration,
}

/// Part of the budget that a retry is taken from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySource {
    /// This gateway's own share.
    OwnShare,
    /// What the whole fleet leaves unused.
    Pool,
}

impl RetrySource {
    /// Value for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnShare => "own_share",
            Self::Pool => "pool",
        }
    }
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

    /// Spends one retry if this gateway's share among `gateways`, or the unused remainder of the
    /// whole budget, allows it.
    pub fn try_acquire(&mut self, gateways: u32, now: Timestamp) -> RetryDecision {
        let own = self.counts(now);
        let peers = self.peers.values().map(|report| self.counted(report, now)).fold(
            RetryCounts::default(),
            |sum, counts| RetryCounts {
                requests: sum.requests + counts.requests,
                retries: sum.retries + counts.retries,
            },
        );
        let source = self.source(gateways, peers, now);
        if source.is_some() {
            self.retries.push_back(now);
        }
        let ages = self.peers.values().map(|report| now.since(report.received));
        RetryDecision {
            source,
            own,
            peers,
            reports: self.peers.len(),
            oldest_report: ages.max().unwrap_or_default(),
        }
    }

    /// Returns what counts of a report. The requests of a process that no longer reports entitle
    /// nobody to retries, since its callers may send them again to other gateways; its retries
    /// count as far as its own requests did not cover them.
    fn counted(&self, report: &PeerReport, now: Timestamp) -> RetryCounts {
        let counts = report.counts;
        if now.since(report.received) < REPORT_CURRENT {
            return counts;
        }
        let covered = (self.settings.ratio * f64::from(counts.requests)) as u32;
        RetryCounts { requests: 0, retries: counts.retries.saturating_sub(covered) }
    }

    /// Returns the part of the budget that allows one more retry.
    fn source(&self, gateways: u32, peers: RetryCounts, now: Timestamp) -> Option<RetrySource> {
        let own = self.requests.len() as f64;
        let used = self.retries.len() as f64 + 1.0;
        let slack = if now >= self.slack_from { self.settings.slack } else { 0.0 };
        let own_slack = slack / f64::from(gateways.max(1));
        let within_share = used <= USABLE_FRACTION * (self.settings.ratio * own + own_slack);
        let all = self.settings.ratio * (own + f64::from(peers.requests)) + slack;
        let within_pool = used + f64::from(peers.retries) <= POOL_FRACTION * all;
        match (within_share, within_pool) {
            (true, _) => Some(RetrySource::OwnShare),
            (false, true) => Some(RetrySource::Pool),
            (false, false) => None,
        }
    }

    /// Returns the requests and retries in the window, to report to the other gateways.
    pub fn counts(&mut self, now: Timestamp) -> RetryCounts {
        self.expire(now);
        let count = |times: &VecDeque<Timestamp>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        RetryCounts { requests: count(&self.requests), retries: count(&self.retries) }
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
