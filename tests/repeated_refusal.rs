//! Refusals of a target that don't belong to the request that waits for an answer, or that promise what
//! the target does not.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::header_names::{NOT_RUN, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, CallerResponse, RouteKind};
use support::{PlainGateway, id_line, plain_call, plain_route, read_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How the target answers requests after the first one on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Odd {
    /// With a refusal of the first request.
    Repeated,
    /// With a refusal that has no id.
    RepeatedWithoutId,
    /// With a status that promises that nothing ran.
    Status(u16),
    /// With a success that says that nothing ran.
    SuccessNotRun,
}

/// Requests that targets ran, by the line with their id.
#[derive(Debug, Default)]
struct Runs {
    all: Vec<String>,
    /// The first one that got an odd answer.
    odd: Option<String>,
}

async fn target(odd: Odd, runs: Arc<Mutex<Runs>>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            tokio::spawn(serve(listener.accept().await.unwrap().0, odd, Arc::clone(&runs)));
        }
    });
    address
}

fn refusal(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\n{NOT_RUN}: 1\r\n{id}content-length: 2\r\n\r\nno")
}

/// Runs all requests and answers the first one of a connection properly.
async fn serve(mut socket: TcpStream, odd: Odd, runs: Arc<Mutex<Runs>>) {
    let Some(first) = read_head(&mut socket).await else { return };
    let first = id_line(&first);
    runs.lock().unwrap().all.push(first.clone());
    let whole = |id: &str| {
        format!("HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-length: 2\r\n\r\nok")
    };
    socket.write_all(whole(&first).as_bytes()).await.unwrap();
    while let Some(head) = read_head(&mut socket).await {
        let id = id_line(&head);
        {
            let mut runs = runs.lock().unwrap();
            runs.all.push(id.clone());
            runs.odd.get_or_insert(id.clone());
        }
        let answer = match odd {
            Odd::Repeated => refusal(&first),
            Odd::RepeatedWithoutId => refusal(""),
            Odd::Status(status) => {
                format!(
                    "HTTP/1.1 {status} Odd\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-length: 2\r\n\r\nno"
                )
            }
            Odd::SuccessNotRun => format!(
                "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{NOT_RUN}: 1\r\n{id}content-length: 2\r\n\r\nok"
            ),
        };
        if socket.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the answer to a request on a kept connection that one of two targets runs, and the number of
/// runs.
async fn call_again(odd: Odd) -> (CallerResponse, usize) {
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let targets = [target(odd, Arc::clone(&runs)).await, target(odd, Arc::clone(&runs)).await];
    let gateway = PlainGateway::start(plain_route("orders", RouteKind::Once), &targets).await;
    for number in 0..20 {
        let id = format!("order-{number}");
        let response = plain_call(&gateway, &id, "/orders/1", CallerKind::Order).await;
        // Time for a second target to run it.
        sleep(Duration::from_millis(100)).await;
        let runs = runs.lock().unwrap();
        match &runs.odd {
            None => assert!(response.is_success(), "{odd:?}: {response:?}"),
            Some(id) => return (response, runs.all.iter().filter(|run| *run == id).count()),
        }
    }
    panic!("no connection was kept");
}

/// Guards against callers who are told that a request has not run although a target ran it, and against a
/// second run of it elsewhere.
#[tokio::test]
async fn a_refusal_of_another_request_is_not_believed() {
    for odd in [Odd::Repeated, Odd::RepeatedWithoutId] {
        let (response, runs) = call_again(odd).await;
        assert!(!response.guarantees_not_run(), "{odd:?}: {response:?}");
        assert_eq!(runs, 1, "{odd:?}");
    }
}

/// Guards against a target's status that promises more than the target, which does not say that it has
/// not run the request.
#[tokio::test]
async fn a_status_alone_promises_nothing() {
    for status in [408, 429, 503] {
        let (response, runs) = call_again(Odd::Status(status)).await;
        assert!(!response.guarantees_not_run(), "{status}: {response:?}");
        assert_eq!(response.status, Some(502), "{status}: {response:?}");
        assert_eq!(runs, 1, "{status}");
    }
}

/// Guards against a run that counts as none, and a second one elsewhere, because a success says so.
#[tokio::test]
async fn a_success_is_a_run() {
    let (response, runs) = call_again(Odd::SuccessNotRun).await;
    assert_eq!((response.status, runs), (Some(200), 1), "{response:?}");
}
