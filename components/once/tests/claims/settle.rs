//! Settlement of attempts and answers to repeated calls.

use base::Offset;
use once::{
    BeginResult, CLAIM_RULES_VERSION, ClaimKey, Fingerprint, PriorOutcome, SettlementResult,
    encode_claim_envelope,
};

use crate::common::{START_MS, WINDOW, at, body, claim, feed, key, outcome, results, side};

#[test]
fn first_claim_runs_and_second_does_not() {
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (_, first) = claim(&mut a, key(1), body(1));
    let (_, second) = claim(&mut b, key(1), body(1));
    let log = [first.payload, second.payload];
    assert_eq!(results(feed(&mut a, &log)), [SettlementResult::Run]);
    assert_eq!(results(feed(&mut b, &log)), [SettlementResult::Lost(PriorOutcome::Unknown)]);
}

#[test]
fn repeated_call_gets_the_stored_outcome_at_any_side_after_any_restart() {
    let mut a = side("a", 1);
    let (attempt, first) = claim(&mut a, key(1), body(1));
    let mut log = vec![first.payload];
    feed(&mut a, &log);
    log.push(a.finish(&attempt, outcome("done")).unwrap().payload);
    for mut reader in [a, side("a", 2), side("b", 1)] {
        feed(&mut reader, &log);
        let begun = reader.begin(key(1), body(1), at(9), START_MS + 9_000);
        assert_eq!(begun, BeginResult::Known(PriorOutcome::Ran(outcome("done"))));
    }
}

#[test]
fn repeated_call_at_the_running_side_gets_the_outcome_while_the_log_is_unavailable() {
    let mut a = side("a", 1);
    let (attempt, first) = claim(&mut a, key(1), body(1));
    feed(&mut a, &[first.payload]);
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
    a.finish(&attempt, outcome("done")).unwrap();
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Ran(outcome("done"))));
}

#[test]
fn large_body_is_not_stored_but_the_call_counts_as_run() {
    let mut a = side("a", 1);
    let (attempt, first) = claim(&mut a, key(1), body(1));
    feed(&mut a, &[first.payload]);
    a.finish(&attempt, outcome("far too long")).unwrap();
    let kept = once::StoredOutcome { body: None, ..outcome("") };
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Ran(kept)));
}

#[test]
fn different_request_under_the_same_key_is_a_mismatch() {
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (_, first) = claim(&mut a, key(1), body(1));
    let (_, second) = claim(&mut b, key(1), body(2));
    let log = [first.payload, second.payload];
    feed(&mut a, &log);
    assert_eq!(results(feed(&mut b, &log)), [SettlementResult::Lost(PriorOutcome::Mismatch)]);
    assert_eq!(a.look_up(&key(1), body(2), START_MS), Some(PriorOutcome::Mismatch));
}

#[test]
fn keys_of_other_customers_and_routes_are_independent() {
    let mut a = side("a", 1);
    let other_route = ClaimKey { route: "refunds".into(), ..key(1) };
    let other_customer = ClaimKey { customer: "studio".into(), ..key(1) };
    let log: Vec<Vec<u8>> = [key(1), other_route, other_customer]
        .map(|key| claim(&mut a, key, body(1)).1.payload)
        .into();
    assert_eq!(results(feed(&mut a, &log)), vec![SettlementResult::Run; 3]);
}

#[test]
fn fingerprints_cover_method_path_and_body() {
    let base = Fingerprint::of("POST", "/orders", b"x");
    assert_eq!(base, Fingerprint::of("POST", "/orders", b"x"));
    for other in [
        Fingerprint::of("PUT", "/orders", b"x"),
        Fingerprint::of("POST", "/orders?", b"x"),
        Fingerprint::of("POST", "/orders", b"y"),
        Fingerprint::of("POST", "/order", b"sx"),
    ] {
        assert_ne!(base, other);
    }
}

#[test]
fn claim_read_back_too_late_is_never_run_and_releases_the_key() {
    // A call must not run after its caller was informed that it was not run.
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (attempt, first) = claim(&mut a, key(1), body(1));
    assert_eq!(a.next_deadline(), Some(at(3)));
    assert!(a.expire_pending(at(2)).is_empty());
    assert_eq!(results(a.expire_pending(at(3))), [SettlementResult::Unsettled]);
    let late = a.apply(Offset(1), &first.payload, at(4));
    assert_eq!(late[0].attempt, attempt);
    let SettlementResult::Late(release) = &late[0].result else { panic!("{late:?}") };
    let mut log = vec![first.payload.clone()];
    feed(&mut b, &log);
    assert_eq!(b.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
    // The append was sent twice, and the second copy was stored after the release of the first.
    log.extend([release.payload.clone(), first.payload]);
    feed(&mut b, &log[..2]);
    assert_eq!(b.look_up(&key(1), body(1), START_MS), None);
    let again = a.apply(Offset(2), &log[1], at(5));
    assert!(again.is_empty());
    let again = results(a.apply(Offset(3), &log[2], at(5)));
    assert!(matches!(again[..], [SettlementResult::Late(_)]), "{again:?}");
}

#[test]
fn claim_read_back_after_the_deadline_is_unsettled_without_expire_pending() {
    let mut a = side("a", 1);
    let (_, first) = claim(&mut a, key(1), body(1));
    let settled = results(a.apply(Offset(1), &first.payload, at(3)));
    assert!(matches!(settled[..], [SettlementResult::Unsettled, SettlementResult::Late(_)]));
    assert!(a.expire_pending(at(9)).is_empty());
}

#[test]
fn abandoned_attempt_never_runs() {
    let mut a = side("a", 1);
    let (attempt, first) = claim(&mut a, key(1), body(1));
    a.abandon(&attempt);
    assert!(a.expire_pending(at(9)).is_empty());
    let settled = results(a.apply(Offset(1), &first.payload, at(0)));
    assert!(matches!(settled[..], [SettlementResult::Late(_)]));
    assert!(a.finish(&attempt, outcome("x")).is_none());
}

#[test]
fn unsent_call_releases_its_key_and_sent_call_does_not() {
    let mut a = side("a", 1);
    let (sent, first) = claim(&mut a, key(1), body(1));
    let (unsent, second) = claim(&mut a, key(2), body(2));
    let mut log = vec![first.payload.clone(), second.payload];
    feed(&mut a, &log);
    a.note_unknown_outcome(&sent);
    log.push(a.release(&unsent).unwrap().payload);
    // The claim of the call that was sent is appended a second time.
    log.push(first.payload);
    assert!(feed(&mut a, &log).is_empty());
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
    assert_eq!(a.look_up(&key(2), body(2), START_MS), None);
    assert!(a.release(&sent).is_none());
}

#[test]
fn only_the_claiming_attempt_can_settle_or_release_its_key() {
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (_, first) = claim(&mut a, key(1), body(1));
    let mut log = vec![first.payload];
    // B ran a call under another key, but its records wrongly name the key of A.
    let (attempt, _) = claim(&mut b, key(2), body(1));
    let wrong = [
        once::ClaimRecord::Release { key: key(1), attempt: attempt.clone() },
        once::ClaimRecord::Outcome { key: key(1), attempt, outcome: outcome("no") },
    ];
    log.extend(wrong.iter().map(|record| record.encode().unwrap()));
    feed(&mut a, &log);
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
}

#[test]
fn entry_expires_after_the_window_and_a_later_claim_replaces_it() {
    let window_ms = u64::try_from(WINDOW.as_millis()).unwrap();
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (_, first) = claim(&mut a, key(1), body(1));
    let mut log = vec![first.payload];
    feed(&mut b, &log);
    let end = START_MS + window_ms;
    assert_eq!(b.look_up(&key(1), body(1), end - 1), Some(PriorOutcome::Unknown));
    let BeginResult::Append { claim: second, .. } = b.begin(key(1), body(2), at(0), end) else {
        panic!("the entry has not expired")
    };
    log.push(second.payload);
    assert_eq!(results(feed(&mut b, &log)), [SettlementResult::Run]);
    // Entries are kept for the clock skew margin after the end of the window.
    a.purge(end);
    feed(&mut a, &log[..1]);
    a.purge(end + 600_000);
    assert_eq!(a.entry_count(), 1);
    a.purge(end + 600_001);
    assert_eq!(a.entry_count(), 0);
}

#[test]
fn nothing_runs_after_a_record_of_a_newer_rules_version() {
    let mut a = side("a", 1);
    let (_, first) = claim(&mut a, key(1), body(1));
    let newer = encode_claim_envelope(CLAIM_RULES_VERSION + 1, vec![1]).unwrap();
    assert!(feed(&mut a, &[newer, first.payload]).is_empty());
    assert_eq!(a.newer_rules(), Some(CLAIM_RULES_VERSION + 1));
    assert_eq!(a.next_offset(Offset(1)), Offset(3));
    assert_eq!(a.begin(key(2), body(2), at(0), START_MS), BeginResult::NotReady);
    assert_eq!(results(a.expire_pending(at(3))), [SettlementResult::Unsettled]);
}
