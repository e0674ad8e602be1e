//! All crashes of targets that ran requests with one part.

use std::time::Duration;

use base::Timestamp;

use crate::crash::Crash;

/// Crashes up to which all are kept; beyond them only one of each target.
const FULL_CRASHES: usize = 6;
/// Most crashes kept.
const MAX_CRASHES: usize = 24;

/// Crashes of targets that ran requests with a part, whether they had sent the head of a response or not,
/// after the last output on the part and in order of time.
///
/// A target that ends holds many requests without a head, so that their parts are in the crash with the
/// one that caused it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartCrashes {
    crashes: Vec<Crash>,
}

impl PartCrashes {
    /// Adds a crash.
    pub fn add(&mut self, crash: Crash) {
        let known = self.crashes.iter().position(|known| known.is_same(&crash));
        match known {
            // Reports take time, so the earliest time is the closest.
            Some(at) => self.crashes[at].at = self.crashes[at].at.min(crash.at),
            None if self.has_room(&crash) => self.crashes.push(crash),
            None => return,
        }
        self.crashes.sort_unstable_by_key(|crash| crash.at);
    }

    fn has_room(&self, crash: &Crash) -> bool {
        let len = self.crashes.len();
        len < FULL_CRASHES || len < MAX_CRASHES && !self.were_at(crash.target)
    }

    /// Drops the crashes up to `at`.
    pub fn drop_until(&mut self, at: Timestamp) {
        self.crashes.retain(|crash| crash.at > at);
    }

    /// Drops the crashes before `oldest`.
    pub fn drop_before(&mut self, oldest: Timestamp) {
        self.crashes.retain(|crash| crash.at >= oldest);
    }

    /// Crashes in order of time.
    pub fn as_slice(&self) -> &[Crash] {
        &self.crashes
    }

    /// Whether a request with the part was at this target when it ended.
    pub fn were_at(&self, target: u32) -> bool {
        self.crashes.iter().any(|crash| crash.target == target)
    }

    /// Number of targets that ended.
    pub fn target_count(&self) -> usize {
        let is_first = |(at, crash): &(usize, &Crash)| {
            !self.crashes[..*at].iter().any(|earlier| earlier.target == crash.target)
        };
        self.crashes.iter().enumerate().filter(is_first).count()
    }

    /// Number of targets that ended while they ran this prompt.
    pub fn count_by(&self, prompt: u32) -> usize {
        self.crashes.iter().filter(|crash| crash.prompt == prompt).count()
    }

    /// Crashes that count by themselves of those that `is_evidence` accepts: of different prompts, at
    /// different targets, and `gap` apart, since targets that lose power together have the same parts.
    pub fn counted(&self, gap: Duration, is_evidence: impl Fn(&Crash) -> bool) -> Vec<Crash> {
        let mut counted: Vec<Crash> = Vec::new();
        for crash in self.crashes.iter().filter(|crash| is_evidence(crash)) {
            let stands_apart = counted.iter().all(|other| {
                crash.target != other.target
                    && crash.prompt != other.prompt
                    && crash.distance(other) >= gap
            });
            if stands_apart {
                counted.push(*crash);
            }
        }
        counted
    }

    /// Number of crashes by other prompts that count by themselves, at targets that did not run this one.
    pub fn count_beside(&self, prompt: u32, gap: Duration) -> usize {
        let is_beside =
            |crash: &Crash| crash.prompt != prompt && !self.include(crash.target, prompt);
        self.counted(gap, is_beside).len()
    }

    /// Whether this prompt was at a target when it ended.
    pub fn include(&self, target: u32, prompt: u32) -> bool {
        self.crashes.iter().any(|crash| (crash.target, crash.prompt) == (target, prompt))
    }

    /// Whether the part was at all targets of `other`, and at further ones.
    pub fn exceed(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.were_at(crash.target))
            && self.crashes.iter().any(|crash| !other.were_at(crash.target))
    }

    /// Whether the part was at the target of a crash of `other` in a request without that one.
    pub fn were_beside(&self, other: &Self, crash: &Crash) -> bool {
        self.crashes
            .iter()
            .any(|own| own.target == crash.target && !other.include(own.target, own.prompt))
    }
}
