//! Evidence for and against one subject.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use wire::Subject;

use crate::crash::Crash;
use crate::hold::Hold;
use crate::part_crashes::PartCrashes;
use crate::settings::QuarantineSettings;

/// Crashes of a subject up to which all are kept; beyond them only those that count by themselves.
const FULL_CRASHES: usize = 8;
/// Most crashes kept of a subject.
const MAX_CRASHES: usize = 24;
/// Crashes by other prompts, of targets that had sent no head, up to which a request with a part that was
/// answered before is sent again.
const ANSWERED_CRASHES_BESIDE: usize = 1;

/// A part or a request that was at a target when that crashed.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    /// What it is.
    pub subject: Subject,
    /// Crashes after the last output, in order of time; of a part only those of targets that had sent the
    /// head of a response.
    pub crashes: Vec<Crash>,
    /// All crashes of a part after the last output.
    pub part_crashes: PartCrashes,
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
    pub fn new(subject: Subject, output_at: Option<Timestamp>) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            part_crashes: PartCrashes::default(),
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
        if matches!(self.subject, Subject::Part(_)) {
            self.part_crashes.add(crash);
            if !crash.has_head {
                return;
            }
        }
        let known = self.crashes.iter().position(|known| known.is_same(&crash));
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
        self.part_crashes.drop_until(at);
        let ends = self.hold.is_some_and(|hold| hold.since < at + precision);
        if ends {
            self.hold = None;
        }
        ends
    }

    /// Drops crashes from before `oldest`.
    pub fn expire(&mut self, oldest: Timestamp) {
        self.crashes.retain(|crash| crash.at >= oldest);
        self.part_crashes.drop_before(oldest);
    }

    /// Whether there is any evidence against it.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty() || !self.part_crashes.as_slice().is_empty()
    }

    /// Whether it is a part with nothing but crashes of targets that had sent no head, or outputs.
    pub fn is_headless(&self) -> bool {
        matches!(self.subject, Subject::Part(_)) && self.crashes.is_empty() && self.hold.is_none()
    }

    /// All crashes, each once.
    pub fn all_crashes(&self) -> impl Iterator<Item = &Crash> {
        let headless = self.part_crashes.as_slice().iter().filter(|crash| !crash.has_head);
        self.crashes.iter().chain(headless)
    }

    /// Order in which evidence is worth keeping.
    pub fn strength(&self) -> (bool, usize, usize, Option<Timestamp>) {
        let newest = self.all_crashes().map(|crash| crash.at).max();
        (self.hold.is_some(), self.crashes.len(), self.part_crashes.target_count(), newest)
    }

    /// Whether a request with it was at a target when that ended.
    pub fn was_at(&self, target: u32) -> bool {
        self.crashes.iter().any(|crash| crash.target == target) || self.part_crashes.were_at(target)
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

    /// When a part was last in a crash, if `limit` targets have ended while they ran this prompt. Without
    /// the head of a response this counts only for a part that was never answered; then one target is
    /// enough if another prompt with the part was in a crash too.
    pub fn repeated_at(&self, prompt: u32, limit: usize, gap: Duration) -> Option<Timestamp> {
        let of_prompt = self.crashes.iter().filter(|crash| crash.prompt == prompt).count();
        if of_prompt >= limit {
            return self.crashes.last().map(|crash| crash.at);
        }
        let of_prompt = self.part_crashes.count_by(prompt);
        let is_repeated = self.cleared_at.is_none()
            && (of_prompt >= limit
                || of_prompt > 0 && self.part_crashes.count_beside(prompt, gap) > 0);
        self.part_crashes.as_slice().last().filter(|_| is_repeated).map(|crash| crash.at)
    }

    /// Whether a part was in crashes by other prompts that speak against another send of this one.
    /// Requests beside the cause of a crash have sound parts, most of which were answered before.
    pub fn discourages_retry(&self, prompt: u32, gap: Duration) -> bool {
        let allowed = if self.cleared_at.is_some() { ANSWERED_CRASHES_BESIDE } else { 0 };
        self.crashes.iter().any(|crash| crash.prompt != prompt)
            || self.part_crashes.count_beside(prompt, gap) > allowed
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
