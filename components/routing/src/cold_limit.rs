//! Limit on the requests to a target while it is cold.
//!
//! A target is cold for some time after its start, and possibly again later. While it is, all gateways
//! together send it no more than a bounded number of requests in any second. A fixed number of the
//! known gateways, chosen by the target's id, share the usual rate evenly; each may send one request
//! at once. The sum of what they may send in a second stays within the bound, also while gateways
//! don't hear each other. What a gateway doesn't use of its share is lost.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::SharingGateways;

/// Window for which the shares are computed, in seconds: the second in which requests are counted,
/// and the time by which the set-up of a connection may delay one request more than the next one.
const WINDOW_S: f64 = 1.25;
/// Requests that a gateway may send at once.
const DEPTH: f64 = 1.0;
/// Longest time for which a target's report that it is cold is believed.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(600);
/// Time after an event that may make targets cold within which their entries may not show it yet: a
/// heartbeat of 1.2 s, a read interval, a failed call and the datagrams.
const REPORT_LAG: Duration = Duration::from_millis(2_500);
/// Time after the first entry within which the list is read for the first time; the targets in it
/// may have started long ago.
const FIRST_LIST_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start of this process until which it sends nothing to cold targets: until then, the
/// other gateways may count on its share, or not know of it and use more of their own.
const START_TIME: Duration = Duration::from_secs(3);
/// Shortest and longest time after which a refused caller is asked to return.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));
/// Cost of a cold target in comparison with others, in milliseconds: cold targets are slow and become
/// warm without requests, so others are preferred unless they are overloaded.
const COLD_COST_MS: f64 = 1_000.0;

/// What a deployment says of the cold targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdRule {
    /// Requests per second that a cold target handles.
    pub per_s: f64,
    /// Most requests in any second from all gateways together.
    pub max_per_s: f64,
    /// Time for which a target is cold after its start.
    pub cold_for: Duration,
}

impl ColdRule {
    /// Number of gateways that may have a share, and the rate of all of them together.
    fn senders(self) -> (u32, f64) {
        let senders = (self.max_per_s - self.per_s * WINDOW_S).floor();
        if senders >= 1.0 {
            return (senders as u32, self.per_s);
        }
        let rate_per_s = (self.max_per_s - DEPTH) / WINDOW_S;
        if rate_per_s > 0.0 { (1, rate_per_s.min(self.per_s)) } else { (0, 0.0) }
    }
}

/// Rules on cold targets, and what they depend on besides the targets.
#[derive(Clone, Debug, Default)]
pub struct ColdRules {
    by_service: SortedMap<CompactString, ColdRule>,
    /// Whether this gateway knows the others, and they know it.
    knows_gateways: bool,
    /// Whether any request was sent to a target. Targets that start before are not cold.
    traffic_has_begun: bool,
    /// When the first entry of a target was applied.
    first_entry_at: Option<Timestamp>,
}

impl ColdRules {
    /// Sets the rules; services without one have no cold targets. Returns whether anything changes.
    pub(crate) fn set(&mut self, rules: &[(CompactString, ColdRule)]) -> bool {
        let limited = rules.iter().filter(|(_, rule)| rule.per_s > 0.0);
        let by_service = limited.cloned().collect();
        let changes = self.by_service != by_service;
        self.by_service = by_service;
        changes
    }

    /// Records whether the gateways in the store's register are known; returns whether this changes
    /// the shares of this gateway.
    pub(crate) fn record_register_read(&mut self, is_read: bool, now: Timestamp) -> bool {
        let knows_gateways = is_read && now.since(Timestamp::default()) >= START_TIME;
        std::mem::replace(&mut self.knows_gateways, knows_gateways) != knows_gateways
    }

    /// Records that a request was sent to a target by any gateway.
    pub(crate) const fn record_traffic(&mut self) {
        self.traffic_has_begun = true;
    }

    /// Records that an entry of a target was applied.
    pub(crate) fn record_entry(&mut self, now: Timestamp) {
        self.first_entry_at.get_or_insert(now);
    }

    /// Whether targets that appear now have started during traffic.
    fn starts_cold(&self, now: Timestamp) -> bool {
        self.traffic_has_begun
            && self.first_entry_at.is_some_and(|at| now.since(at) >= FIRST_LIST_TIME)
    }
}

/// A target, and what its coldness depends on besides its own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdContext<'a> {
    pub rules: &'a ColdRules,
    pub sharers: &'a SharingGateways,
    pub service: &'a str,
    pub target: &'a str,
}

impl ColdContext<'_> {
    fn rule(&self) -> Option<ColdRule> {
        self.rules.by_service.get(self.service).copied()
    }

    /// Computes this gateway's share of the requests to a cold target; none if targets of the service
    /// are never cold.
    fn share(&self) -> Option<ColdShare> {
        let (most, rate_per_s) = self.rule()?.senders();
        let place = self.sharers.place(self.target, most).filter(|_| self.rules.knows_gateways);
        let Some((rank, senders)) = place else { return Some(ColdShare::default()) };
        let senders = f64::from(senders);
        Some(ColdShare { rate_per_s: rate_per_s / senders, phase: f64::from(rank) / senders })
    }
}

/// This gateway's share of the requests to a cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ColdShare {
    /// Requests per second; zero for a gateway without a share.
    rate_per_s: f64,
    /// Rank among the gateways with a share, as a fraction of their number.
    phase: f64,
}

/// Coldness of one target, with this gateway's share of the requests.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    /// Share; none if targets of the service are never cold, or this one has not been yet.
    share: Option<ColdShare>,
    /// End of the coldness.
    until: Timestamp,
    /// Whether an entry of this life of the target, or a state of its agent, was applied.
    is_known: bool,
    /// Until when a report that the target is not cold may be older than an event that made it cold.
    doubted_until: Timestamp,
    /// Requests that may be sent, as of `updated`.
    level: f64,
    updated: Timestamp,
    /// When the next refused caller is asked to return.
    next_return: Timestamp,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self {
            share: None,
            until: Timestamp::default(),
            is_known: false,
            doubted_until: Timestamp::default(),
            level: DEPTH,
            updated: Timestamp::default(),
            next_return: Timestamp::default(),
        }
    }
}

impl ColdLimit {
    /// Returns whether the target counts as cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.share.is_some() && now < self.until
    }

    /// Records that a new life of the target has begun. Its share and what was sent stay.
    pub(crate) const fn record_restart(&mut self) {
        self.is_known = false;
    }

    /// Records an entry of the target, which says that it is cold for another `cold_ms`, or the state
    /// of its agent, which doesn't say.
    pub(crate) fn record_report(
        &mut self,
        cold_ms: Option<u64>,
        context: ColdContext<'_>,
        now: Timestamp,
    ) {
        let is_first = !std::mem::replace(&mut self.is_known, true);
        match cold_ms {
            // The time counts from the writing of the entry, so this is the latest possible end.
            Some(cold_ms) if cold_ms > 0 => {
                let until = now + Duration::from_millis(cold_ms).min(MAX_REPORTED_TIME);
                self.begin(until, context, now);
            }
            _ if is_first && context.rules.starts_cold(now) => {
                self.assume(Duration::ZERO, context, now);
            }
            Some(_) if now >= self.doubted_until => self.until = self.until.min(now),
            Some(_) | None => {}
        }
    }

    /// Counts the target as cold because of an event `age` ago, until a later report of it arrives.
    pub(crate) fn assume(&mut self, age: Duration, context: ColdContext<'_>, now: Timestamp) {
        let Some(rule) = context.rule() else { return };
        let left = rule.cold_for.saturating_sub(age);
        if left.is_zero() {
            return;
        }
        self.begin(self.until.max(now + left), context, now);
        self.doubted_until = now + REPORT_LAG.saturating_sub(age);
    }

    fn begin(&mut self, until: Timestamp, context: ColdContext<'_>, now: Timestamp) {
        if !self.is_cold(now) {
            self.share = context.share();
            // The gateways learn of it at about the same time; their first requests follow one
            // another.
            let phase = self.share.map_or(0.0, |share| share.phase);
            self.level = self.level_at(now).min(phase);
            self.updated = now;
            self.next_return = now;
        }
        self.until = until;
    }

    /// Computes this gateway's share again, after a change of the rules or of the gateways. The share
    /// of a target that is not cold is computed when it becomes cold.
    pub(crate) fn update_share(&mut self, context: ColdContext<'_>, now: Timestamp) {
        if now >= self.until {
            return;
        }
        self.level = match self.rate_per_s() > 0.0 {
            true => self.level_at(now),
            // The gateway that had the share before may have used it just now.
            false => 0.0,
        };
        self.updated = now;
        self.share = context.share();
    }

    fn rate_per_s(&self) -> f64 {
        self.share.map_or(0.0, |share| share.rate_per_s)
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let accrued = self.rate_per_s() * now.since(self.updated).as_secs_f64();
        (self.level + accrued).min(DEPTH)
    }

    /// Whether this gateway may send the target a request now.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        !self.is_cold(now) || (self.level_at(now) >= 1.0 && self.rate_per_s() > 0.0)
    }

    /// Records a request to the target.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        if self.share.is_some() {
            // Requests sent while the target was not cold leave nothing for the first moments in
            // which it is, and no more than that.
            self.level = (self.level_at(now) - 1.0).max(0.0);
            self.updated = now;
        }
    }

    /// Returns the time at which the next refused caller would be asked to return: when this gateway
    /// may send a request or, if it has no share, when the target is no longer cold.
    pub(crate) fn next_return(&self, now: Timestamp) -> Timestamp {
        let rate_per_s = self.rate_per_s();
        if rate_per_s <= 0.0 {
            return self.until.max(now);
        }
        let open_at =
            now + Duration::from_secs_f64((1.0 - self.level_at(now)).max(0.0) / rate_per_s);
        self.next_return.max(open_at).min(self.until).max(now)
    }

    /// Returns the time after which a refused caller should return. The callers that follow are asked
    /// to return later, one for each request that this gateway may send.
    pub(crate) fn advise_return(&mut self, now: Timestamp) -> Duration {
        let at = self.next_return(now);
        let rate_per_s = self.rate_per_s();
        if rate_per_s > 0.0 {
            self.next_return = at + Duration::from_secs_f64(1.0 / rate_per_s);
        }
        at.since(now).clamp(RETURN_BOUNDS.0, RETURN_BOUNDS.1)
    }

    /// Returns the cost of the target's coldness in the comparison of targets, in milliseconds.
    pub(crate) fn cost_ms(&self, now: Timestamp) -> f64 {
        if self.is_cold(now) { COLD_COST_MS } else { 0.0 }
    }
}
