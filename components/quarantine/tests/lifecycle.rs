//! Begin and end of quarantines at one gateway.

use std::time::Duration;

use base::Timestamp;
use quarantine::{Quarantine, QuarantineChange, QuarantineSettings, RequestSubjects};
use wire::{StoredSubject, Subject};

const DEADLY: u64 = 7;
const DEADLY_PART: Subject = Subject::Part(DEADLY);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// The request with these parts, which is never repeated.
fn of(parts: &[u64]) -> RequestSubjects<'_> {
    RequestSubjects { parts, digest: parts.last().copied().unwrap_or_default(), service: 1 }
}

/// Parts of the request with this number.
fn deadly_request(number: u64) -> [u64; 3] {
    [DEADLY, 100 + number, 1_000 + number]
}

/// A gateway that has seen many outputs, then crashes by three requests, and has quarantined the part.
fn quarantined() -> (Quarantine, Timestamp) {
    let mut quarantine = Quarantine::new(QuarantineSettings::default(), "gateway-1");
    for number in 0..200 {
        quarantine.record_output(&of(&[1, 2, number]), at(1_000));
    }
    for number in 0..3 {
        let now = at(2_000 + 1_000 * number);
        quarantine.record_send(&of(&deadly_request(number)), now);
        quarantine.record_crash(&of(&deadly_request(number)), number as u32, now);
    }
    let now = at(5_000);
    let reports = quarantine.reports(now);
    assert!(reports.iter().any(|report| report.subject == DEADLY_PART && report.hold.is_some()));
    let changes = quarantine.take_changes();
    assert!(
        matches!(
            changes[..],
            [QuarantineChange::Begun { subject: DEADLY_PART, failed_trials: 0, .. }]
        ),
        "{changes:?}"
    );
    (quarantine, now)
}

/// Guards against requests with other parts that are refused with the deadly ones, and against a part
/// that is refused where it is the request's own.
#[test]
fn only_requests_with_the_shared_part_are_refused() {
    let (quarantine, now) = quarantined();
    let refusal = quarantine.refusal(&of(&deadly_request(9)), now);
    assert_eq!(refusal.map(|refusal| refusal.subject), Some(DEADLY_PART));
    assert_eq!(quarantine.refusal(&of(&[100, 101, 102, 9_000]), now), None);
    assert_eq!(quarantine.refusal(&of(&[100, DEADLY]), now), None);
    assert_eq!(quarantine.refusal(&of(&[]), now), None);
}

/// Guards against a quarantine that never ends, and against more than one trial after it.
#[test]
fn a_trial_is_sent_after_the_quarantine() {
    let settings = QuarantineSettings::default();
    let (mut quarantine, now) = quarantined();
    let end = now + settings.hold + settings.trial_spread;
    assert!(quarantine.refusal(&of(&deadly_request(9)), now + settings.hold / 2).is_some());
    assert!(quarantine.refusal(&of(&deadly_request(9)), end).is_none());
    quarantine.record_send(&of(&deadly_request(9)), end);
    assert!(quarantine.refusal(&of(&deadly_request(10)), end).is_some());

    quarantine.record_output(&of(&deadly_request(9)), end);
    assert_eq!(quarantine.take_changes(), [QuarantineChange::Released { subject: DEADLY_PART }]);
    assert!(quarantine.refusal(&of(&deadly_request(10)), end).is_none());
}

/// Guards against trials that end an engine every ten minutes for ever.
#[test]
fn a_failed_trial_doubles_the_quarantine() {
    let settings = QuarantineSettings::default();
    let (mut quarantine, mut now) = quarantined();
    let mut hold = settings.hold;
    for failed_trials in 1..4 {
        now = now + hold + settings.trial_spread;
        let request = deadly_request(10 + u64::from(failed_trials));
        assert!(quarantine.refusal(&of(&request), now).is_none());
        quarantine.record_send(&of(&request), now);
        quarantine.record_crash(&of(&request), 50 + failed_trials, now);
        hold *= 2;
        assert!(matches!(
            quarantine.take_changes()[..],
            [QuarantineChange::Begun { hold: length, failed_trials: trials, is_own: true, .. }]
                if length == hold && trials == failed_trials
        ));
        assert!(quarantine.refusal(&of(&request), now + hold / 2).is_some());
    }
}

/// Guards against a part that was named wrongly and stays refused although an answer on it went on.
#[test]
fn an_output_at_another_gateway_ends_the_quarantine() {
    let (mut quarantine, now) = quarantined();
    let mut other = Quarantine::new(QuarantineSettings::default(), "gateway-2");
    other.apply_reports(&quarantine.reports(now), now);
    assert!(other.refusal(&of(&deadly_request(9)), now).is_some());

    let later = now + Duration::from_secs(2);
    other.record_output(&of(&deadly_request(3)), later);
    assert!(other.refusal(&of(&deadly_request(9)), later).is_none());
    quarantine.apply_reports(&other.reports(later), later);
    assert_eq!(quarantine.take_changes(), [QuarantineChange::Released { subject: DEADLY_PART }]);

    // A report from before the output does not renew it.
    other.apply_reports(&quarantined().0.reports(at(5_000)), later);
    assert!(other.refusal(&of(&deadly_request(9)), later).is_none());
}

/// Guards against a quarantine whose part is never seen again and stays in memory.
#[test]
fn a_part_that_is_not_seen_again_is_forgotten() {
    let settings = QuarantineSettings::default();
    let (mut quarantine, now) = quarantined();
    let end = now + settings.hold + settings.max_hold + Duration::from_secs(1);
    assert_eq!(quarantine.reports(end), []);
    assert_eq!(quarantine.take_changes(), [QuarantineChange::Expired { subject: DEADLY_PART }]);
    assert_eq!((quarantine.held_subjects().count(), quarantine.suspect_count()), (0, 0));
}

/// Guards against memory and reports that grow with the callers' parts.
#[test]
fn memory_and_reports_are_bounded() {
    let settings = QuarantineSettings::default();
    let (mut quarantine, now) = quarantined();
    for number in 0..5_000_u64 {
        let parts: Vec<u64> = (0..40).map(|part| 10_000 + 40 * number + part).collect();
        quarantine.record_output(&of(&parts), now);
        quarantine.record_crash(&of(&parts), number as u32, now);
    }
    assert!(quarantine.suspect_count() <= settings.max_subjects);
    assert!(quarantine.reports(now).len() <= settings.max_reported);
    assert!(quarantine.refusal(&of(&deadly_request(9)), now).is_some(), "the quarantine is kept");
}

/// Guards against a whole request whose quarantine ends with the gateways that knew of it, and against
/// another request that is refused with it.
#[test]
fn a_stored_quarantine_of_a_request_reaches_a_new_gateway() {
    let settings = QuarantineSettings::default();
    let deadly = RequestSubjects { parts: &[], digest: DEADLY, service: 1 };
    let mut quarantine = Quarantine::new(settings, "gateway-1");
    for number in 0..4 {
        quarantine.record_send(&deadly, at(1_000 + 1_000 * number));
        quarantine.record_crash(&deadly, number as u32, at(1_050 + 1_000 * number));
    }
    let now = at(5_000);
    assert!(quarantine.reports(now).iter().any(|report| report.hold.is_some()));
    let report = quarantine.held_report(Subject::Request(DEADLY), now).unwrap();

    let mut other = Quarantine::new(settings, "gateway-2");
    let report = StoredSubject { report, stored_unix_ms: 1_000 }.report_at(61_000);
    other.apply_reports(&[report], at(2_000));
    let remaining = other.refusal(&deadly, at(2_000)).map(|refusal| refusal.remaining);
    let rest = settings.hold - Duration::from_secs(60);
    assert!(remaining.is_some_and(|left| left >= rest && left < rest + settings.trial_spread));
    assert_eq!(other.refusal(&RequestSubjects { digest: DEADLY + 1, ..deadly }, at(2_000)), None);
}

/// Guards against a request that goes on to end targets because many requests met crashes that it can't
/// have caused: of another service, or by another request that is in quarantine.
#[test]
fn explained_crashes_do_not_delay_a_quarantine() {
    for bystander_service in [1, 2] {
        let mut quarantine = Quarantine::new(QuarantineSettings::default(), "gateway-1");
        for (deadly, start_ms) in [(DEADLY, 1_000), (DEADLY + 1, 20_000)] {
            let request = RequestSubjects { parts: &[], digest: deadly, service: 1 };
            for number in 0..3 {
                let now = at(start_ms + 1_000 * number);
                let target = (start_ms + number) as u32;
                for bystander in 0..10 {
                    let digest = start_ms + 100 * number + bystander;
                    let beside = RequestSubjects { parts: &[], digest, service: bystander_service };
                    let is_elsewhere = u32::from(bystander_service != 1);
                    quarantine.record_crash(&beside, target + 1_000_000 * is_elsewhere, now);
                }
                quarantine.record_crash(&request, target, now);
            }
            let now = at(start_ms + 5_000);
            quarantine.reports(now);
            let held: Vec<Subject> = quarantine.held_subjects().collect();
            assert!(held.contains(&Subject::Request(deadly)), "{held:?}");
        }
        assert_eq!(quarantine.held_subjects().count(), 2);
    }
}

/// Guards against a part that goes on to end engines because each end also breaks many requests that had no
/// response yet: they say nothing of how often sound parts meet crashes.
#[test]
fn requests_without_a_response_do_not_delay_the_quarantine_of_a_part() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default(), "gateway-1");
    let mut other = Quarantine::new(QuarantineSettings::default(), "gateway-2");
    for number in 0..120 {
        quarantine.record_output(&of(&[1, 2, number]), at(500));
        other.record_output(&of(&[1, 2, number]), at(500));
    }
    for number in 0..3 {
        let now = at(1_000 + 1_000 * number);
        for bystander in 0..40 {
            let digest = 1_000 * (number + 1) + bystander;
            let beside = RequestSubjects { parts: &[], digest, service: 1 };
            quarantine.record_crash(&beside, number as u32, now);
        }
        quarantine.record_crash(&of(&deadly_request(number)), number as u32, now);
        let reports = quarantine.reports(at(1_100 + 1_000 * number));
        assert!(reports.iter().any(|report| report.subject == DEADLY_PART), "after {number}");
        other.apply_reports(&reports, at(1_200 + 1_000 * number));
    }
    let now = at(5_000);
    quarantine.reports(now);
    other.reports(now);
    assert!(quarantine.refusal(&of(&deadly_request(9)), now).is_some());
    assert!(other.refusal(&of(&deadly_request(9)), now).is_some());
}
