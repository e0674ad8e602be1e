//! A store that comes back from a copy some seconds old, after which the operators and the targets
//! write again what was lost.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::time::Duration;

use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CustomerSpec, DeploymentSpec, RouteKind,
};
use support::{CUSTOMER_KEY, HOST, PlainGateway, echo_target, plain_route, wait_until};
use tokio::time::{Instant, sleep};

const DEADLINE: Duration = Duration::from_secs(4);
/// Key that is withdrawn in the history that is lost.
const WITHDRAWN_KEY: &str = "key-2";
/// Time from the store's answer within which a configuration is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);
/// Time after which no key is served without new evidence that none was withdrawn.
const EVIDENCE_TIME: Duration = Duration::from_millis(6_000);
/// Time until the operators write the lost configuration again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(1_200);

/// Stores a configuration as the operators do.
fn configure(gateway: &PlainGateway, version: u64, routes: &[&str], keys: &[&str]) {
    let mut spec = PlainGateway::deployment(
        routes.iter().map(|name| plain_route(name, RouteKind::Repeatable)).collect(),
    );
    spec.version = version;
    spec.tenants = vec![CustomerSpec {
        keys: keys.iter().copied().map(Into::into).collect(),
        ..spec.tenants[0].clone()
    }];
    gateway.configure(&spec);
}

/// Status of a request to a route; zero without an answer.
async fn status(gateway: &PlainGateway, path: &str, key: &str) -> u16 {
    let Some(mut connection) = CallerConnection::open(gateway.callers, DEADLINE).await else {
        return 0;
    };
    let request = CallerRequest {
        id: format!("{path}-{}", rand::random::<u32>()).into(),
        host: HOST.into(),
        path: format!("/{path}/1").into(),
        key: key.into(),
        deadline: DEADLINE,
        kind: CallerKind::Read,
        after_event: None,
        resumes: None,
    };
    connection.call(&request).await.status.unwrap_or(0)
}

async fn wait_for_status(gateway: &PlainGateway, path: &str, key: &str, expected: u16) {
    let what = format!("{path} with {key} answers {expected}");
    wait_until(&what, async || status(gateway, path, key).await == expected).await;
}

/// Checks that nothing of the lost configuration is undone.
async fn assert_not_undone(gateway: &PlainGateway, lasting: Duration) {
    let until = Instant::now() + lasting;
    while Instant::now() < until {
        let added = status(gateway, "added", CUSTOMER_KEY).await;
        assert!(added == 200 || added == 503, "the added route answers {added}");
        let withdrawn = status(gateway, "reads", WITHDRAWN_KEY).await;
        assert!(withdrawn == 401 || withdrawn == 503, "the withdrawn key gets {withdrawn}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a gateway that holds on to the offsets of the lost history: it takes no new
/// configuration until the new history is longer, or follows the copy back to an older one.
#[tokio::test]
async fn configurations_are_taken_in_order_across_a_restored_store() {
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[echo_target().await])
            .await;
    configure(&gateway, 3, &["reads"], &[CUSTOMER_KEY, WITHDRAWN_KEY]);
    wait_for_status(&gateway, "reads", WITHDRAWN_KEY, 200).await;
    let copy = gateway.store().copy();
    for version in [5, 6, 8] {
        configure(&gateway, version, &["reads", "added"], &[CUSTOMER_KEY]);
    }
    wait_for_status(&gateway, "added", CUSTOMER_KEY, 200).await;
    wait_for_status(&gateway, "reads", WITHDRAWN_KEY, 401).await;

    gateway.store().restore(copy);
    assert_not_undone(&gateway, REWRITTEN_AFTER).await;
    configure(&gateway, 8, &["reads", "added"], &[CUSTOMER_KEY]);
    assert_not_undone(&gateway, Duration::from_millis(500)).await;
    configure(&gateway, 11, &["reads", "added", "third"], &[CUSTOMER_KEY]);
    sleep(IN_FORCE_WITHIN).await;
    assert_eq!(status(&gateway, "third", CUSTOMER_KEY).await, 200);
    assert_eq!(status(&gateway, "added", CUSTOMER_KEY).await, 200);
}

/// Guards against a reader that finds more records after the restoration than it had read before and
/// takes them for the continuation of the lost history; the store comes back from two copies in a row.
#[tokio::test]
async fn a_longer_history_after_the_restoration_is_read_from_its_start() {
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[echo_target().await])
            .await;
    let copy = gateway.store().copy();
    configure(&gateway, 5, &["reads", "added"], &[CUSTOMER_KEY]);
    wait_for_status(&gateway, "added", CUSTOMER_KEY, 200).await;
    for last in [20, 40] {
        // Both happen between two reads of the gateway.
        gateway.store().restore(copy.clone());
        for version in last - 8..=last {
            configure(&gateway, version, &["reads", "added"], &[CUSTOMER_KEY]);
        }
        let name = format!("route-{last}");
        configure(&gateway, last + 1, &["reads", "added", &name], &[CUSTOMER_KEY]);
        sleep(IN_FORCE_WITHIN).await;
        assert_eq!(status(&gateway, &name, CUSTOMER_KEY).await, 200, "{name}");
    }
}

/// Guards against a gateway that starts on a restored store and takes its content for current: a key
/// that was withdrawn in the lost history is served again.
#[tokio::test]
async fn a_gateway_that_starts_on_a_restored_store_serves_no_withdrawn_key() {
    let mut gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[echo_target().await])
            .await;
    configure(&gateway, 3, &["reads"], &[CUSTOMER_KEY, WITHDRAWN_KEY]);
    wait_for_status(&gateway, "reads", WITHDRAWN_KEY, 200).await;
    let copy = gateway.store().copy();
    configure(&gateway, 5, &["reads", "added"], &[CUSTOMER_KEY]);
    wait_for_status(&gateway, "reads", WITHDRAWN_KEY, 401).await;

    gateway.store().restore(copy);
    gateway.restart().await;
    let until = Instant::now() + REWRITTEN_AFTER;
    while Instant::now() < until {
        let withdrawn = status(&gateway, "reads", WITHDRAWN_KEY).await;
        assert!(withdrawn == 503 || withdrawn == 0, "the withdrawn key gets {withdrawn}");
        sleep(Duration::from_millis(50)).await;
    }
    configure(&gateway, 5, &["reads", "added"], &[CUSTOMER_KEY]);
    wait_for_status(&gateway, "added", CUSTOMER_KEY, 200).await;
    wait_for_status(&gateway, "reads", WITHDRAWN_KEY, 401).await;
}

/// Guards against a gateway that stops serving keys because the newest configuration can't be read: the
/// one before stays in force, also when the store has dropped its history.
#[tokio::test]
async fn a_configuration_that_cannot_be_read_changes_nothing() {
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[echo_target().await])
            .await;
    let (topic, key) = DeploymentSpec::KEY;
    gateway.store().put(topic, key, b"{\"version\":9,\"routes\":[{}]}");
    gateway.store().put(topic, "other", b"{}");
    gateway.store().drop_history();
    // Longer than evidence is valid.
    sleep(EVIDENCE_TIME).await;
    assert_eq!(status(&gateway, "reads", CUSTOMER_KEY).await, 200);
}
