//! Memory of a call whose response comes in chunks of one byte. In a process of its own, whose peak it reads.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use calls::{CallError, HttpCall, HttpClient};
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};

/// Limit of the call on the body.
const MAX_BYTES: usize = 512 << 10;
/// Most memory for the body and the connection, in KB.
const MOST_MEMORY_KB: u64 = 8_000;

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against a call that stays within its limit on the body, but keeps a record and the received bytes of
/// each chunk.
#[tokio::test]
async fn chunks_of_one_byte_take_no_more_memory_than_the_body() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let answers = vec![EndlessAnswer { head, part: "1\r\na\r\n" }];
    let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
    let server = EndlessServer::start(settings).await.unwrap();
    let timeout = Duration::from_secs(60);
    let client = HttpClient::new(timeout);

    let before_kb = peak_memory_kb();
    let call =
        HttpCall { max_response_bytes: MAX_BYTES, ..HttpCall::get(server.address(), "/", timeout) };
    let response = client.call(call).await;
    assert_eq!(response.map(|response| response.status), Err(CallError::TooLarge));
    let taken_kb = peak_memory_kb() - before_kb;
    assert!(taken_kb < MOST_MEMORY_KB, "{taken_kb} KB");
}
