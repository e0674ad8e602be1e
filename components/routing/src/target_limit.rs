//! Limit on the requests per second that a target takes from all gateways together.
//!
//! A target in need names the limit in its responses; a response without it, to a request that was
//! sent when the limit was known, ends it. The gateways tell each other what they know. The newest
//! observation counts, in the time of this process; where the order is uncertain, the limit stays.
//!
//! A fixed number of the known gateways, chosen by the target's id, share the rate evenly. Gateways
//! that don't report keep their shares, so that the sum stays within the limit while gateways are cut
//! off from each other.

use std::time::Duration;

use base::{SortedMap, Timestamp, rank_members};
use wire::TargetLimitReport;

/// Lowest rate at which a target is sent requests. A target that named zero would otherwise get
/// nothing, and its gateways would never learn that it takes requests again.
const MIN_RATE_PER_S: f64 = 0.2;
/// Number of gateways that have a share, beyond one for each request per second. Each may send one
/// request at once, so their number bounds what a target gets beyond its limit.
const EXTRA_SENDERS: u32 = 4;
/// Time whose requests the gateways together may send at once.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Difference from which one gateway's observation that a limit has ended is newer than another one's
/// observation of the limit, in microseconds: longer than a datagram takes.
const ORDER_MARGIN_MICROS: i64 = 500_000;
/// Time for which the end of a limit is reported, and again to a gateway that doesn't know of it.
const END_REPORT_TIME: Duration = Duration::from_secs(10);
/// Shortest and longest time after which a refused caller is asked to return.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// What a response says of its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// No limit.
    #[default]
    Absent,
    /// A limit that can't be read, which says nothing of the one before.
    Unreadable,
    /// Requests per second from all gateways together.
    PerSecond(f64),
}

/// The gateway that got a response, and its clock at that time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Origin {
    gateway: u32,
    micros: u64,
}

/// What a response said of the limit, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    /// Requests per second; none if the limit has ended.
    limit_per_s: Option<f64>,
    origin: Origin,
    /// When the response was received, on the clock of this process in microseconds; later by up to
    /// the time of the datagrams, never earlier. Negative for a time before the process started.
    at_micros: i64,
    /// When this process learned of it.
    known_at: Timestamp,
}

/// This gateway's share of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LimitShare {
    /// Requests per second; zero for a gateway without a share.
    rate_per_s: f64,
    /// Most requests at once.
    depth: f64,
    /// Rank among the gateways with a share, as a fraction of their number.
    phase: f64,
}

/// Limit of one target, with this gateway's share of it.
#[derive(Clone, Debug, Default)]
pub struct TargetLimit {
    newest: Option<Observation>,
    /// Time of the newest known observation of each gateway, by its clock. Observations that arrive
    /// again through other gateways seem newer each time and must not count again.
    heard: SortedMap<u32, u64>,
    share: LimitShare,
    /// Requests that may be sent, as of `updated`.
    level: f64,
    updated: Timestamp,
    /// When the next refused caller is asked to return.
    next_return: Timestamp,
    end_reported_until: Timestamp,
}

/// The gateways that share the limits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharingGateways {
    /// Short hash of this process.
    pub process: u32,
    /// Name of this gateway.
    pub local: String,
    /// Names of the others that may be running.
    pub others: Vec<String>,
}

impl SharingGateways {
    /// Returns the rank of this gateway among the first `most` for a target, and their number; none
    /// if it is not among them.
    pub(crate) fn place(&self, target: &str, most: u32) -> Option<(u32, u32)> {
        let names = self.others.iter().map(String::as_str).chain([self.local.as_str()]);
        let ranked = rank_members(target.as_bytes(), names);
        let senders = u32::try_from(ranked.len()).unwrap_or(u32::MAX).min(most);
        let rank = ranked.iter().take(senders as usize).position(|name| *name == self.local)?;
        Some((u32::try_from(rank).unwrap_or(u32::MAX), senders))
    }

    /// Computes this gateway's share of a target's limit.
    fn share(&self, target: &str, limit_per_s: f64) -> LimitShare {
        let rate_per_s = limit_per_s.max(MIN_RATE_PER_S);
        let place = self.place(target, (rate_per_s as u32).saturating_add(EXTRA_SENDERS));
        let Some((rank, senders)) = place else { return LimitShare::default() };
        let senders = f64::from(senders);
        LimitShare {
            rate_per_s: rate_per_s / senders,
            depth: (rate_per_s * BURST_TIME.as_secs_f64() / senders).max(1.0),
            phase: f64::from(rank) / senders,
        }
    }
}

impl TargetLimit {
    /// Returns the limit in requests per second, if the target has one.
    pub fn per_s(&self) -> Option<f64> {
        self.newest.and_then(|observation| observation.limit_per_s)
    }

    /// Records what a response says of the limit; `sent_at` is the time of its request. Returns
    /// whether the limit has changed.
    pub(crate) fn record_response(
        &mut self,
        target: &str,
        named: NamedLimit,
        sharers: &SharingGateways,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let limit_per_s = match (named, self.newest) {
            (NamedLimit::PerSecond(limit_per_s), _) => Some(limit_per_s),
            // An older request may have been answered before the limit was named.
            (NamedLimit::Absent, Some(observation))
                if observation.limit_per_s.is_some() && sent_at >= observation.known_at =>
            {
                None
            }
            (NamedLimit::Absent | NamedLimit::Unreadable, _) => return false,
        };
        let origin = Origin { gateway: sharers.process, micros: now.micros };
        self.heard.insert(origin.gateway, origin.micros);
        let observation =
            Observation { limit_per_s, origin, at_micros: signed(now), known_at: now };
        self.set_observation(target, observation, sharers, now)
    }

    /// Applies another gateway's report; returns whether the limit has changed.
    pub(crate) fn apply_report(
        &mut self,
        target: &str,
        report: &TargetLimitReport,
        sharers: &SharingGateways,
        now: Timestamp,
    ) -> bool {
        let origin = Origin { gateway: report.origin, micros: report.origin_micros };
        let limit_per_s = report.limit_per_1000_s.map(|limit| limit as f64 / 1_000.0);
        let at_micros = signed(now) - i64::from(report.age_ms) * 1_000;
        if self.per_s().is_none() && limit_per_s.is_some() {
            // The other gateway has missed the end of the limit.
            self.end_reported_until = now + END_REPORT_TIME;
        }
        let heard = self.heard.get_or_insert_with(origin.gateway, || 0);
        if origin.micros <= *heard {
            return false;
        }
        *heard = origin.micros;
        let is_newer = match (self.newest, limit_per_s) {
            (Some(observation), _) if observation.origin.gateway == origin.gateway => true,
            (Some(observation), Some(_)) => at_micros > observation.at_micros,
            (Some(observation), None) => at_micros > observation.at_micros + ORDER_MARGIN_MICROS,
            (None, limit_per_s) => limit_per_s.is_some(),
        };
        if !is_newer {
            return false;
        }
        let observation = Observation { limit_per_s, origin, at_micros, known_at: now };
        self.set_observation(target, observation, sharers, now)
    }

    fn set_observation(
        &mut self,
        target: &str,
        observation: Observation,
        sharers: &SharingGateways,
        now: Timestamp,
    ) -> bool {
        let former = self.per_s();
        self.newest = Some(observation);
        if observation.limit_per_s.is_none() {
            self.end_reported_until = now + END_REPORT_TIME;
        }
        if former == observation.limit_per_s {
            return false;
        }
        self.update_share(target, sharers, now);
        if former.is_none() {
            // The gateways learn of a limit at about the same time; their first requests follow one
            // another.
            self.level = self.share.phase;
            self.next_return = now;
        }
        true
    }

    /// Computes this gateway's share again, after a change of the limit or of the gateways.
    pub(crate) fn update_share(&mut self, target: &str, sharers: &SharingGateways, now: Timestamp) {
        let Some(limit_per_s) = self.per_s() else { return };
        self.level = self.level_at(now);
        self.updated = now;
        self.share = sharers.share(target, limit_per_s);
        self.level = self.level.min(self.share.depth);
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let accrued = self.share.rate_per_s * now.since(self.updated).as_secs_f64();
        (self.level + accrued).min(self.share.depth)
    }

    /// Whether this gateway may send the target a request now.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.per_s().is_none() || self.level_at(now) >= 1.0
    }

    /// Records a request to the target.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        if self.per_s().is_some() {
            self.level = self.level_at(now) - 1.0;
            self.updated = now;
        }
    }

    /// Returns the time at which the next refused caller would be asked to return.
    pub(crate) fn next_return(&self, now: Timestamp) -> Timestamp {
        let until_open_s = match self.share.rate_per_s > 0.0 {
            true => (1.0 - self.level_at(now)).max(0.0) / self.share.rate_per_s,
            false => self.interval_s(),
        };
        self.next_return.max(now + Duration::from_secs_f64(until_open_s))
    }

    /// Returns the time after which a refused caller should return. The callers that follow are asked
    /// to return later, one for each request that this gateway may send.
    pub fn advise_return(&mut self, now: Timestamp) -> Duration {
        let at = self.next_return(now);
        self.next_return =
            (at + Duration::from_secs_f64(self.interval_s())).min(now + RETURN_BOUNDS.1);
        at.since(now).clamp(RETURN_BOUNDS.0, RETURN_BOUNDS.1)
    }

    /// Time between two requests of this gateway or, if it has no share, of any gateway.
    fn interval_s(&self) -> f64 {
        let own = self.share.rate_per_s;
        let rate_per_s =
            if own > 0.0 { own } else { self.per_s().unwrap_or_default().max(MIN_RATE_PER_S) };
        1.0 / rate_per_s
    }

    /// Returns the report for the other gateways, if there is anything to tell.
    pub(crate) fn report(
        &self,
        target: u32,
        born_ms: Option<u64>,
        now: Timestamp,
    ) -> Option<TargetLimitReport> {
        let observation = self.newest?;
        if observation.limit_per_s.is_none() && now >= self.end_reported_until {
            return None;
        }
        Some(TargetLimitReport {
            target,
            born_ms,
            limit_per_1000_s: observation.limit_per_s.map(|limit| (limit * 1_000.0).round() as u64),
            origin: observation.origin.gateway,
            origin_micros: observation.origin.micros,
            age_ms: u32::try_from((signed(now) - observation.at_micros) / 1_000)
                .unwrap_or(u32::MAX),
        })
    }
}

fn signed(at: Timestamp) -> i64 {
    i64::try_from(at.micros).unwrap_or(i64::MAX)
}
