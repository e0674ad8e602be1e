//! Evidence for and against one subject.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use wire::{CrashCopy, HoldCopy, Subject, SubjectReport};

use crate::crash::Crash;
use crate::hold::Hold;
use crate::part_crashes::PartCrashes;
use crate::quarantine_change::QuarantineChange;
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
        let ends = self.hold.as_ref().is_some_and(|hold| hold.since < at + precision);
        if ends {
            self.hold = None;
        }
        ends
    }

    /// Takes over a quarantine that another gateway has begun, renewed or narrowed. Of two sets of which
    /// neither contains the other, the own one stays: their crashes may have had different causes, and no
    /// crash names what the sets have in common.
    pub fn adopt_hold(
        &mut self,
        copy: &HoldCopy,
        since: Timestamp,
        until: Timestamp,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        let HoldCopy { failed_trials, ref companions, .. } = *copy;
        if let Some(hold) = self.hold.as_ref().filter(|hold| failed_trials <= hold.failed_trials) {
            let is_narrower = companions.iter().all(|part| hold.companions.contains(part));
            return is_narrower
                .then(|| self.narrow_hold(|part| companions.contains(&part)))
                .flatten();
        }
        let companions = companions.clone();
        self.hold = Some(Hold {
            since,
            until,
            failed_trials,
            on_trial: false,
            companions: companions.clone(),
        });
        Some(QuarantineChange::Begun {
            subject: self.subject,
            companions,
            crashes: self.all_crashes().count(),
            hold: until.since(now),
            failed_trials,
            is_own: false,
        })
    }

    /// Keeps the companions of the quarantine that `is_kept` accepts.
    pub fn narrow_hold(&mut self, is_kept: impl Fn(u64) -> bool) -> Option<QuarantineChange> {
        let hold = self.hold.as_mut()?;
        hold.narrow(is_kept).then(|| QuarantineChange::Narrowed {
            subject: self.subject,
            companions: hold.companions.clone(),
        })
    }

    /// The evidence, for other gateways and for the store.
    pub fn report(&self, now: Timestamp) -> SubjectReport {
        let age_ms = |at: Timestamp| whole_millis(now.since(at));
        let crashes = self.all_crashes().map(|crash| CrashCopy {
            target: crash.target,
            service: crash.service,
            prompt: crash.prompt,
            reporter: crash.reporter,
            has_head: crash.has_head,
            age_ms: age_ms(crash.at),
        });
        SubjectReport {
            subject: self.subject,
            crashes: crashes.collect(),
            cleared_age_ms: self.own_cleared_at.map(age_ms),
            hold: self.hold.as_ref().map(|hold| HoldCopy {
                age_ms: age_ms(hold.since),
                remaining_ms: whole_millis(hold.until.since(now)),
                failed_trials: hold.failed_trials,
                companions: hold.companions.clone(),
            }),
        }
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
        self.had_head_at(target) || self.part_crashes.were_at(target)
    }

    /// Whether the target had sent the head of a response to a request with it when it ended.
    pub fn had_head_at(&self, target: u32) -> bool {
        self.crashes.iter().any(|crash| crash.target == target)
    }

    /// Number of targets that ended after they had sent the head of a response to a request with it.
    pub fn headed_target_count(&self) -> usize {
        let targets: SortedMap<u32, ()> =
            self.crashes.iter().map(|crash| (crash.target, ())).collect();
        targets.len()
    }

    /// Whether a request with both parts was at a target when it ended.
    pub fn were_together(&self, other: &Self, target: u32) -> bool {
        let mut own = self.all_crashes().filter(|crash| crash.target == target);
        own.any(|crash| {
            other
                .all_crashes()
                .any(|theirs| (theirs.target, theirs.prompt) == (crash.target, crash.prompt))
        })
    }

    /// Number of `crashes` of a part that count: once for each prompt and each target. Crashes within
    /// `gap` count once if there were others at that time, as when engines lose power together.
    pub fn weight_of_part(
        crashes: &[Crash],
        gap: Duration,
        others: impl Fn(Timestamp) -> bool,
    ) -> usize {
        let mut counted: Vec<Crash> = Vec::new();
        for crash in crashes {
            let is_new = counted
                .iter()
                .all(|other| other.prompt != crash.prompt && other.target != crash.target);
            let stands_apart = counted.last().is_none_or(|last| crash.at.since(last.at) >= gap);
            if is_new && (stands_apart || !others(crash.at)) {
                counted.push(*crash);
            }
        }
        counted.len()
    }

    /// Number of crashes of a request up to `settled` that count: once for each target. A popular
    /// request is at all targets that lose power together, so crashes count once within the precision
    /// of their times: those that one gateway saw are exact, as when it sends the request from one
    /// target to the next.
    pub fn weight_of_request(&self, settings: &QuarantineSettings, settled: Timestamp) -> usize {
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

/// Whole milliseconds of a duration, as reports hold them.
pub(crate) fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
