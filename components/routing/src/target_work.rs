//! Work that is known to be at a target.

use std::time::Duration;

use base::{ProcessName, SortedMap, Timestamp};
use wire::AdapterName;

use crate::SendId;

/// Age at which a peer's word on its own work no longer counts.
const PEER_WORKLOAD_TTL: Duration = Duration::from_millis(1_500);

/// Load that a target reports with its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Most requests that run at once.
    pub slots: u32,
}

/// Work of one process at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Time that the target needs for the prompts that it has not answered yet, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Requests without a first event.
    pub waiting: u32,
    /// Requests with a first event.
    pub running: u32,
    /// Memory of all of them at their end, in tokens.
    pub cache_tokens: u64,
}

/// What a request of this process takes at a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Time that the target needs for the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Memory at its end, in tokens.
    pub cache_tokens: u64,
    /// Adapter that it runs on.
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
    /// Adds a request of this process that is sent now.
    pub fn add(&mut self, work: RequestWork, now: Timestamp) -> SendId {
        let id = SendId(self.next_id);
        self.next_id += 1;
        self.sends.push(InFlightRequest { id, sent_at: now, work, started: false });
        id
    }

    /// Adapters of the requests of this process.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.sends.iter().filter_map(|send| send.work.adapter.as_ref())
    }

    /// The target gave the first event (or the answer) of a request.
    pub fn record_first_event(&mut self, id: SendId) {
        if let Some(send) = self.find(id) {
            send.started = true;
        }
    }

    /// A request ended.
    pub fn record_end(&mut self, id: SendId) {
        if let Ok(at) = self.sends.binary_search_by_key(&id, |send| send.id) {
            self.sends.remove(at);
        }
    }

    fn find(&mut self, id: SendId) -> Option<&mut InFlightRequest> {
        let at = self.sends.binary_search_by_key(&id, |send| send.id).ok()?;
        self.sends.get_mut(at)
    }

    /// Work of this process.
    pub fn local(&self) -> Workload {
        self.sends.iter().fold(Workload::default(), |mut share, send| {
            share.cache_tokens += send.work.cache_tokens;
            if send.started {
                share.running += 1;
            } else {
                share.waiting += 1;
                share.pending_prefill_ms += send.work.prefill_ms;
            }
            share
        })
    }

    /// Takes a peer's word on its own work.
    pub fn update_peer(&mut self, peer: &ProcessName, share: Workload, now: Timestamp) {
        if share == Workload::default() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), (share, now));
        }
    }

    /// Work of all processes, as far as known.
    pub fn total(&self, now: Timestamp) -> Workload {
        self.peers.values().filter(|(_, at)| now.since(*at) < PEER_WORKLOAD_TTL).fold(
            self.local(),
            |mut sum, (share, at)| {
                // The target has gone on reading since the peer said so.
                let age_ms = now.since(*at).as_secs_f64() * 1_000.0;
                sum.pending_prefill_ms += (share.pending_prefill_ms - age_ms).max(0.0);
                sum.waiting += share.waiting;
                sum.running += share.running;
                sum.cache_tokens += share.cache_tokens;
                sum
            },
        )
    }

    /// How long the oldest request of this process has been without a first event, in milliseconds.
    pub fn oldest_wait_ms(&self, now: Timestamp) -> f64 {
        self.sends
            .iter()
            .filter(|send| !send.started)
            .map(|send| now.since(send.sent_at).as_secs_f64() * 1_000.0)
            .fold(0.0, f64::max)
    }

    /// Whether nothing of this process is at the target.
    pub fn is_idle(&self) -> bool {
        self.sends.is_empty()
    }
}
