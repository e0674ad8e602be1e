//! Cold targets, to which all gateways together send few requests.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_standin::{CallerKind, DeploymentSpec, RouteKind};
use support::{CountingTarget, PeerGateway, PlainGateway, plain_call_at, plain_route};
use tokio::time::sleep;

/// Requests per second that a cold target takes, as in the deployment with cold targets.
const COLD_PER_S: f64 = 7.2;
/// Most requests in any second: 1.5 times the rate and 5.
const MOST_IN_A_SECOND: usize = 15;
/// Time for which the target says that it is cold.
const COLD_TIME: Duration = Duration::from_secs(6);
/// Time from the announcement of a target until all gateways know of it.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);
/// Time after its start for which a gateway sends nothing to cold targets.
const START_TIME: Duration = Duration::from_secs(3);

/// Sends requests one after the other until `end`; returns how many were served and refused.
async fn call_until(callers: SocketAddr, name: &str, end: Instant) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < end {
        let id = format!("{name}-{}", served + refused);
        let response = plain_call_at(callers, &id, "/reads/1", CallerKind::Read).await;
        if response.is_success() {
            served += 1;
        } else {
            refused += 1;
            assert!(response.guarantees_not_run(), "{response:?}");
            assert!(response.retry_after.is_some(), "{response:?}");
        }
        sleep(Duration::from_millis(10)).await;
    }
    (served, refused)
}

/// Guards against gateways that together send a cold target more requests than it takes, none at all,
/// or few after it is warm.
#[tokio::test]
async fn gateways_share_the_requests_to_a_cold_target() {
    let warm = CountingTarget::start(false).await;
    let cold = CountingTarget::start(false).await;
    let route = plain_route("reads", RouteKind::Repeatable);
    let first = PlainGateway::start(route.clone(), &[warm.address]).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    let mut spec = PlainGateway::deployment(vec![route]);
    spec.version = 2;
    let (topic, key) = DeploymentSpec::KEY;
    let document = spec.document_with_cold_targets(COLD_TIME.as_secs_f64(), COLD_PER_S);
    first.store().put(topic, key, &document);
    sleep(START_TIME).await;
    let start = Instant::now();
    let both = |end: Instant| async move {
        tokio::join!(
            call_until(first.callers, "first", end),
            call_until(second.callers, "second", end)
        )
    };
    assert_eq!(call_until(second.callers, "calm", start + Duration::from_millis(300)).await.1, 0);

    first.announce_cold(2, cold.address, COLD_TIME);
    let announced = Instant::now();
    sleep(KNOWN_WITHIN).await;
    // The warm target serves alone while it can.
    assert_eq!(cold.count(), 0);
    first.remove_target(1);
    sleep(KNOWN_WITHIN).await;
    let (of_first, of_second) = both(announced + COLD_TIME).await;
    let served = of_first.0 + of_second.0;
    let peak = cold.peak(announced, Duration::from_secs(1));
    assert!(peak <= MOST_IN_A_SECOND, "{peak} requests in a second");
    // Three seconds are left, in which each gateway has half of the rate.
    assert!((12..=45).contains(&served), "{of_first:?} {of_second:?}");
    assert!(of_first.1 > 0 && of_second.1 > 0, "{of_first:?} {of_second:?}");

    sleep(KNOWN_WITHIN).await;
    let end = Instant::now() + Duration::from_secs(1);
    let (of_first, of_second) = both(end).await;
    assert_eq!((of_first.1, of_second.1), (0, 0));
    assert!(of_first.0 + of_second.0 > 2 * MOST_IN_A_SECOND, "{of_first:?} {of_second:?}");
}
