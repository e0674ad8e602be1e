//! Entries of other writers among those of the targets.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::{CallerKind, DeploymentSpec, RouteKind};
use support::{PlainGateway, SERVICE, echo_target, plain_call, plain_route};
use tokio::time::sleep;

/// Entries of which none names a target.
fn odd_entries(address: SocketAddr) -> Vec<String> {
    let entry = |address: &str, zone: &str, slots: &str| {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"slots\":{slots},\
             \"state\":\"ready\",\"sequence\":1,\"odd\":{}{}}}",
            "[".repeat(100_000),
            "]".repeat(100_000)
        )
    };
    let short =
        |text: String| text.replace(&"[".repeat(100_000), "0").replace(&"]".repeat(100_000), "");
    let address = address.to_string();
    vec![
        "\u{0}\u{1}".to_owned(),
        "[]".to_owned(),
        entry(&address, "north-a", "8"),
        short(entry(&address, "north-a", "4294967296")),
        short(entry(&address, "north-a", "1e999")),
        short(entry("127.0.0.1:70000", "north-a", "8")),
        short(entry("127.0.0.1:0", "north-a", "8")),
        short(entry(&address, &"z".repeat(100_000), "8")),
    ]
}

/// Guards against a gateway that ends on an odd entry, no longer follows the list, or drops the target
/// under whose id the entry was left.
#[tokio::test]
async fn odd_entries_among_those_of_the_targets_change_nothing() {
    let target = echo_target().await;
    let mut gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[target]).await;
    for is_new_process in [false, true] {
        for (number, entry) in odd_entries(target).iter().enumerate() {
            let id = format!("odd-{number}");
            gateway.store().put(DeploymentSpec::TARGETS, &id, entry.as_bytes());
            if !is_new_process {
                gateway.store().put(DeploymentSpec::TARGETS, "target-1", entry.as_bytes());
            }
            sleep(Duration::from_millis(650)).await;
            for call in 0..4 {
                let id = format!("{is_new_process}-{number}-{call}");
                let response = plain_call(&gateway, &id, "/reads/1", CallerKind::Read).await;
                assert_eq!(response.status, Some(200), "entry {number}: {response:?}");
            }
        }
        if !is_new_process {
            gateway.announce(1, target);
            gateway.restart().await;
        }
    }
}
