//! Calls to a server that sends bytes without end.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use calls::{CallError, HttpCall, HttpClient};
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};
use tokio::time::Instant;

/// Timeout of a call, far above the time in which it is cut off.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Calls a server that answers with `head` and then `part` without end, and checks that the call is cut off
/// and its connection closed before the timeout.
async fn check_call_is_cut(head: &'static str, part: &'static str, expected: CallError) {
    let answers = vec![EndlessAnswer { head: head.to_owned(), part }];
    let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
    let mut server = EndlessServer::start(settings).await.unwrap();
    let client = HttpClient::new(TIMEOUT);
    let began = Instant::now();
    let response = client.call(HttpCall::get(server.address(), "/", TIMEOUT)).await;
    assert_eq!(response.map(|response| response.status), Err(expected));
    assert!(server.next_closed().await.is_some());
    assert!(began.elapsed() < TIMEOUT);
}

/// Guards against a call that skips interim responses until its timeout and occupies the thread meanwhile.
#[tokio::test]
async fn interim_responses_without_end_are_cut() {
    check_call_is_cut("", "HTTP/1.1 100 Continue\r\n\r\n", CallError::NoResponse).await;
    check_call_is_cut("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n", CallError::NoResponse)
        .await;
}

/// Guards against a call that reads a chunk size without end past its timeout, since nothing else gets the
/// thread meanwhile.
#[tokio::test]
async fn chunk_sizes_without_end_are_cut_at_the_timeout() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let answers = vec![EndlessAnswer { head, part: "0" }];
    let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
    // On a thread of its own, which can send as fast as the client reads.
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let mut server = EndlessServer::start(settings).await.unwrap();
            sender.send(server.address()).unwrap();
            server.next_closed().await
        })
    });
    let address = address.recv().unwrap();
    let (timeout, limit) = (Duration::from_millis(500), Duration::from_secs(3));
    let began = Instant::now();
    let response = HttpClient::new(timeout).call(HttpCall::get(address, "/", timeout)).await;
    assert_eq!(response.map(|response| response.status), Err(CallError::NoResponse));
    assert!(began.elapsed() < limit, "{:?}", began.elapsed());
}

/// Guards against a call that collects a body beyond its limit.
#[tokio::test]
async fn bodies_without_end_are_cut() {
    check_call_is_cut("HTTP/1.1 200 OK\r\n\r\n", "a", CallError::TooLarge).await;
}

/// Guards against a call that collects or skips what is no response until its timeout.
#[tokio::test]
async fn heads_and_framing_without_end_are_cut() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const LAST_CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    check_call_is_cut("", "a", CallError::NoResponse).await;
    check_call_is_cut("HTTP/1.1 200 OK\r\nx: ", "a", CallError::NoResponse).await;
    check_call_is_cut("HTTP/1.1 200 OK\r\n", "x-a: b\r\n", CallError::NoResponse).await;
    check_call_is_cut(CHUNKED, "1;extension\r\na\r\n", CallError::NoResponse).await;
    check_call_is_cut(LAST_CHUNK, "x-a: b\r\n", CallError::NoResponse).await;
}
