//! Work in progress at a target, from this process and its peers.

use std::time::Duration;

use base::{ProcessName, SortedMap, Timestamp};
use wire::AdapterName;

use crate::SendId;

/// Age at which a peer's report of its own work is ignored.
const PEER_WORKLOAD_TTL: Duration = Duration::from_millis(1_500);

/// Load that a target reports with its responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoadSample {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Time that work takes at the target at this moment, in percent of its usual time, if the target
    /// reports it.
    pub pace_percent: Option<u32>,
}

/// Work of one process at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Estimated prefill time of the requests without a first event, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Number of requests without a first event.
    pub waiting: u32,
    /// Number of requests with a first event.
    pub running: u32,
    /// Cache memory of all requests when complete, in tokens.
    pub cache_tokens: u64,
}

/// Resources that one request of this process needs at a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Estimated prefill time, in milliseconds.
    pub prefill_ms: f64,
    /// Cache memory when complete, in tokens.
    pub cache_tokens: u64,
    /// Adapter that the request uses.
    pub adapter: Option<AdapterName>,
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    id: SendId,
    sent_at: Timestamp,
    work: RequestWork,
    started: bool,
}

/// Work of this process and its peers at one target.
#[derive(Clone, Debug, Default)]
pub struct TargetWork {
    sends: Vec<InFlightRequest>,
    next_id: u64,
    peers: SortedMap<ProcessName, (Workload, Timestamp)>,
}

impl TargetWork {
    /// Adds a request that this process sends at `now`.
    pub fn add(&mut self, work: RequestWork, now: Timestamp) -> SendId {
        let id = SendId(self.next_id);
        self.next_id += 1;
        self.sends.push(InFlightRequest { id, sent_at: now, work, started: false });
        id
    }

    /// Iterates over the adapters used by requests of this process.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.sends.iter().filter_map(|send| send.work.adapter.as_ref())
    }

    /// Records the first event, or the response, of a request.
    pub fn record_first_event(&mut self, id: SendId) {
        if let Some(send) = self.find(id) {
            send.started = true;
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, id: SendId) {
        if let Ok(at) = self.sends.binary_search_by_key(&id, |send| send.id) {
            self.sends.remove(at);
        }
    }

    fn find(&mut self, id: SendId) -> Option<&mut InFlightRequest> {
        let at = self.sends.binary_search_by_key(&id, |send| send.id).ok()?;
        self.sends.get_mut(at)
    }

    /// Returns the work of this process.
    pub fn local(&self) -> Workload {
        self.sends.iter().fold(Workload::default(), |mut workload, send| {
            workload.cache_tokens += send.work.cache_tokens;
            if send.started {
                workload.running += 1;
            } else {
                workload.waiting += 1;
                workload.pending_prefill_ms += send.work.prefill_ms;
            }
            workload
        })
    }

    /// Replaces the work that a peer reported.
    pub fn update_peer(&mut self, peer: &ProcessName, workload: Workload, now: Timestamp) {
        if workload == Workload::default() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), (workload, now));
        }
    }

    /// Returns the work of this process and of all peers with a recent report.
    pub fn total(&self, now: Timestamp) -> Workload {
        let mut sum = self.local();
        let mut reported_ms = 0.0;
        let mut weighted_age_ms = 0.0;
        for (workload, at) in self.peers.values() {
            let age = now.since(*at);
            if age >= PEER_WORKLOAD_TTL {
                continue;
            }
            reported_ms += workload.pending_prefill_ms;
            weighted_age_ms += workload.pending_prefill_ms * age.as_secs_f64() * 1_000.0;
            sum.waiting += workload.waiting;
            sum.running += workload.running;
            sum.cache_tokens += workload.cache_tokens;
        }
        if reported_ms > 0.0 {
            // The target has continued its prefill since the reports, one prompt after the other
            // whichever gateway sent it.
            sum.pending_prefill_ms += (reported_ms - weighted_age_ms / reported_ms).max(0.0);
        }
        sum
    }

    /// Returns the longest time that a request of this process has waited for its first event, in
    /// milliseconds.
    pub fn oldest_wait_ms(&self, now: Timestamp) -> f64 {
        self.sends
            .iter()
            .filter(|send| !send.started)
            .map(|send| now.since(send.sent_at).as_secs_f64() * 1_000.0)
            .fold(0.0, f64::max)
    }

    /// Returns whether this process has no request in flight at the target.
    pub fn is_idle(&self) -> bool {
        self.sends.is_empty()
    }
}
