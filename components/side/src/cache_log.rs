//! Recent events of the engine's prompt prefix cache, for entry processes.

use std::collections::VecDeque;

use base::SortedMap;
use compact_str::CompactString;
use engine::{CacheEventKind, CacheEvents};
use wire::{CacheChange, CacheEventCopy, CacheUpdate};

/// Maximum number of buffered events.
const MAX_CACHE_EVENTS: usize = 1_024;
/// Maximum number of tracked blocks; blocks beyond it are omitted, which only lowers the cache
/// score of this target in routing.
const MAX_CACHE_BLOCKS: usize = 4_096;

/// The latest gapless run of events, and the blocks known to be cached.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheLog {
    last: u64,
    events: VecDeque<CacheEventCopy>,
    blocks: SortedMap<u64, CompactString>,
}

impl CacheLog {
    /// Applies the engine's response with the events after the last one.
    pub fn apply_answer(&mut self, answer: &CacheEvents) {
        if answer.last < self.last {
            // A restarted engine counts from the beginning, and its cache is empty.
            self.reset(0);
        }
        for event in &answer.events {
            if event.sequence <= self.last {
                continue;
            }
            if event.sequence > self.last + 1 {
                self.reset(event.sequence - 1);
            }
            self.apply_event(CacheEventCopy {
                sequence: event.sequence,
                change: match event.kind {
                    CacheEventKind::Cleared => CacheChange::Cleared,
                    CacheEventKind::Evicted => CacheChange::Evicted,
                    CacheEventKind::Stored => CacheChange::Stored,
                },
                model: event.model.clone(),
                block: event.block,
            });
        }
        if answer.last > self.last {
            self.reset(answer.last);
        }
    }

    /// Discards all state, since events through `last` were missed.
    fn reset(&mut self, last: u64) {
        self.last = last;
        self.events.clear();
        self.blocks = SortedMap::new();
    }

    fn apply_event(&mut self, event: CacheEventCopy) {
        match event.change {
            CacheChange::Cleared => self.blocks.retain(|_, model| *model != event.model),
            CacheChange::Evicted => drop(self.blocks.remove(&event.block)),
            CacheChange::Stored if self.blocks.len() < MAX_CACHE_BLOCKS => {
                self.blocks.insert(event.block, event.model.clone());
            }
            CacheChange::Stored => {}
        }
        self.last = event.sequence;
        self.events.push_back(event);
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// Sequence number of the last applied event.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Update for an entry process that has the events through `after`.
    pub fn update_after(&self, after: u64) -> CacheUpdate {
        let first = self.events.front().map_or(self.last + 1, |event| event.sequence);
        if after > self.last || after + 1 < first {
            let blocks = self.blocks.keys().copied().collect();
            return CacheUpdate::Blocks { through: self.last, blocks };
        }
        CacheUpdate::Events(self.events.iter().filter(|e| e.sequence > after).cloned().collect())
    }
}
