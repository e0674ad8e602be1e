//! Events of the engine's prompt prefix cache, kept for entry processes.

use std::collections::VecDeque;

use base::SortedMap;
use compact_str::CompactString;
use engine::{CacheEventKind, CacheEvents};
use wire::{CacheChange, CacheEventCopy, CacheUpdate};

/// Events kept.
const MAX_CACHE_EVENTS: usize = 1_024;
/// Blocks remembered; what is stored beyond is left out, which only costs credit in routing.
const MAX_CACHE_BLOCKS: usize = 4_096;

/// The newest events without a gap, and the blocks known to be held.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheLog {
    last: u64,
    events: VecDeque<CacheEventCopy>,
    blocks: SortedMap<u64, CompactString>,
}

impl CacheLog {
    /// Takes the engine's answer about the events after the last one.
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

    /// Forgets everything: events through `last` were missed.
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

    /// Last event taken into account.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// What an entry process that knows the events through `after` has to be told.
    pub fn update_after(&self, after: u64) -> CacheUpdate {
        let first = self.events.front().map_or(self.last + 1, |event| event.sequence);
        if after > self.last || after + 1 < first {
            let blocks = self.blocks.keys().copied().collect();
            return CacheUpdate::Blocks { through: self.last, blocks };
        }
        CacheUpdate::Events(self.events.iter().filter(|e| e.sequence > after).cloned().collect())
    }
}
