//! Data centres that the operators evacuate.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::{CallerKind, CallerResponse, RouteKind};
use standin::{Blocked, Link, LinkFaults};
use support::{CountingTarget, PeerGateway, PlainGateway, plain_call_at, plain_route};
use tokio::time::sleep;

/// Time within which a gateway in contact with the store or another gateway knows of a record; the
/// platform allows 5 s.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);

async fn call(callers: SocketAddr, id: &str) -> CallerResponse {
    plain_call_at(callers, id, "/reads/1", CallerKind::Read).await
}

/// Sends requests one after the other; returns how many were served.
async fn calls(callers: SocketAddr, name: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let response = call(callers, &format!("{name}-{number}")).await;
        served += usize::from(response.is_success());
        assert!(response.is_success() || response.guarantees_not_run(), "{response:?}");
    }
    served
}

/// Starts a gateway with a near target in `north-a` and `far` in `north-b`.
async fn start(near: &CountingTarget, far: &CountingTarget) -> PlainGateway {
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[near.address]).await;
    gateway.announce_in("north-b", 2, far.address);
    gateway.process.wait_for_line("target=target-2 ").await;
    gateway
}

/// Guards against requests to an evacuated data centre, first ones, retries and those of a gateway
/// that starts during the evacuation, and against a data centre that stays empty after its end.
#[tokio::test]
async fn an_evacuated_data_centre_gets_no_request() {
    let (near, far) = (CountingTarget::start(false).await, CountingTarget::start(true).await);
    let mut gateway = start(&near, &far).await;
    assert_eq!(calls(gateway.callers, "calm", 5).await, 5);
    assert!(near.count() >= 5);

    gateway.set_evacuated("north-a", true);
    sleep(KNOWN_WITHIN).await;
    let (near_before, far_before) = (near.count(), far.count());
    // The far target breaks every connection: each request would be repeated at the near one.
    for number in 0..10 {
        call(gateway.callers, &format!("evacuated-{number}")).await;
    }
    assert_eq!(near.count(), near_before);
    assert!(far.count() > far_before);

    gateway.restart().await;
    sleep(KNOWN_WITHIN).await;
    for number in 0..10 {
        call(gateway.callers, &format!("restarted-{number}")).await;
    }
    assert_eq!(near.count(), near_before);

    // All targets of the service are evacuated; nothing is sent and callers are told so.
    gateway.set_evacuated("north-b", true);
    sleep(KNOWN_WITHIN).await;
    let far_before = far.count();
    let refused = call(gateway.callers, "refused").await;
    assert!(refused.guarantees_not_run() && refused.retry_after.is_some(), "{refused:?}");
    assert_eq!((near.count(), far.count()), (near_before, far_before));

    gateway.set_evacuated("north-a", false);
    sleep(KNOWN_WITHIN).await;
    assert_eq!(calls(gateway.callers, "ended", 5).await, 5);
}

/// Guards against a restored store that ends an evacuation because it has lost the record, and
/// against a record that hides the configuration from a gateway.
#[tokio::test]
async fn a_restored_store_ends_no_evacuation() {
    let (near, far) = (CountingTarget::start(false).await, CountingTarget::start(false).await);
    let gateway = start(&near, &far).await;
    let copy = gateway.store().copy();
    gateway.set_evacuated("north-a", true);
    sleep(KNOWN_WITHIN).await;
    let before = near.count();
    gateway.store().restore(copy);
    gateway.process.wait_for_line("event=store_restored").await;
    // Keys are served again when the content of the store is evidence again.
    sleep(Duration::from_millis(2_500) + KNOWN_WITHIN).await;
    assert_eq!(calls(gateway.callers, "restored", 10).await, 10);
    assert_eq!(near.count(), before);
    gateway.set_evacuated("north-a", false);
    // Leaves the near target alone.
    gateway.set_evacuated("north-b", true);
    sleep(KNOWN_WITHIN).await;
    assert_eq!(calls(gateway.callers, "ended", 5).await, 5);
    assert_eq!(near.count(), before + 5);
}

/// Guards against a gateway without access to the store that sends requests to a data centre whose
/// evacuation the other gateways know of, or keeps it empty after the end.
#[tokio::test]
async fn gateways_tell_each_other_of_an_evacuation() {
    let (near, far) = (CountingTarget::start(false).await, CountingTarget::start(false).await);
    let first = start(&near, &far).await;
    let link = Link::start(first.store_address()).await.unwrap();
    let second = PeerGateway::start(&first, link.address()).await;
    second.process.wait_for_line("target=target-2 ").await;
    let callers = second.callers;
    assert_eq!(calls(callers, "calm", 5).await, 5);
    assert!(near.count() > 0);

    link.set(LinkFaults { blocked: Blocked::Both, ..LinkFaults::default() });
    first.set_evacuated("north-a", true);
    sleep(KNOWN_WITHIN).await;
    let before = near.count();
    assert_eq!(calls(callers, "evacuated", 10).await, 10);
    assert_eq!(near.count(), before);

    first.set_evacuated("north-a", false);
    first.set_evacuated("north-b", true);
    sleep(KNOWN_WITHIN).await;
    assert_eq!(calls(callers, "ended", 5).await, 5);
    assert_eq!(near.count(), before + 5);
}
