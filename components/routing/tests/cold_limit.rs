//! Cold targets, and the requests that all gateways together send them.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use base::{Timestamp, WarmCopies, seeded_rng};
use rand::Rng;
use routing::{
    ColdRule, DirectChoice, DirectFleet, DirectPlainRequirements, SharingGateways, TargetKey,
};
use wire::{TargetEntry, TargetState};

const SEED: u64 = 9_104;
const STEP_MS: u64 = 10;
/// Longest time from the choice of a target to the arrival of the request.
const MAX_ARRIVAL_DELAY_MS: u64 = 250;
/// Rule of the deployment with cold targets.
const RULE: ColdRule =
    ColdRule { per_s: 7.2, max_per_s: 7.2 * 1.5 + 5.0, cold_for: Duration::from_secs(3) };
/// Time at which a gateway has heard of the others and knows targets.
const SETTLED_MS: u64 = 10_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn entry(number: u16, cold_ms: u64) -> TargetEntry {
    TargetEntry {
        id: format!("target-{number}").into(),
        born_ms: Some(u64::from(number)),
        service: "web".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: "north-a".into(),
        slots: 1_000,
        state: TargetState::Ready,
        cold_ms,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

/// Returns gateway `own` of `count`, which knows all others.
fn gateway(own: usize, count: usize, rule: ColdRule) -> DirectFleet {
    let name = |number: usize| format!("front-{number}");
    let mut fleet = DirectFleet::new("north-a");
    let others = (0..count).filter(|number| *number != own).map(name).collect();
    let sharers = SharingGateways { process: own as u32, local: name(own), others };
    fleet.set_sharing_gateways(sharers, at(0));
    fleet.set_cold_rules(&[("web".into(), rule)], at(0));
    fleet.record_register_read(true, at(5_000));
    fleet
}

fn choose(fleet: &DirectFleet, ms: u64) -> DirectChoice {
    fleet.choose_plain(
        &DirectPlainRequirements { service: "web", software: None, exclude: &[] },
        at(ms),
    )
}

/// Sends requests until the fleet names no target that may take one; returns their number.
fn send_all(fleet: &mut DirectFleet, ms: u64) -> usize {
    let mut count = 0;
    while let DirectChoice::Serve(pick) = choose(fleet, ms) {
        let send = fleet.record_plain(pick.key, at(ms));
        fleet.record_end(pick.key, send);
        count += 1;
        assert!(count < 1_000, "the target is not limited");
    }
    count
}

fn is_cold(fleet: &DirectFleet, number: u16, ms: u64) -> bool {
    let key = fleet.key_of(&format!("target-{number}")).unwrap();
    fleet.target(key).cold.is_cold(at(ms))
}

/// Most arrivals in any second.
fn peak(arrivals_ms: &mut [u64]) -> usize {
    arrivals_ms.sort_unstable();
    let in_second = |(first, from): (usize, &u64)| {
        arrivals_ms[first..].iter().take_while(|later| **later < from + 1_000).count()
    };
    arrivals_ms.iter().enumerate().map(in_second).max().unwrap_or_default()
}

/// Guards against gateways that together send a cold target more than the bound while each has more
/// requests than it may send: all the time, or at once after a pause in which all shares filled.
#[test]
fn all_gateways_together_keep_the_bound() {
    let mut rng = seeded_rng(SEED);
    for count in [1, 2, 5, 28, 380] {
        for pause_ms in [0, 4_000] {
            let mut arrivals_ms = Vec::new();
            let mut sent = 0;
            for own in 0..count {
                let mut fleet = gateway(own, count, RULE);
                fleet.apply_entry(&entry(1, 9_000), at(SETTLED_MS));
                for step in (0..9_000).step_by(STEP_MS as usize) {
                    if (2_000..2_000 + pause_ms).contains(&step) {
                        continue;
                    }
                    for _ in 0..send_all(&mut fleet, SETTLED_MS + step) {
                        sent += 1;
                        arrivals_ms.push(step + rng.random_range(0..=MAX_ARRIVAL_DELAY_MS));
                    }
                }
            }
            let most = peak(&mut arrivals_ms);
            assert!(most as f64 <= RULE.max_per_s, "{count} gateways: {most} requests in a second");
            // The share of each gateway is used, or cold targets would serve nobody.
            let expected = RULE.per_s * (9.0 - pause_ms as f64 / 1_000.0);
            assert!(f64::from(sent) >= 0.8 * expected, "{count} gateways: {sent} of {expected}");
        }
    }
}

/// Guards against rules of other deployments for which the shares add up to more than the bound.
#[test]
fn the_bound_holds_for_all_rules() {
    for per_s in [0.1, 1.0, 7.2, 50.0, 400.0] {
        for max_per_s in [0.0, 0.4, 1.0, 1.5, 4.0, per_s, per_s * 1.5 + 5.0, per_s * 3.0] {
            let rule = ColdRule { per_s, max_per_s, cold_for: Duration::from_secs(3) };
            let mut arrivals_ms = Vec::new();
            for own in 0..12 {
                let mut fleet = gateway(own, 12, rule);
                fleet.apply_entry(&entry(1, 4_000), at(SETTLED_MS));
                for step in (0..4_000).step_by(STEP_MS as usize) {
                    let sent = send_all(&mut fleet, SETTLED_MS + step);
                    arrivals_ms.extend(std::iter::repeat_n(step, sent));
                }
            }
            let most = peak(&mut arrivals_ms);
            assert!(most as f64 <= max_per_s, "{rule:?}: {most} requests in a second");
        }
    }
}

/// Guards against a gateway that uses a share before the others know of it, and against a share that
/// a gateway uses at once when it takes it over from one that may have used it just before.
#[test]
fn a_share_is_taken_over_empty() {
    // Without the register, a gateway would take itself for the only one.
    let mut starting = DirectFleet::new("north-a");
    starting.set_cold_rules(&[("web".into(), RULE)], at(0));
    starting.apply_entry(&entry(1, 9_000), at(10));
    for (is_read, ms) in [(false, 100), (false, 5_000), (true, 2_900)] {
        starting.record_register_read(is_read, at(ms));
        assert_eq!(send_all(&mut starting, ms), 0, "{is_read} {ms}");
    }
    starting.record_register_read(true, at(3_000));
    assert_eq!(send_all(&mut starting, 3_000), 0);
    assert_eq!(send_all(&mut starting, 3_200), 1);

    // One of many gateways without a share gets one when the others are gone.
    let without = (0..28).find_map(|own| {
        let mut fleet = gateway(own, 28, RULE);
        fleet.apply_entry(&entry(1, 9_000), at(SETTLED_MS));
        (send_all(&mut fleet, SETTLED_MS + 3_000) == 0).then_some((own, fleet))
    });
    let (own, mut fleet) = without.unwrap();
    let alone =
        SharingGateways { process: own as u32, local: format!("front-{own}"), others: Vec::new() };
    fleet.set_sharing_gateways(alone, at(SETTLED_MS + 3_000));
    assert_eq!(send_all(&mut fleet, SETTLED_MS + 3_000), 0);
    assert_eq!(send_all(&mut fleet, SETTLED_MS + 3_200), 1);
}

/// Guards against requests to a cold target while a warm one can serve them, and against requests
/// that are refused although only the cold one is left.
#[test]
fn warm_targets_are_preferred() {
    let mut fleet = gateway(0, 1, RULE);
    fleet.apply_entry(&entry(1, 0), at(SETTLED_MS));
    fleet.apply_entry(&entry(2, 3_000), at(SETTLED_MS));
    let now = SETTLED_MS + 500;
    for _ in 0..20 {
        let DirectChoice::Serve(pick) = choose(&fleet, now) else { panic!("not served") };
        assert_eq!(pick.id, "target-1");
        fleet.record_plain(pick.key, at(now));
    }
    let exclude = [TargetKey(0)];
    let requirements =
        DirectPlainRequirements { service: "web", software: None, exclude: &exclude };
    let DirectChoice::Serve(pick) = fleet.choose_plain(&requirements, at(now)) else {
        panic!("not served")
    };
    assert_eq!(pick.id, "target-2");
}

/// Guards against a target that gets its usual load because nothing says yet that it is cold, and
/// against targets that stay limited after they are warm or in a deployment without cold targets.
#[test]
fn a_target_without_a_report_is_cold_if_it_starts_during_traffic() {
    let mut fleet = gateway(0, 1, RULE);
    // The first list: these may have started long ago, and nothing was sent yet.
    fleet.apply_entry(&entry(1, 0), at(SETTLED_MS));
    assert!(!is_cold(&fleet, 1, SETTLED_MS + 1));
    fleet.apply_entry(&entry(2, 0), at(SETTLED_MS + 2_000));
    assert!(!is_cold(&fleet, 2, SETTLED_MS + 2_001));
    fleet.record_plain(TargetKey(0), at(SETTLED_MS + 2_100));

    let new = SETTLED_MS + 3_000;
    fleet.apply_entry(&entry(3, 0), at(new));
    assert!(is_cold(&fleet, 3, new + 2_999) && !is_cold(&fleet, 3, new + 3_000));
    // An entry that was written before the target became cold ends nothing; a later one does.
    fleet.apply_entry(&entry(3, 0), at(new + 700));
    assert!(is_cold(&fleet, 3, new + 701));
    fleet.apply_entry(&entry(3, 0), at(new + 2_600));
    assert!(!is_cold(&fleet, 3, new + 2_600));
    // It becomes cold again at any time.
    fleet.apply_entry(&entry(3, 1_500), at(new + 9_000));
    assert!(is_cold(&fleet, 3, new + 10_499) && !is_cold(&fleet, 3, new + 10_500));

    // A new life under the same id.
    let reborn = TargetEntry { born_ms: Some(77), ..entry(3, 0) };
    fleet.apply_entry(&reborn, at(new + 20_000));
    assert!(is_cold(&fleet, 3, new + 20_001));

    let mut never_cold = gateway(0, 1, ColdRule::default());
    never_cold.apply_entry(&entry(1, 3_000), at(SETTLED_MS));
    never_cold.record_plain(TargetKey(0), at(SETTLED_MS));
    never_cold.apply_entry(&entry(2, 0), at(new));
    assert!(!is_cold(&never_cold, 1, SETTLED_MS + 1) && !is_cold(&never_cold, 2, new + 1));
}

/// Guards against a coldness that is lost because the entry arrives before the configuration.
#[test]
fn a_report_before_the_configuration_counts() {
    let mut fleet = DirectFleet::new("north-a");
    fleet.record_register_read(true, at(5_000));
    fleet.apply_entry(&entry(1, 3_000), at(SETTLED_MS));
    assert!(!is_cold(&fleet, 1, SETTLED_MS));
    fleet.set_cold_rules(&[("web".into(), RULE)], at(SETTLED_MS + 100));
    assert!(is_cold(&fleet, 1, SETTLED_MS + 2_999));
    assert!(!is_cold(&fleet, 1, SETTLED_MS + 3_000));
}

/// Guards against the usual load at the end of an evacuation, when entries of before show targets
/// that were warm.
#[test]
fn targets_are_cold_after_an_evacuation() {
    let mut fleet = gateway(0, 1, RULE);
    fleet.apply_entry(&entry(1, 0), at(SETTLED_MS));
    let end = SETTLED_MS + 60_000;
    fleet.assume_cold("north-b", Duration::ZERO, at(end));
    assert!(!is_cold(&fleet, 1, end + 1));
    fleet.assume_cold("north-a", Duration::from_millis(800), at(end));
    fleet.apply_entry(&entry(1, 0), at(end + 900));
    assert!(is_cold(&fleet, 1, end + 2_199) && !is_cold(&fleet, 1, end + 2_200));
    // The end was long ago for a gateway that learns of it late.
    fleet.assume_cold("north-a", Duration::from_secs(3), at(end + 5_000));
    assert!(!is_cold(&fleet, 1, end + 5_001));
}

/// Guards against refused callers who are told to return all at once, or long after the target is
/// warm again.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut fleet = gateway(0, 1, RULE);
    fleet.apply_entry(&entry(1, 3_000), at(SETTLED_MS));
    let now = SETTLED_MS + 1_000;
    send_all(&mut fleet, now);
    assert_eq!(choose(&fleet, now), DirectChoice::Limited { key: TargetKey(0) });
    let waits: Vec<Duration> =
        (0..30).map(|_| fleet.target_mut(TargetKey(0)).advise_return(at(now))).collect();
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[4] > waits[1], "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(2)), "{waits:?}");
}
