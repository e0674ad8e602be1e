//! Evidence for and against one part.

use std::time::Duration;

use base::Timestamp;

use crate::crash::Crash;
use crate::hold::Hold;

/// Crashes of a part up to which all are kept; beyond them only those that count by themselves.
const FULL_CRASHES: usize = 8;
/// Most crashes kept of a part.
const MAX_CRASHES: usize = 24;

/// A part that was in a request at the crash of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Crashes after the last output, in order of time.
    pub crashes: Vec<Crash>,
    /// Last output on the part at any gateway.
    pub cleared_at: Option<Timestamp>,
    /// Last output on the part at this gateway.
    pub own_cleared_at: Option<Timestamp>,
    /// Whether a request of this gateway was in one of the crashes.
    pub is_own: bool,
    /// The quarantine, if there is one.
    pub hold: Option<Hold>,
}

impl Suspect {
    /// Adds a crash unless an output came after it.
    pub fn add_crash(&mut self, crash: Crash, gap: Duration) {
        if self.cleared_at.is_some_and(|cleared| cleared >= crash.at) {
            return;
        }
        let known = self
            .crashes
            .iter()
            .position(|known| known.target == crash.target && known.prompt == crash.prompt);
        match known {
            // Reports take time, so the earliest time is the closest.
            Some(at) => self.crashes[at].at = self.crashes[at].at.min(crash.at),
            None if self.has_room(crash.at, gap) => self.crashes.push(crash),
            None => return,
        }
        self.crashes.sort_unstable_by_key(|crash| crash.at);
    }

    fn has_room(&self, at: Timestamp, gap: Duration) -> bool {
        let stands_apart =
            || self.crashes.iter().all(|known| known.at.since(at).max(at.since(known.at)) >= gap);
        self.crashes.len() < FULL_CRASHES || self.crashes.len() < MAX_CRASHES && stands_apart()
    }

    /// Applies an output at `at`, which is known up to `precision`; returns whether it ends a
    /// quarantine.
    pub fn clear(&mut self, at: Timestamp, precision: Duration) -> bool {
        self.cleared_at = self.cleared_at.max(Some(at));
        self.crashes.retain(|crash| crash.at > at);
        let ends = self.hold.is_some_and(|hold| hold.since < at + precision);
        if ends {
            self.hold = None;
        }
        ends
    }

    /// Drops crashes from before `oldest`.
    pub fn expire(&mut self, oldest: Timestamp) {
        self.crashes.retain(|crash| crash.at >= oldest);
    }

    /// Number of crashes up to `settled` that count, each by another prompt. Crashes within `gap` count
    /// once if there were others at that time, as when engines lose power together; `others` tells.
    pub fn weight(
        &self,
        gap: Duration,
        settled: Timestamp,
        others: impl Fn(Timestamp) -> bool,
    ) -> usize {
        let mut weight = 0;
        let mut prompts: Vec<u32> = Vec::new();
        let mut last_counted: Option<Timestamp> = None;
        for crash in self.crashes.iter().filter(|crash| crash.at <= settled) {
            let stands_apart = last_counted.is_none_or(|last| crash.at.since(last) >= gap);
            if !prompts.contains(&crash.prompt) && (stands_apart || !others(crash.at)) {
                weight += 1;
                last_counted = Some(crash.at);
                prompts.push(crash.prompt);
            }
        }
        weight
    }

    /// Number of crashes by a prompt.
    pub fn crashes_by(&self, prompt: u32) -> usize {
        self.crashes.iter().filter(|crash| crash.prompt == prompt).count()
    }

    /// Whether the part was in this crash.
    pub fn was_in(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.target == crash.target && own.prompt == crash.prompt)
    }

    /// Whether the part was in all crashes of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.was_in(crash))
    }
}
