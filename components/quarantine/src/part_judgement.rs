//! Which part explains crashes of targets that had not sent the head of a response.
//!
//! All requests at such a target without output may have caused the crash. A sound part is cleared by the
//! next output on it anywhere, so that it is rarely in several crashes in a row; the part that causes them
//! is in each of them and never has an output.

use base::{SortedMap, Timestamp};
use wire::Subject;

use crate::background::Background;
use crate::part_crashes::PartCrashes;
use crate::settings::QuarantineSettings;
use crate::suspect::Suspect;

/// Whether a request that was at a target contains the part. Repetitions of a request with the deadly part
/// are quarantined before the part, and must not hide it.
fn is_in_request(part: &Suspect, other: &Suspect, target: u32) -> bool {
    let is_request = matches!(other.subject, Subject::Request(_));
    let mut crashes = other.crashes.iter().filter(|crash| crash.target == target);
    is_request && crashes.any(|crash| part.part_crashes.include(target, crash.prompt))
}

/// Whether a part explains crashes that no other part explains nearly as well.
pub(crate) fn explains_crashes(
    suspect: &Suspect,
    suspects: &SortedMap<Subject, Suspect>,
    background: &Background,
    settings: &QuarantineSettings,
    now: Timestamp,
) -> bool {
    let own = &suspect.part_crashes;
    if own.as_slice().len() < settings.headless_crashes {
        return false;
    }
    let settled = now - settings.settle_time;
    let is_explained = |target: u32| {
        let mut held = suspects.values().filter(|other| other.hold.is_some());
        held.any(|other| other.was_at(target) && !is_in_request(suspect, other, target))
    };
    let counted =
        own.counted(settings.crash_gap, |crash| crash.at <= settled && !is_explained(crash.target));
    let weight = counted.len();
    // An answer speaks against the part, whatever came after it.
    let is_answered = suspect.cleared_at.is_some();
    let answered = if is_answered { settings.answered_crashes } else { 0 };
    if weight < settings.headless_crashes + answered {
        return false;
    }
    let probability = background.crash_probability_beside(suspect, is_explained);
    let exponent = i32::try_from(weight).unwrap_or(i32::MAX);
    if probability.powi(exponent) > settings.false_positive {
        return false;
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
    rivals().all(|theirs| leads(theirs) && !theirs.exceed(own))
}
