//! Speed of a target, from what is observed and what it reports.
//!
//! All values are relative to what is usual for the kind of work, so that targets which are slow
//! together count as usual. They only move requests between targets.

use std::time::Duration;

use base::{Timestamp, rendezvous_score};

use crate::TargetLoadSample;
use crate::concurrency_knee::ConcurrencyKnee;
use crate::shared_times::{SharedTimes, Totals};
use crate::slowdown_estimate::{EstimateSettings, SlowdownEstimate, fraction_left};

/// Time constant after which a reported load or pace no longer describes the present. The pace of
/// targets changes many times a second.
const REPORT_MEMORY: Duration = Duration::from_millis(100);
/// Time constant of the average pace.
const PACE_AVERAGING: Duration = Duration::from_secs(5);
/// Lowest weight of a report in the average pace.
const MIN_PACE_GAIN: f64 = 0.1;
/// Estimate for plain requests. A gateway sends a target about one request a second. A target that
/// takes three times as long as usual gets a request again after about 4 s. The time of one request
/// varies by a factor of five, so that a higher difference than that does not count.
const PLAIN: EstimateSettings = EstimateSettings {
    adapt: Duration::from_secs(3),
    hold: Duration::from_secs(1),
    decay: Duration::from_secs(3),
    max_step: 1.5,
};
/// Estimates for generations, of which a gateway sends an engine one in some seconds. An unknown wait
/// is indistinguishable from a slow engine, so an observation counts as a factor of two at most.
const GENERATION: EstimateSettings = EstimateSettings {
    adapt: Duration::from_secs(20),
    hold: Duration::from_secs(10),
    decay: Duration::from_secs(10),
    max_step: std::f64::consts::LN_2,
};
/// Highest variance of the logarithm of times that counts.
const MAX_VARIANCE: f64 = 1.0;
/// Delay of the requests in flight by a further one, as a share of its time per slot. All gateways see
/// the same requests with a delay of 50 ms on average, so that a higher value moves them together.
const DELAY_SHARE: f64 = 0.5;
/// Largest random part of the cost of a plain request, as a share of the usual time. It spreads the
/// requests that several gateways send before they learn of each other's.
const SPREAD_SHARE: f64 = 0.8;
/// Bounds of a slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Bounds of an observed time relative to the usual one.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);
/// Time after the first request in which the limit of a new target rises by one request.
const RAMP_STEP: Duration = Duration::from_millis(250);
/// Concurrency at which the ramp of a new target ends.
const RAMP_END: u32 = 8;
/// Slowdowns from which a target is logged as slow, and below which it has recovered.
const LOGGED_SLOWDOWNS: (f64, f64) = (2.0, 1.4);
/// Shortest time between two changes of one target that are logged.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of work whose speed is estimated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Requests to a plain service.
    Plain,
    /// Prefill of prompts.
    Prefill,
    /// Generation of tokens.
    Decode,
}

/// A clear change of a target's speed, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpeedChange {
    /// The target takes at least twice the usual time.
    Slowed,
    /// The target takes about the usual time again.
    Recovered,
    /// The concurrency limit has changed, begun or ended.
    LimitChanged,
}

impl SpeedChange {
    /// Value for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Slowed => "slowed",
            Self::Recovered => "recovered",
            Self::LimitChanged => "limit",
        }
    }
}

/// Requests at a plain target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlainLoad {
    /// Requests in flight that this process and its peers know of.
    pub known: u32,
    /// Those of this process.
    pub local: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
}

/// Estimate for another request to a plain target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlainEstimate {
    /// Time until the response, in milliseconds.
    pub response_ms: f64,
    /// The same at the usual speed and by the known requests alone, in milliseconds.
    pub usual_ms: f64,
    /// Time until the response, and the delay of other requests, in milliseconds.
    pub cost_ms: f64,
}

/// Speed of one target.
#[derive(Clone, Debug)]
pub struct TargetSpeed {
    report: Option<(TargetLoadSample, Timestamp)>,
    sends_since_report: u32,
    /// Average of the logarithm of the reported pace.
    log_pace: Option<f64>,
    plain: SlowdownEstimate,
    prefill: SlowdownEstimate,
    decode: SlowdownEstimate,
    knee: ConcurrencyKnee,
    shared: SharedTimes,
    first_sent_at: Option<Timestamp>,
    logged_slow: bool,
    logged_limit: Option<u32>,
    logged_at: Option<Timestamp>,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            report: None,
            sends_since_report: 0,
            log_pace: None,
            plain: SlowdownEstimate::new(PLAIN),
            prefill: SlowdownEstimate::new(GENERATION),
            decode: SlowdownEstimate::new(GENERATION),
            knee: ConcurrencyKnee::default(),
            shared: SharedTimes::default(),
            first_sent_at: None,
            logged_slow: false,
            logged_limit: None,
            logged_at: None,
        }
    }
}

impl TargetSpeed {
    /// Records the load that the target reported with a response.
    pub fn record_report(&mut self, sample: TargetLoadSample, now: Timestamp) {
        if let Some(percent) = sample.pace_percent {
            let log = (f64::from(percent.max(1)) / 100.0).ln();
            let gain = self.report.map_or(1.0, |(_, at)| {
                (1.0 - fraction_left(now.since(at), PACE_AVERAGING)).max(MIN_PACE_GAIN)
            });
            self.log_pace = Some(self.log_pace.map_or(log, |known| known + gain * (log - known)));
        }
        self.report = Some((sample, now));
        self.sends_since_report = 0;
    }

    /// Records a plain request that is sent to the target.
    pub fn record_send(&mut self, now: Timestamp) {
        self.first_sent_at.get_or_insert(now);
        self.sends_since_report = self.sends_since_report.saturating_add(1);
    }

    /// Records that a plain request took `took_ms` while about `in_flight` requests, including it, were
    /// at the target; `usual_ms` is the usual time of its service, for a request alone.
    pub fn record_plain(&mut self, took_ms: f64, in_flight: u32, usual_ms: f64, now: Timestamp) {
        let log_ratio = log_ratio(took_ms / usual_ms);
        let pace = self.pace_log(now);
        let slowdown = self.plain.log(pace, now);
        self.knee.record(in_flight, log_ratio - slowdown, now);
        let growth = self.knee.growth(f64::from(in_flight), now).ln();
        // At a higher concurrency the concurrency may be the cause.
        let share = 1.0 / f64::from(in_flight.max(1));
        self.plain.record(log_ratio - growth, pace, share, now);
        self.shared.add(log_ratio - growth + usual_ms.ln(), now);
    }

    /// Returns the times of this gateway's plain requests, if there are recent ones.
    pub(crate) fn plain_totals(&self, now: Timestamp) -> Option<Totals> {
        self.shared.report(now)
    }

    /// Applies the times of another gateway's plain requests.
    pub(crate) fn apply_peer_totals(
        &mut self,
        peer: u32,
        totals: Totals,
        usual_ms: f64,
        now: Timestamp,
    ) {
        if let Some((count, mean_log_ms)) = self.shared.apply(peer, totals, now) {
            let log_ratio = log_ratio((mean_log_ms - usual_ms.ln()).exp());
            self.plain.record_mean(log_ratio, self.pace_log(now), count, now);
        }
    }

    /// Records that a plain request had no response after `waited_ms`, which counts only if this is
    /// longer than expected.
    pub fn record_plain_timeout(
        &mut self,
        waited_ms: f64,
        in_flight: u32,
        usual_ms: f64,
        now: Timestamp,
    ) {
        let expected_ms =
            usual_ms * self.slowdown(WorkKind::Plain, now) * self.growth(in_flight, now);
        if waited_ms > expected_ms {
            self.record_plain(waited_ms, in_flight, usual_ms, now);
        }
    }

    /// Records the time to the first event of a stream, relative to the time expected at the usual
    /// speed.
    pub fn record_first_event(&mut self, ratio: f64, now: Timestamp) {
        self.prefill.record(log_ratio(ratio), self.pace_log(now), 1.0, now);
    }

    /// Records the average time between two parts of a stream, relative to the usual time.
    pub fn record_event_gap(&mut self, ratio: f64, now: Timestamp) {
        self.decode.record(log_ratio(ratio), self.pace_log(now), 1.0, now);
    }

    /// Returns the time that work takes at the target relative to the usual time; 1.0 without reports
    /// and observations.
    pub fn slowdown(&self, kind: WorkKind, now: Timestamp) -> f64 {
        let estimate = match kind {
            WorkKind::Plain => &self.plain,
            WorkKind::Prefill => &self.prefill,
            WorkKind::Decode => &self.decode,
        };
        let (least, most) = SLOWDOWN_BOUNDS;
        estimate.log(self.pace_log(now), now).exp().clamp(least, most)
    }

    /// Returns the number of requests from all gateways beyond which plain requests only wait at the
    /// target, if it is known.
    pub fn concurrency_limit(&self, now: Timestamp) -> Option<u32> {
        let ramp = self.first_sent_at.and_then(|at| {
            let steps = now.since(at).as_millis() / RAMP_STEP.as_millis();
            u32::try_from(steps).ok().map(|steps| steps + 1).filter(|limit| *limit < RAMP_END)
        });
        self.knee.knee(now).into_iter().chain(ramp).min()
    }

    /// Returns the time of a plain request at a concurrency of `in_flight`, relative to its time alone.
    pub(crate) fn growth(&self, in_flight: u32, now: Timestamp) -> f64 {
        self.knee.growth(f64::from(in_flight), now)
    }

    /// Returns the requests at the target: those that are known, mixed with a recent report and the
    /// sends since then.
    pub(crate) fn in_flight(&self, load: PlainLoad, now: Timestamp) -> f64 {
        let known = f64::from(load.known);
        let Some((sample, at)) = self.report else { return known };
        let weight = fraction_left(now.since(at), REPORT_MEMORY);
        let reported = f64::from(sample.running)
            + f64::from(sample.waiting)
            + f64::from(self.sends_since_report);
        (weight * reported + (1.0 - weight) * known).max(f64::from(load.local))
    }

    /// Estimates another plain request; `service_ms` is the usual time of its service.
    pub(crate) fn estimate_plain(
        &self,
        load: PlainLoad,
        service_ms: f64,
        now: Timestamp,
    ) -> PlainEstimate {
        let in_flight = self.in_flight(load, now);
        let slots = f64::from(load.slots.max(1));
        let queued = (in_flight + 1.0 - slots).max(0.0);
        let known_queued = (f64::from(load.known) + 1.0 - slots).max(0.0);
        let usual_ms = service_ms * (1.0 + known_queued / slots);
        let alone_ms = service_ms * self.slowdown(WorkKind::Plain, now);
        let growth = self.knee.growth(in_flight + 1.0, now).max(1.0 + queued / slots);
        let limit = self.concurrency_limit(now).map_or(slots, |limit| f64::from(limit).min(slots));
        let over = (in_flight + 1.0 - limit).max(0.0);
        let response_ms = alone_ms * growth;
        // Above the limit, a request delays those in flight and those that come later.
        let delay_ms = DELAY_SHARE * alone_ms * (in_flight + over) / limit;
        // The estimate follows the logarithm; the mean of times that vary much is higher.
        let mean_factor = (self.plain.variance(now).min(MAX_VARIANCE) / 2.0).exp();
        PlainEstimate { response_ms, usual_ms, cost_ms: (response_ms + delay_ms) * mean_factor }
    }

    /// Returns a clear change of the target's speed since the last one that was returned, to be logged.
    pub fn take_change(&mut self, now: Timestamp) -> Option<SpeedChange> {
        if self.logged_at.is_some_and(|at| now.since(at) < CHANGE_INTERVAL) {
            return None;
        }
        let slowdown = self.highest_slowdown(now);
        let (slow, usual) = LOGGED_SLOWDOWNS;
        let knee = self.knee.knee(now);
        let change = match self.logged_slow {
            false if slowdown >= slow => SpeedChange::Slowed,
            true if slowdown <= usual => SpeedChange::Recovered,
            _ if knee != self.logged_limit => SpeedChange::LimitChanged,
            _ => return None,
        };
        match change {
            SpeedChange::Slowed => self.logged_slow = true,
            SpeedChange::Recovered => self.logged_slow = false,
            SpeedChange::LimitChanged => self.logged_limit = knee,
        }
        self.logged_at = Some(now);
        Some(change)
    }

    /// Returns whether some kind of work takes at least twice the usual time.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        self.highest_slowdown(now) >= LOGGED_SLOWDOWNS.0
    }

    fn highest_slowdown(&self, now: Timestamp) -> f64 {
        [WorkKind::Plain, WorkKind::Prefill, WorkKind::Decode]
            .into_iter()
            .map(|kind| self.slowdown(kind, now))
            .fold(0.0, f64::max)
    }

    /// Returns the logarithm of the target's present pace: the last report, and with its age the
    /// average of the reports, which in turn expires.
    fn pace_log(&self, now: Timestamp) -> Option<f64> {
        let (sample, at) = self.report?;
        let average = self.log_pace?;
        let age = now.since(at);
        let last =
            sample.pace_percent.map_or(average, |pace| (f64::from(pace.max(1)) / 100.0).ln());
        let weight = fraction_left(age, REPORT_MEMORY);
        Some(weight * last + (1.0 - weight) * average * fraction_left(age, GENERATION.decay))
    }
}

/// Returns the random part of the cost of a plain request, in milliseconds: different for each
/// gateway, target and time.
pub(crate) fn spread_ms(gateway: u32, target: &str, service_ms: f64, now: Timestamp) -> f64 {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&gateway.to_le_bytes());
    key[4..].copy_from_slice(&now.micros.to_le_bytes());
    let unit = rendezvous_score(&key, target) as f64 / u64::MAX as f64;
    SPREAD_SHARE * service_ms * unit
}

fn log_ratio(ratio: f64) -> f64 {
    let (least, most) = RATIO_BOUNDS;
    if ratio.is_finite() { ratio.clamp(least, most).ln() } else { 0.0 }
}
