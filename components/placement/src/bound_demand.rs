//! Streams that are bound to a version of the engines' software, by model.

use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use wire::BoundStreams;

/// Time for which the last report of a gateway counts: its streams are taken up by their callers after
/// it has ended, within their deadline.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which a report of waiting requests counts.
const WAITING_REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an ended stream counts: if it broke, its caller takes it up soon.
const ENDED_STREAM_LIFETIME: Duration = Duration::from_secs(3);

/// Streams that may break at once and go on at one engine: their prompts are read one after the other,
/// within about a second.
const STREAMS_PER_COPY: u32 = 8;

/// Demand for a model at one version of the engines' software.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BoundDemand {
    /// Streams that run or have just ended.
    pub streams: u32,
    /// Requests that wait for a copy at an engine of the version.
    pub waiting: u32,
}

impl BoundDemand {
    /// Returns the number of copies that the streams need.
    pub(crate) const fn needed_copies(self) -> usize {
        self.streams.saturating_add(self.waiting).div_ceil(STREAMS_PER_COPY) as usize
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnDemand {
    streams: u32,
    waiting: u32,
    last_ended_at: Option<Timestamp>,
}

impl OwnDemand {
    fn demand(self, now: Timestamp) -> BoundDemand {
        let just_ended = self.last_ended_at.is_some_and(|at| now.since(at) < ENDED_STREAM_LIFETIME);
        BoundDemand { streams: self.streams.max(u32::from(just_ended)), waiting: self.waiting }
    }
}

/// Bound streams at this gateway and at the others.
#[derive(Clone, Debug, Default)]
pub struct BoundDemandTable {
    /// By model and version.
    own: SortedMap<(CompactString, CompactString), OwnDemand>,
    peers: SortedMap<ProcessId, (Vec<BoundStreams>, Timestamp)>,
}

impl BoundDemandTable {
    /// Records the start of a stream that is bound to a version.
    pub fn record_begin(&mut self, model: &str, software: &str) {
        self.entry(model, software).streams += 1;
    }

    /// Records the end of such a stream.
    pub fn record_end(&mut self, model: &str, software: &str, now: Timestamp) {
        let demand = self.entry(model, software);
        demand.streams = demand.streams.saturating_sub(1);
        demand.last_ended_at = Some(now);
    }

    /// Records that such a stream starts or stops waiting for a copy of its model.
    pub fn record_waiting(&mut self, model: &str, software: &str, starts: bool) {
        let demand = self.entry(model, software);
        demand.waiting = if starts { demand.waiting + 1 } else { demand.waiting.saturating_sub(1) };
    }

    fn entry(&mut self, model: &str, software: &str) -> &mut OwnDemand {
        let key = (CompactString::new(model), CompactString::new(software));
        self.own.get_or_insert_with(key, OwnDemand::default)
    }

    /// Replaces the streams that a run of another gateway reports.
    pub fn update_peer(&mut self, peer: &ProcessId, streams: Vec<BoundStreams>, now: Timestamp) {
        self.peers.retain(|_, (_, received)| now.since(*received) < PEER_REPORT_LIFETIME);
        if streams.is_empty() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), (streams, now));
        }
    }

    /// Returns the streams of this gateway, to be reported to the others.
    pub fn own_streams(&mut self, now: Timestamp) -> Vec<BoundStreams> {
        self.own.retain(|_, demand| demand.demand(now) != BoundDemand::default());
        self.own
            .iter()
            .map(|((model, software), own)| {
                let demand = own.demand(now);
                BoundStreams {
                    model: short_hash(model.as_bytes()),
                    software: short_hash(software.as_bytes()),
                    streams: demand.streams,
                    waiting: demand.waiting,
                }
            })
            .collect()
    }

    /// Returns the demand of all gateways, by the short hashes of model and version.
    pub fn totals(&self, now: Timestamp) -> SortedMap<(u32, u32), BoundDemand> {
        let own = self.own.iter().map(|((model, software), own)| {
            ((short_hash(model.as_bytes()), short_hash(software.as_bytes())), own.demand(now))
        });
        let peers = self.peers.values().flat_map(|(reports, received)| {
            let age = now.since(*received);
            reports.iter().filter(move |_| age < PEER_REPORT_LIFETIME).map(move |report| {
                let waiting = if age < WAITING_REPORT_LIFETIME { report.waiting } else { 0 };
                ((report.model, report.software), BoundDemand { streams: report.streams, waiting })
            })
        });
        let mut totals: SortedMap<(u32, u32), BoundDemand> = SortedMap::new();
        for (key, demand) in own.chain(peers) {
            let total = totals.get_or_insert_with(key, BoundDemand::default);
            total.streams += demand.streams;
            total.waiting += demand.waiting;
        }
        totals
    }

    /// Returns the demand of all gateways for a model at a version.
    pub fn total(&self, model: &str, software: &str, now: Timestamp) -> BoundDemand {
        let key = (short_hash(model.as_bytes()), short_hash(software.as_bytes()));
        self.totals(now).get(&key).copied().unwrap_or_default()
    }
}
