//! Targets that refuse connections at a gateway that has just started.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::{Ipv4Addr, TcpListener};

use platform_standin::{CallerKind, RouteKind};
use support::{PlainGateway, echo_target, plain_call, plain_route};

/// Guards against requests that are refused because the budget of further sends, which is empty at a start, is
/// charged for targets that they have not reached.
#[tokio::test]
async fn a_new_gateway_serves_although_most_targets_refuse_connections() {
    let gone = [(); 3].map(|()| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.local_addr().unwrap()
    });
    let targets = [gone[0], gone[1], gone[2], echo_target().await];
    let mut gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &targets).await;
    // It is not the first start of the fleet, so that others may have spent the budget.
    gateway.restart().await;
    for number in 0..8 {
        let id = format!("request-{number}");
        let response = plain_call(&gateway, &id, "/reads/1", CallerKind::Read).await;
        assert_eq!(response.status, Some(200), "{response:?}");
    }
    let refused =
        gateway.process.log().iter().any(|line| line.contains("reason=connection_refused"));
    assert!(refused, "the targets are tried");
}
