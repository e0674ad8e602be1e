//! Customer bucket replicated between gateways that report to each other what they admitted.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use base::{Incarnation, ProcessName, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rates::{CustomerRate, GatewayCount, RequestRank, SharedBucket};

const SEED: u64 = 5_101;
const RATE: CustomerRate =
    CustomerRate { tokens_per_s: 10_000, burst_tokens: 20_000, overdraft_tokens: 4_000 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn all(count: u32) -> GatewayCount {
    GatewayCount { known: count, reporting: count }
}

fn name(at: usize) -> ProcessName {
    ProcessName::new(&format!("gateway-{at}"))
}

/// Guards against a restarted process that grants a burst which it already granted before the
/// restart.
#[test]
fn bucket_after_a_restart_admits_only_what_accrues() {
    let mut bucket = SharedBucket::new(RATE, false, at(0));
    assert!(bucket.take(100, 0, all(1), at(0)).is_err());
    let mut admitted = 0;
    for ms in 0..2_000 {
        if bucket.take(100, 0, all(1), at(ms)).is_ok() {
            admitted += 100;
        }
    }
    assert!(admitted <= 20_100, "{admitted} tokens in 2 s at 10,000 a second");
    assert!(admitted >= 19_000, "{admitted} tokens in 2 s at 10,000 a second");
    let mut first = SharedBucket::new(RATE, true, at(0));
    assert!(
        first.take(20_000, 0, all(1), at(0)).is_ok(),
        "nothing was admitted before a first start"
    );
}

/// Guards against counting a peer's report twice, and against reports of an older incarnation of
/// the peer.
#[test]
fn peer_report_is_counted_once_and_a_new_incarnation_counts_from_zero() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    let peer = name(1);
    for _ in 0..10 {
        bucket.update_peer(&peer, Incarnation(2), 10_000, 0);
    }
    assert!(bucket.take(10_000, 0, all(2), at(0)).is_ok());
    assert!(bucket.take(1, 0, all(2), at(0)).is_err());
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    bucket.update_peer(&peer, Incarnation(2), 1_000, 0);
    bucket.update_peer(&peer, Incarnation(1), 19_000, 0);
    bucket.update_peer(&peer, Incarnation(3), 2_000, 0);
    assert!(bucket.take(17_000, 0, all(2), at(0)).is_ok());
    assert!(
        bucket.take(1, 0, all(2), at(0)).is_err(),
        "1,000 of one incarnation and 2,000 of the next"
    );
}

/// Guards against a full bucket that continues to exceed a lowered limit.
#[test]
fn lowered_rate_clips_the_level_at_once() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    bucket.set_rate(CustomerRate { tokens_per_s: 1_000, burst_tokens: 2_000, ..RATE });
    assert!(bucket.take(2_000, 0, all(1), at(0)).is_ok());
    assert!(bucket.take(1, 0, all(1), at(0)).is_err());
}

/// Guards against a bucket without a limit that subtracts what peers admit, so that a limit that is set
/// later starts with a debt and refuses the customer's requests for a long time.
#[test]
fn limit_that_is_set_later_starts_without_the_debt_of_the_time_before() {
    for first_start in [true, false] {
        let mut bucket = SharedBucket::new(CustomerRate::default(), first_start, at(0));
        bucket.update_peer(&name(1), Incarnation(1), 0, 0);
        bucket.update_peer(&name(1), Incarnation(1), 5_000_000, 0);
        bucket.update_peer(&name(1), Incarnation(2), 4_000_000, 0);
        assert!(bucket.take(1_000_000, 0, all(2), at(4_000)).is_ok());
        bucket.set_rate(RATE);
        assert!(
            bucket.levels().shared >= 0.0,
            "first_start={first_start}: {:?} at the start of the limit",
            bucket.levels()
        );
        assert!(bucket.take(100, 0, all(2), at(5_000)).is_ok());
        // From here on, reports count, and only with what is new in them.
        let before = bucket.levels().shared;
        bucket.update_peer(&name(1), Incarnation(2), 4_003_000, 0);
        assert_eq!(before - bucket.levels().shared, 3_000.0);
    }
}

/// Guards against starvation of large requests by small ones when a customer's demand always
/// exceeds its rate.
#[test]
fn large_requests_are_admitted_among_many_small_ones() {
    let mut bucket = SharedBucket::new(RATE, false, at(0));
    let (mut large, mut small) = (0, 0);
    for ms in 0..20_000u64 {
        if ms % 53 == 0 {
            large += u32::from(bucket.take(8_000, 0, all(1), at(ms)).is_ok());
        }
        small += u32::from(bucket.take(50, 0, all(1), at(ms)).is_ok());
    }
    assert!(large >= 5, "{large} large and {small} small requests in 20 s");
    assert!(small >= 100, "{large} large and {small} small requests in 20 s");
}

/// Guards against an advised wait that is longer than the bucket needs: 0.6 s after a burst was
/// spent, part of it is available again to any gateway, although this gateway has used more than
/// its own share.
#[test]
fn advised_wait_ends_when_the_bucket_has_tokens_again() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    bucket.take(20_000, 0, all(4), at(0)).unwrap();
    let wait = bucket.take(1, 0, all(4), at(0)).unwrap_err();
    assert!(wait <= Duration::from_millis(610), "{wait:?}");
    assert!(bucket.take(1, 0, all(4), at(0) + wait).is_ok(), "no tokens after {wait:?}");
}

/// Guards against a gateway that must first repay what it took from the shared part before it may
/// use its own share: it must continue with at least a quarter of the rate while the level is low.
#[test]
fn gateway_that_used_the_shared_part_keeps_its_own_share() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    bucket.take(19_000, 0, all(4), at(0)).unwrap();
    let mut admitted = 0;
    for ms in 0..400 {
        if bucket.take(100, 0, all(4), at(ms)).is_ok() {
            admitted += 100;
        }
    }
    // An equal share is 1,000 tokens in 400 ms. This gateway has all of the demand, so it may take
    // everything that accrues.
    assert!(admitted >= 900, "{admitted} tokens in 400 ms");
    assert!(admitted <= 5_100, "{admitted} tokens in 400 ms");
}

/// Guards against an advised wait that is infinite, or so short that callers retry in a busy loop.
#[test]
fn advised_wait_is_between_200_ms_and_2_s() {
    let mut bucket = SharedBucket::new(RATE, false, at(0));
    let short = bucket.take(1, 0, all(1), at(0)).unwrap_err();
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    bucket.take(1_000_000, 0, all(1), at(0)).unwrap();
    let long = bucket.take(1, 0, all(1), at(0)).unwrap_err();
    assert_eq!((short, long), (Duration::from_millis(200), Duration::from_secs(2)));
}

/// When a customer's demand is ten times its rate, the advised wait must cover the time in which
/// the refused tokens of the last second accrue, and not be the shortest one. Callers that retry at
/// once would only displace the next requests.
#[test]
fn advised_wait_covers_the_refused_demand() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    let mut waits = Vec::new();
    for ms in 0..3_000 {
        // 100,000 tokens per second.
        if let Err(wait) =
            bucket.check(100, 0, all(1), at(ms)).and_then(|()| bucket.take(100, 0, all(1), at(ms)))
        {
            waits.push(wait);
        }
    }
    assert_eq!(waits.last(), Some(&Duration::from_secs(2)));
    // After the demand has ended, requests are admitted again.
    let later = at(5_000);
    assert!(bucket.check(100, 0, all(1), later).is_ok());
}

/// Guards against a check that takes tokens, and against counting a request twice in the demand.
#[test]
fn check_takes_no_tokens() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    for _ in 0..1_000 {
        assert!(bucket.check(20_000, 0, all(1), at(0)).is_ok());
    }
    assert_eq!((bucket.admitted(), bucket.demand_per_s()), (0, 0));
    assert!(bucket.take(20_000, 0, all(1), at(0)).is_ok());
    assert_eq!((bucket.admitted(), bucket.demand_per_s()), (20_000, 20_000));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request at a gateway.
    Request {
        gateway: usize,
        tokens: u64,
        resumed: bool,
    },
    /// All gateways that are not partitioned exchange reports.
    ExchangeReports,
    /// A gateway is partitioned from the others, or reconnected.
    Partition {
        gateway: usize,
        partitioned: bool,
    },
    Advance {
        ms: u64,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        10 => (0..4usize, 1..4_000u64, any::<bool>())
            .prop_map(|(gateway, tokens, resumed)| Event::Request { gateway, tokens, resumed }),
        6 => Just(Event::ExchangeReports),
        1 => (0..4usize, any::<bool>())
            .prop_map(|(gateway, partitioned)| Event::Partition { gateway, partitioned }),
        6 => (1..100u64).prop_map(|ms| Event::Advance { ms }),
    ];
    prop::collection::vec(event, 1..400)
}

/// Returns the most tokens admitted by all gateways in any window of 4 s. `naive` gateways never
/// exchange reports and each use the whole rate.
fn max_tokens_in_a_window(events: &[Event], naive: bool) -> u64 {
    let window = Duration::from_secs(4);
    let mut buckets: Vec<SharedBucket> =
        (0..4).map(|_| SharedBucket::new(RATE, false, at(0))).collect();
    let mut partitioned = [false; 4];
    let (mut now_ms, mut admitted): (u64, Vec<(u64, u64)>) = (0, Vec::new());
    for event in events {
        match *event {
            Event::Advance { ms } => now_ms += ms,
            Event::Partition { gateway, partitioned: now_partitioned } => {
                partitioned[gateway] = now_partitioned
            }
            Event::ExchangeReports if naive => {}
            Event::ExchangeReports => {
                let reports: Vec<_> =
                    buckets.iter().map(|b| (b.admitted(), b.demand_per_s())).collect();
                for from in (0..4).filter(|from| !partitioned[*from]) {
                    for to in (0..4).filter(|to| *to != from && !partitioned[*to]) {
                        let (tokens, demand) = reports[from];
                        buckets[to].update_peer(&name(from), Incarnation(1), tokens, demand);
                    }
                }
            }
            Event::Request { gateway, tokens, resumed } => {
                let reporting =
                    if naive { 1 } else { partitioned.iter().filter(|cut| !**cut).count() as u32 };
                let reporting = if partitioned[gateway] { 1 } else { reporting };
                let known = if naive { 1 } else { 4 };
                let count = GatewayCount { known, reporting };
                let rank = if resumed { RequestRank::Resumed } else { RequestRank::New(0) };
                if buckets[gateway].take(tokens, rank, count, at(now_ms)).is_ok() {
                    admitted.push((now_ms, tokens));
                }
            }
        }
    }
    admitted
        .iter()
        .map(|(start, _)| {
            let end = start + window.as_millis() as u64;
            let inside = admitted.iter().filter(|(ms, _)| (*start..end).contains(ms));
            inside.map(|(_, tokens)| *tokens).sum()
        })
        .max()
        .unwrap_or_default()
}

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Burst, 4 s of the rate, the overdraft, and the largest request as debt at each gateway. Gateways with late
/// reports admit more, which `update_peer` subtracts as debt. At most 100 ms pass between two
/// reports in a run, so that this is at most one burst more.
const MAX_TOKENS_IN_A_WINDOW: u64 = 20_000 + 4 * 10_000 + 4_000 + 4 * 4_000 + 20_000;

/// Guards against gateways that together exceed the rate while some are partitioned and
/// reconnected.
#[test]
fn four_gateways_respect_the_rate_through_partitions() {
    runner()
        .run(&events(), |events| {
            let most = max_tokens_in_a_window(&events, false);
            prop_assert!(most <= MAX_TOKENS_IN_A_WINDOW, "{} tokens in 4 s", most);
            Ok(())
        })
        .unwrap();
}

/// Verifies that the check can fail: gateways that exchange no reports each grant the whole rate.
#[test]
fn check_detects_gateways_without_reports() {
    // Gateways on their own exceed the bound within 4 s of steady demand.
    let events: Vec<Event> = (0..4_000)
        .flat_map(|_| {
            let requests =
                (0..4).map(|gateway| Event::Request { gateway, tokens: 500, resumed: false });
            requests.chain([Event::Advance { ms: 2 }])
        })
        .collect();
    assert!(max_tokens_in_a_window(&events, true) > MAX_TOKENS_IN_A_WINDOW);
    let with_reports: Vec<Event> =
        events.iter().flat_map(|event| [*event, Event::ExchangeReports]).collect();
    assert!(max_tokens_in_a_window(&with_reports, false) <= MAX_TOKENS_IN_A_WINDOW);
}

/// When a customer's demand is several times its rate, accruing tokens go to requests of higher
/// rank first, and the others get the remainder. In workload trouble-3 of teyrnged-live, both
/// classes were refused alike, and the most urgent one was served less often than the least urgent
/// one.
#[test]
fn most_urgent_requests_are_admitted_first_above_the_rate() {
    let mut bucket = SharedBucket::new(RATE, false, at(0));
    let (mut urgent, mut other) = (0, 0);
    let mut urgent_requests = 0;
    for ms in (0..20_000).step_by(25) {
        // Urgent requests need 8,000 tokens per second, the others 32,000.
        urgent_requests += 1;
        urgent += u32::from(bucket.take(200, 0, all(1), at(ms)).is_ok());
        other += u32::from(bucket.take(800, 2, all(1), at(ms)).is_ok());
    }
    assert!(urgent * 10 >= urgent_requests * 7, "{urgent} of {urgent_requests}");
    assert!(
        other * 20 >= urgent_requests,
        "{other} of {urgent_requests}: the others must not starve"
    );
    assert!(other * 4 < urgent_requests, "{other} of {urgent_requests}");
}

/// Guards against streams that are cut off for good since the bucket of a restarted gateway is empty.
#[test]
fn resumed_streams_may_overdraw_an_empty_bucket() {
    let mut bucket = SharedBucket::new(RATE, false, at(0));
    assert!(bucket.take(1_000, 0, all(1), at(0)).is_err());
    for _ in 0..8 {
        assert!(bucket.take(500, RequestRank::Resumed, all(1), at(0)).is_ok());
    }
    let overdrawn = bucket.clone().take(500, RequestRank::Resumed, all(1), at(0));
    assert!(overdrawn.is_err(), "the overdraft and no more");
    assert!(bucket.take(1, 0, all(1), at(350)).is_err(), "new requests repay the debt");
    assert!(bucket.take(1, 0, all(1), at(450)).is_ok());
}

/// Guards against an overdraft that each of several gateways takes in full while they don't hear each
/// other.
#[test]
fn gateways_without_reports_share_the_overdraft() {
    let alone = GatewayCount { known: 4, reporting: 1 };
    let admitted: usize = (0..4)
        .map(|_| {
            let mut bucket = SharedBucket::new(RATE, false, at(0));
            (0..20).filter(|_| bucket.take(500, RequestRank::Resumed, alone, at(0)).is_ok()).count()
        })
        .sum();
    assert_eq!(admitted, 8);
}

/// Guards against new requests that take all tokens before a refused stream comes back.
#[test]
fn new_requests_leave_tokens_to_refused_streams() {
    let rate = CustomerRate { overdraft_tokens: 0, ..RATE };
    let mut bucket = SharedBucket::new(rate, false, at(0));
    assert!(bucket.check(1_500, RequestRank::Resumed, all(1), at(0)).is_err());
    let mut taken_by_new = 0;
    for ms in (20..100).step_by(20) {
        taken_by_new += u32::from(bucket.take(400, 0, all(1), at(ms)).is_ok());
    }
    assert_eq!(taken_by_new, 0);
    assert!(bucket.take(1_500, RequestRank::Resumed, all(1), at(100)).is_ok());
    // What doesn't come back holds nothing up for long.
    assert!(bucket.check(1_500, RequestRank::Resumed, all(1), at(101)).is_err());
    assert!(bucket.take(400, 0, all(1), at(1_101)).is_ok());
}

/// Guards against a resumed stream that is refused at a gateway which has used its own share, while the
/// bucket that all gateways share has tokens.
#[test]
fn resumed_streams_take_what_the_other_gateways_leave() {
    let mut bucket = SharedBucket::new(RATE, true, at(0));
    while bucket.take(700, 0, all(4), at(0)).is_ok() {}
    assert!(bucket.levels().shared > 4_000.0, "{:?}", bucket.levels());
    assert!(bucket.take(3_000, RequestRank::Resumed, all(4), at(0)).is_ok());
}
