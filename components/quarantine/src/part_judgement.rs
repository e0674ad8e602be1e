//! Which parts explain crashes, and which of them the crashes don't tell apart.
//!
//! Without the head of a response, all requests at a target without output may have caused its crash. A
//! sound part is cleared by the next output on it anywhere, so that it is rarely in several crashes in a
//! row; the part that causes them is in each of them and never has an output.

use base::{SortedMap, Timestamp};
use wire::Subject;

use crate::background::Background;
use crate::crash::Crash;
use crate::part_crashes::PartCrashes;
use crate::settings::QuarantineSettings;
use crate::suspect::Suspect;

/// Crashes of targets of one part that must name another one that never had an output, so that it explains
/// these crashes better than a part that had.
const LIKELIER_CRASHES: usize = 2;

/// Whether a crash speaks against a part: no other part at that target explains it better. A target that
/// ends takes all its requests with it, so that sound parts are in the crash without being in the request
/// that caused it.
pub(crate) fn counts_against(
    suspect: &Suspect,
    crash: &Crash,
    suspects: &SortedMap<Subject, Suspect>,
) -> bool {
    let is_answered = suspect.cleared_at.is_some();
    !suspects.values().any(|other| {
        let is_other_part =
            other.subject != suspect.subject && matches!(other.subject, Subject::Part(_));
        let is_held = || {
            let part = suspect.subject.value();
            other.hold.as_ref().is_some_and(|hold| !hold.companions.contains(&part))
        };
        let is_likelier = || {
            is_answered
                && other.cleared_at.is_none()
                && other.headed_target_count() >= LIKELIER_CRASHES
        };
        is_other_part && other.had_head_at(crash.target) && (is_held() || is_likelier())
    })
}

/// Parts that were in requests with the suspect at the targets of all these crashes, in order.
pub(crate) fn companions(
    suspect: &Suspect,
    crashes: &[Crash],
    suspects: &SortedMap<Subject, Suspect>,
) -> Vec<u64> {
    let is_companion =
        |other: &Suspect| crashes.iter().all(|crash| suspect.were_together(other, crash.target));
    suspects
        .iter()
        .filter(|(subject, other)| {
            matches!(subject, Subject::Part(_))
                && **subject != suspect.subject
                && is_companion(other)
        })
        .map(|(subject, _)| subject.value())
        .collect()
}

/// Whether a request that was at a target contains the part. Repetitions of a request with the deadly part
/// are quarantined before the part, and must not hide it.
fn is_in_request(part: &Suspect, other: &Suspect, target: u32) -> bool {
    let is_request = matches!(other.subject, Subject::Request(_));
    let mut crashes = other.crashes.iter().filter(|crash| crash.target == target);
    is_request && crashes.any(|crash| part.part_crashes.include(target, crash.prompt))
}

/// The crashes that a part explains, if no other part explains them nearly as well.
pub(crate) fn explained_headless_crashes(
    suspect: &Suspect,
    suspects: &SortedMap<Subject, Suspect>,
    background: &Background,
    settings: &QuarantineSettings,
    now: Timestamp,
) -> Option<Vec<Crash>> {
    let own = &suspect.part_crashes;
    if own.as_slice().len() < settings.headless_crashes {
        return None;
    }
    let settled = now - settings.settle_time;
    let is_explained = |target: u32| {
        let mut held = suspects.values().filter(|other| other.hold.is_some());
        held.any(|other| other.was_at(target) && !is_in_request(suspect, other, target))
    };
    let is_evidence = |crash: &Crash| {
        crash.at <= settled
            && !is_explained(crash.target)
            && counts_against(suspect, crash, suspects)
    };
    let counted = own.counted(settings.crash_gap, is_evidence);
    let weight = counted.len();
    // An answer speaks against the part, whatever came after it.
    let is_answered = suspect.cleared_at.is_some();
    let answered = if is_answered { settings.answered_crashes } else { 0 };
    if weight < settings.headless_crashes + answered {
        return None;
    }
    let probability = background.crash_probability_beside(suspect, is_explained);
    let exponent = i32::try_from(weight).unwrap_or(i32::MAX);
    if probability.powi(exponent) > settings.false_positive {
        return None;
    }
    let rivals = || {
        suspects
            .values()
            .filter(|other| other.subject != suspect.subject && other.hold.is_none())
            .map(|other| &other.part_crashes)
    };
    // Where engines end for another reason, parts that are asked for often are in nearly as many crashes.
    let leads = |theirs: &PartCrashes| {
        let beside = counted.iter().filter(|crash| theirs.were_beside(own, crash)).count();
        beside + settings.headless_lead <= weight
    };
    rivals().all(|theirs| leads(theirs) && !theirs.exceed(own)).then_some(counted)
}
