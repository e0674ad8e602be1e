//! Demand estimate per model, in engine time.

use std::time::Duration;

use base::{ProcessName, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use wire::ModelLoad;

/// Time constant of the average that follows a rise in demand.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(1_000);
/// Time constant of the average that keeps a copy loaded for a while after its demand has ended.
const SLOW_TIME_CONSTANT: Duration = Duration::from_millis(4_000);
/// Age at which a peer's report expires.
const PEER_REPORT_LIFETIME: Duration = Duration::from_millis(2_000);
/// Demand below which a model is not reported to peers, in milliseconds of engine time per second.
const MIN_REPORTED_WORK_MS_PER_S: f64 = 0.5;

/// Exponential averages with a fast and a slow time constant.
#[derive(Clone, Copy, Debug, Default)]
struct DemandAverages {
    fast: f64,
    slow: f64,
    updated: Timestamp,
}

impl DemandAverages {
    fn decay(&mut self, now: Timestamp) {
        let elapsed_s = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.fast *= (-elapsed_s / FAST_TIME_CONSTANT.as_secs_f64()).exp();
        self.slow *= (-elapsed_s / SLOW_TIME_CONSTANT.as_secs_f64()).exp();
    }

    fn add(&mut self, amount: f64) {
        self.fast += amount / FAST_TIME_CONSTANT.as_secs_f64();
        self.slow += amount / SLOW_TIME_CONSTANT.as_secs_f64();
    }

    const fn value(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    work_ms: DemandAverages,
    requests: DemandAverages,
    waiting: u32,
}

/// Demand for models at this process and at its peers.
#[derive(Clone, Debug, Default)]
pub struct ModelDemandTable {
    own: SortedMap<CompactString, ModelDemand>,
    peers: SortedMap<ProcessName, (Vec<ModelLoad>, Timestamp)>,
}

impl ModelDemandTable {
    /// Creates a table without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request for a model that takes `work_ms` of engine time.
    pub fn record_request(&mut self, model: &str, work_ms: f64, now: Timestamp) {
        let demand = self.own.get_or_insert_with(CompactString::new(model), ModelDemand::default);
        for (averages, amount) in [(&mut demand.work_ms, work_ms), (&mut demand.requests, 1.0)] {
            averages.decay(now);
            averages.add(amount);
        }
    }

    /// Records that a request starts or stops waiting for a copy of a model.
    pub fn record_waiting(&mut self, model: &str, starts: bool) {
        let demand = self.own.get_or_insert_with(CompactString::new(model), ModelDemand::default);
        demand.waiting = if starts { demand.waiting + 1 } else { demand.waiting.saturating_sub(1) };
    }

    /// Replaces the demand reported by a peer.
    pub fn update_peer(&mut self, peer: &ProcessName, loads: Vec<ModelLoad>, now: Timestamp) {
        self.peers.insert(peer.clone(), (loads, now));
        self.peers.retain(|_, (_, received)| now.since(*received) < PEER_REPORT_LIFETIME);
    }

    /// Returns the demand of this process, to be reported to its peers.
    pub fn own_loads(&mut self, now: Timestamp) -> Vec<ModelLoad> {
        self.own
            .iter_mut()
            .filter_map(|(model, demand)| {
                demand.work_ms.decay(now);
                demand.requests.decay(now);
                let work_ms = demand.work_ms.value();
                (work_ms >= MIN_REPORTED_WORK_MS_PER_S || demand.waiting > 0).then(|| ModelLoad {
                    model: short_hash(model.as_bytes()),
                    work_micros_per_s: (work_ms * 1_000.0) as u64,
                    requests_per_1000_s: (demand.requests.value() * 1_000.0) as u64,
                    waiting: demand.waiting,
                })
            })
            .collect()
    }

    /// Returns the demand of all gateways for a model, in milliseconds of engine time per second,
    /// and the number of requests that wait for it.
    pub fn total(&mut self, model: &str, now: Timestamp) -> (f64, u32) {
        let (mut work_ms, mut waiting) = match self.own.get_mut(model) {
            Some(demand) => {
                demand.work_ms.decay(now);
                (demand.work_ms.value(), demand.waiting)
            }
            None => (0.0, 0),
        };
        let hash = short_hash(model.as_bytes());
        let reported =
            self.peers.values().filter(|(_, received)| now.since(*received) < PEER_REPORT_LIFETIME);
        for load in reported.flat_map(|(loads, _)| loads).filter(|load| load.model == hash) {
            work_ms += load.work_micros_per_s as f64 / 1_000.0;
            waiting += load.waiting;
        }
        (work_ms, waiting)
    }
}
