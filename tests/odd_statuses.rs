//! Responses whose status no response can have.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use platform::header_names::RESPONSE_SIGNATURE;
use platform_standin::{CallerKind, RouteKind, RouteSpec};
use standin::RawServer;
use support::{PlainGateway, plain_call, plain_route};

/// What follows the protocol's name in the first line of a response.
const ODD_LINES: [&str; 21] = [
    " 000 OK",
    " 000",
    " 0",
    " 00",
    " 001 OK",
    " 099 OK",
    " 99 OK",
    " 1000 OK",
    " 0200 OK",
    " 2000 OK",
    " +20 OK",
    " -20 OK",
    " 20x OK",
    " 2e1 OK",
    "  200 OK",
    "",
    " ",
    " 600 Odd",
    " 700",
    " 999 OK",
    " 101 Switching Protocols",
];

/// Guards against bytes that are no answer in HTTP and that are passed on as one: responses whose status
/// is below 100, above 599 or no number of three digits, with or without what marks the end of a body.
#[tokio::test]
async fn responses_with_an_impossible_status_are_not_passed_on() {
    for kind in [RouteKind::Once, RouteKind::Repeatable, RouteKind::ResumableStream] {
        for framing in ["content-length: 15\r\n", "content-type: text/event-stream\r\n"] {
            // A gateway sends no request for a while to a target that has failed, so each line has its own.
            let mut targets = Vec::new();
            for line in ODD_LINES {
                let response = format!(
                    "HTTP/1.1{line}\r\n{RESPONSE_SIGNATURE}: s\r\n{framing}\r\nid: 1\ndata: a\n\n"
                );
                targets
                    .push(RawServer::start(move |_| response.clone().into_bytes()).await.unwrap());
            }
            let addresses: Vec<_> = targets.iter().map(RawServer::address).collect();
            let route = RouteSpec { attempts: 1, ..plain_route("calls", kind) };
            let gateway = PlainGateway::start(route, &addresses).await;
            let caller_kind = match kind {
                RouteKind::Once => CallerKind::Order,
                RouteKind::Repeatable | RouteKind::ResumableStream => CallerKind::Read,
            };
            for call in 0..targets.len() {
                let id = format!("request-{call}");
                let answer = plain_call(&gateway, &id, "/calls/1", caller_kind.clone()).await;
                let seen = (answer.status, answer.seal.is_some());
                assert_eq!(seen, (Some(502), false), "{kind:?} {framing:?}: {answer:?}");
            }
        }
    }
}
