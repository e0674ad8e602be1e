//! Record of the versions that began streams.

use std::collections::VecDeque;
use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;
use wire::{KnownStream, StreamOrigin};

/// Bounds of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamOriginsSettings {
    /// Time for which a stream is remembered after it was last recorded; longer than a stream lasts
    /// together with the attempts to take it up.
    pub retention: Duration,
    /// Most streams; the oldest are forgotten first.
    pub max_streams: usize,
}

impl Default for StreamOriginsSettings {
    fn default() -> Self {
        Self { retention: Duration::from_secs(60), max_streams: 16_384 }
    }
}

#[derive(Clone, Debug)]
struct Known {
    service: u32,
    software: CompactString,
    at: Timestamp,
}

/// The versions that began the latest streams, by attempt.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    settings: StreamOriginsSettings,
    streams: SortedMap<u64, Known>,
    /// Attempts in the order in which they were recorded; one that was recorded again appears twice.
    order: VecDeque<(Timestamp, u64)>,
}

impl StreamOrigins {
    /// Creates an empty record.
    pub fn new(settings: StreamOriginsSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a stream that has begun, or goes on.
    pub fn record(&mut self, origin: &StreamOrigin, now: Timestamp) {
        self.record_at(origin, now, now);
    }

    /// Records a stream that another process knows; what is known of it since then stays.
    pub fn record_known(&mut self, known: &KnownStream, now: Timestamp) {
        let at = now - Duration::from_millis(u64::from(known.age_ms));
        let is_newer = |earlier: &Known| earlier.at < at;
        if self.streams.get(&known.origin.attempt).is_none_or(is_newer) {
            self.record_at(&known.origin, at, now);
        }
    }

    fn record_at(&mut self, origin: &StreamOrigin, at: Timestamp, now: Timestamp) {
        self.forget_old(now);
        while self.streams.len() >= self.settings.max_streams {
            let Some((at, attempt)) = self.order.pop_front() else { break };
            self.forget(attempt, at);
        }
        let software = origin.software.clone();
        self.streams.insert(origin.attempt, Known { service: origin.service, software, at });
        self.order.push_back((at, origin.attempt));
    }

    /// Returns the version that began the stream of an attempt.
    pub fn software_of(
        &self,
        attempt: u64,
        service: u32,
        now: Timestamp,
    ) -> Option<&CompactString> {
        self.streams
            .get(&attempt)
            .filter(|known| known.service == service && self.is_recent(known.at, now))
            .map(|known| &known.software)
    }

    /// Iterates over the streams for another process, the last ones first.
    pub fn known_streams(&self, now: Timestamp) -> impl Iterator<Item = KnownStream> {
        self.order.iter().rev().filter_map(move |(at, attempt)| {
            let known = self.streams.get(attempt).filter(|known| known.at == *at)?;
            let software = known.software.clone();
            let origin = StreamOrigin { attempt: *attempt, service: known.service, software };
            let age_ms = u32::try_from(now.since(known.at).as_millis()).unwrap_or(u32::MAX);
            self.is_recent(known.at, now).then_some(KnownStream { origin, age_ms })
        })
    }

    /// Returns the versions of a service that began streams, sorted.
    pub fn versions(&self, service: u32, now: Timestamp) -> Vec<CompactString> {
        let mut versions: Vec<CompactString> = Vec::new();
        for known in self.streams.values() {
            if known.service == service
                && self.is_recent(known.at, now)
                && let Err(at) = versions.binary_search(&known.software)
            {
                versions.insert(at, known.software.clone());
            }
        }
        versions
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.len() == 0
    }

    fn is_recent(&self, at: Timestamp, now: Timestamp) -> bool {
        now.since(at) < self.settings.retention
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some((at, attempt)) = self.order.front().copied() {
            if self.is_recent(at, now) {
                break;
            }
            self.order.pop_front();
            self.forget(attempt, at);
        }
    }

    /// Forgets a stream unless it was recorded again after `at`.
    fn forget(&mut self, attempt: u64, at: Timestamp) {
        if self.streams.get(&attempt).is_some_and(|known| known.at == at) {
            self.streams.remove(&attempt);
        }
    }
}
