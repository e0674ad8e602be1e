//! Evidence for and against one subject.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use wire::Subject;

use crate::crash::Crash;
use crate::hold::Hold;
use crate::settings::QuarantineSettings;

/// Crashes of a subject up to which all are kept; beyond them only those that count by themselves.
const FULL_CRASHES: usize = 8;
/// Most crashes kept of a subject.
const MAX_CRASHES: usize = 24;

/// A part or a request that was at a target when that crashed.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    /// What it is.
    pub subject: Subject,
    /// Crashes after the last output, in order of time.
    pub crashes: Vec<Crash>,
    /// Last output on it at any gateway.
    pub cleared_at: Option<Timestamp>,
    /// Last output on it at this gateway.
    pub own_cleared_at: Option<Timestamp>,
    /// Whether a request of this gateway was in one of the crashes.
    pub is_own: bool,
    /// The quarantine, if there is one.
    pub hold: Option<Hold>,
}

impl Suspect {
    /// A subject without crashes, with its last output at this gateway.
    pub const fn new(subject: Subject, output_at: Option<Timestamp>) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            cleared_at: output_at,
            own_cleared_at: output_at,
            is_own: false,
            hold: None,
        }
    }

    /// Adds a crash unless an output came after it.
    pub fn add_crash(&mut self, crash: Crash, gap: Duration) {
        if self.cleared_at.is_some_and(|cleared| cleared >= crash.at) {
            return;
        }
        let known = self.crashes.iter().position(|known| {
            (known.target, known.prompt, known.reporter)
                == (crash.target, crash.prompt, crash.reporter)
        });
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

    /// Number of crashes up to `settled` that count; `others` tells whether other requests met
    /// crashes at a time.
    pub fn weight(
        &self,
        settings: &QuarantineSettings,
        settled: Timestamp,
        others: impl Fn(Timestamp) -> bool,
    ) -> usize {
        match self.subject {
            Subject::Part(_) => self.weight_of_part(settings.crash_gap, settled, others),
            Subject::Request(_) => self.weight_of_request(settings, settled),
        }
    }

    /// Crashes count once for each prompt. Crashes within `gap` count once if there were others at
    /// that time, as when engines lose power together.
    fn weight_of_part(
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

    /// Crashes count once for each target. A popular request is at all targets that lose power
    /// together, so crashes count once within the precision of their times: those that one gateway saw
    /// are exact, as when it sends the request from one target to the next.
    fn weight_of_request(&self, settings: &QuarantineSettings, settled: Timestamp) -> usize {
        let reporters: SortedMap<u32, ()> =
            self.crashes.iter().map(|crash| (crash.reporter, ())).collect();
        let from_view_of = |first: u32| {
            let others = reporters.keys().copied().filter(|reporter| *reporter != first);
            let mut counted = self.seen_by(first, &[], settings, settled);
            let mut weight = counted.len();
            for reporter in others {
                let seen = self.seen_by(reporter, &counted, settings, settled);
                let apart = seen.iter().filter(|crash| {
                    counted.iter().all(|other| crash.distance(other) >= settings.reported_gap)
                });
                // Of several that one gateway saw one after the other, only the first may be one that
                // another gateway saw.
                weight += apart.count().max(seen.len().saturating_sub(1));
                counted.extend(seen);
            }
            weight
        };
        reporters.keys().map(|reporter| from_view_of(*reporter)).max().unwrap_or_default()
    }

    /// Crashes up to `settled` that one gateway saw one after the other, at targets that are not among
    /// `counted`.
    fn seen_by(
        &self,
        reporter: u32,
        counted: &[Crash],
        settings: &QuarantineSettings,
        settled: Timestamp,
    ) -> Vec<Crash> {
        let mut seen: Vec<Crash> = Vec::new();
        let own = |crash: &&Crash| crash.at <= settled && crash.reporter == reporter;
        for crash in self.crashes.iter().filter(own) {
            let is_new = !seen.iter().chain(counted).any(|other| other.target == crash.target);
            if is_new && seen.iter().all(|other| crash.distance(other) >= settings.exact_gap) {
                seen.push(*crash);
            }
        }
        seen
    }

    /// Number of crashes by a prompt.
    pub fn crashes_by(&self, prompt: u32) -> usize {
        self.crashes.iter().filter(|crash| crash.prompt == prompt).count()
    }

    /// Whether the subject was in this crash: a part in a request that met it, a whole request at the
    /// target that ended.
    pub fn was_in(&self, crash: &Crash) -> bool {
        let is_part = matches!(self.subject, Subject::Part(_));
        self.crashes
            .iter()
            .any(|own| own.target == crash.target && (!is_part || own.prompt == crash.prompt))
    }

    /// Whether the subject was in all crashes of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.was_in(crash))
    }
}
