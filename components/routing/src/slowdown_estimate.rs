//! Estimate of how much longer one kind of work takes at a target than usual.

use std::time::Duration;

use base::Timestamp;

/// Lowest weight of an observation, if observations follow each other closely.
const MIN_GAIN: f64 = 0.1;
/// Lowest weight of each observation of another gateway. All gateways get these, so that a random
/// difference moves the requests of all.
const PEER_GAIN: f64 = 0.05;
/// Weight of the first observation.
const FIRST_GAIN: f64 = 0.5;
/// Squared errors of the predictions without and with the target's report before the first
/// observation. The report is believed at first.
const INITIAL_ERRORS: (f64, f64) = (0.5, 0.1);
/// Squared error below which two predictions count as equally good.
const ERROR_FLOOR: f64 = 0.01;
/// Variance of the logarithm of a target's times without recent observations: times vary by a factor
/// of five.
const TYPICAL_VARIANCE: f64 = 0.25;
/// Weight of a new error in its moving average.
const ERROR_GAIN: f64 = 0.1;

/// How an estimate follows observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EstimateSettings {
    /// Time between two observations from which the later one replaces most of the earlier ones.
    pub adapt: Duration,
    /// Time without an observation after which the estimate decays.
    pub hold: Duration,
    /// Time constant of the decay towards the usual speed.
    pub decay: Duration,
    /// Largest difference between an observation and its prediction that counts, as a natural
    /// logarithm.
    pub max_step: f64,
}

/// Estimate of a slowdown, as a natural logarithm, from observations and from the target's report.
///
/// Two predictions are kept, one from observations alone and one that multiplies them by the pace that
/// the target reports. Each counts by how well it has predicted observations, so that a wrong report
/// loses its influence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowdownEstimate {
    settings: EstimateSettings,
    observed: Prediction,
    paced: Prediction,
    /// Time of the last observation of any gateway.
    observed_at: Option<Timestamp>,
    /// Time of the last observation of this gateway.
    local_at: Option<Timestamp>,
    /// Variance of this gateway's observations.
    variance: f64,
}

#[derive(Clone, Copy, Debug)]
struct Prediction {
    log: f64,
    error: f64,
}

impl Prediction {
    fn observe(&mut self, decayed: f64, step: f64, gain: f64) {
        self.error += ERROR_GAIN * (step * step - self.error);
        self.log = decayed + gain * step;
    }
}

impl SlowdownEstimate {
    pub(crate) const fn new(settings: EstimateSettings) -> Self {
        Self {
            settings,
            observed: Prediction { log: 0.0, error: INITIAL_ERRORS.0 },
            paced: Prediction { log: 0.0, error: INITIAL_ERRORS.1 },
            observed_at: None,
            local_at: None,
            variance: TYPICAL_VARIANCE,
        }
    }

    /// Records the logarithm of an observed time relative to the usual one. `log_pace` is that of the
    /// pace that the target reported with the response; `share` of the difference is attributed to
    /// the target's speed.
    pub(crate) fn record(
        &mut self,
        log_ratio: f64,
        log_pace: Option<f64>,
        share: f64,
        now: Timestamp,
    ) {
        let gain = share * self.gain(now);
        let max_step = self.settings.max_step;
        let decay = self.decay(now);
        let (observed, paced) = (self.observed.log * decay, self.paced.log * decay);
        let deviation = (log_ratio - observed).clamp(-max_step, max_step);
        self.variance = self.variance(now);
        self.variance += ERROR_GAIN * (deviation * deviation - self.variance);
        self.local_at = Some(now);
        self.observed.observe(observed, deviation, gain);
        if let Some(pace) = log_pace {
            let step = (log_ratio - pace - paced).clamp(-max_step, max_step);
            self.paced.observe(paced, step, gain);
        }
        self.observed_at = Some(now);
    }

    /// Records the mean of the logarithms of `count` times that other gateways have observed.
    pub(crate) fn record_mean(
        &mut self,
        log_ratio: f64,
        log_pace: Option<f64>,
        count: u32,
        now: Timestamp,
    ) {
        let gain = self.gain(now).max(1.0 - (1.0 - PEER_GAIN).powi(count as i32));
        let (decay, max_step) = (self.decay(now), self.settings.max_step);
        let follow = |log: f64, to: f64| {
            let log = log * decay;
            log + gain * (to - log).clamp(-max_step, max_step)
        };
        self.observed.log = follow(self.observed.log, log_ratio);
        self.paced.log = follow(self.paced.log, log_ratio - log_pace.unwrap_or(0.0));
        self.observed_at = Some(now);
    }

    /// Returns the logarithm of the slowdown; `log_pace` is that of the target's present pace.
    pub(crate) fn log(&self, log_pace: Option<f64>, now: Timestamp) -> f64 {
        let decay = self.decay(now);
        let observed = self.observed.log * decay;
        let Some(pace) = log_pace else { return observed };
        if self.observed_at.is_none() {
            return pace;
        }
        let weight = |error: f64| (error + ERROR_FLOOR).powi(-2);
        let (without, with) = (weight(self.observed.error), weight(self.paced.error));
        (without * observed + with * (self.paced.log * decay + pace)) / (without + with)
    }

    /// Returns the variance of the logarithm of observed times around the estimate.
    pub(crate) fn variance(&self, now: Timestamp) -> f64 {
        // Observations of other gateways are means, so that they don't show the variance.
        let decay = self.local_at.map_or(0.0, |at| self.decay_since(at, now));
        TYPICAL_VARIANCE + decay * (self.variance - TYPICAL_VARIANCE)
    }

    fn gain(&self, now: Timestamp) -> f64 {
        self.observed_at
            .map_or(FIRST_GAIN, |at| 1.0 - fraction_left(now.since(at), self.settings.adapt))
            .max(MIN_GAIN)
    }

    fn decay(&self, now: Timestamp) -> f64 {
        self.observed_at.map_or(0.0, |at| self.decay_since(at, now))
    }

    fn decay_since(&self, at: Timestamp, now: Timestamp) -> f64 {
        let idle = now.since(at).saturating_sub(self.settings.hold);
        fraction_left(idle, self.settings.decay)
    }
}

/// Returns what is left after `age` of a quantity that decays exponentially.
pub(crate) fn fraction_left(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
