//! Prompt prefix cache of the stand-in engine, and its events.

use std::collections::VecDeque;
use std::time::Duration;

use base::seeded_rng;
use compact_str::CompactString;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

use crate::EngineSettings;

/// Most events kept; the oldest go first, which readers see as a gap.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Cleared,
    Evicted,
    Stored,
}

#[derive(Clone, Debug, Serialize)]
struct Event {
    sequence: u64,
    kind: Kind,
    model: CompactString,
    block: u64,
    #[serde(skip)]
    at: Instant,
    #[serde(skip)]
    lost: bool,
}

/// Answer to `GET /cache-events`.
#[derive(Debug, Serialize)]
pub(crate) struct EventsAnswer {
    events: Vec<serde_json::Value>,
    last: u64,
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// Most blocks held.
    pub(crate) capacity: usize,
    /// Share of the events that are lost, in percent.
    pub(crate) loss_percent: u32,
    rng: ChaCha8Rng,
    /// Least recently used first.
    blocks: VecDeque<(CompactString, u64)>,
    events: VecDeque<Event>,
    sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            loss_percent: settings.cache_event_loss_percent,
            rng: seeded_rng(settings.seed),
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Number of leading blocks that are held; all of them are held and used afterwards.
    pub(crate) fn touch(&mut self, model: &str, blocks: &[u64]) -> usize {
        let mut hits = 0;
        let mut leading = true;
        for block in blocks {
            let held = self.blocks.iter().position(|(m, b)| m == model && b == block);
            match held.and_then(|at| self.blocks.remove(at)) {
                Some(entry) => {
                    self.blocks.push_back(entry);
                    hits += usize::from(leading);
                }
                None => {
                    leading = false;
                    self.blocks.push_back((model.into(), *block));
                    self.record(Kind::Stored, model, *block);
                }
            }
            while self.blocks.len() > self.capacity {
                if let Some((model, block)) = self.blocks.pop_front() {
                    self.record(Kind::Evicted, &model, block);
                }
            }
        }
        hits
    }

    /// Drops the blocks of a model.
    pub(crate) fn clear(&mut self, model: &str) {
        self.blocks.retain(|(m, _)| m != model);
        self.record(Kind::Cleared, model, 0);
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Events after a number that are old enough to show and were not lost.
    pub(crate) fn events_after(&self, after: u64, lag: Duration) -> EventsAnswer {
        let shown = || self.events.iter().filter(|event| event.at.elapsed() >= lag);
        let events = shown().filter(|event| event.sequence > after && !event.lost);
        EventsAnswer {
            events: events.filter_map(|event| serde_json::to_value(event).ok()).collect(),
            last: shown().next_back().map_or(0, |event| event.sequence),
        }
    }

    fn record(&mut self, kind: Kind, model: &str, block: u64) {
        self.sequence += 1;
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let (sequence, at, model) = (self.sequence, Instant::now(), model.into());
        self.events.push_back(Event { sequence, kind, model, block, at, lost });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
