//! Responses of a plain service that are cut off at each byte, or whose head is at fault.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::sync::{Arc, Mutex};

use base::ExecutionState;
use common::{
    CallAnswer, Platform, RunningSide, call, config, connect, head, run_test, side_settings,
};
use config::PlatformSettings;
use standin::RawServer;
use wire::{ForwardHead, PeerClient};

/// Whole responses with the body that the caller gets.
const RESPONSES: [(&str, &str); 8] = [
    (
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\na whole body",
        "a whole body",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\na whole\r\n5;x=1\r\n body\r\n0\r\n\r\n",
        "a whole body",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n2\r\nok\r\n0\r\nx-sum: 1\r\n\r\n",
        "ok",
    ),
    (
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n",
        "data: 1\n\ndata: 2\n\n",
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "ok",
    ),
    ("HTTP/1.1 200 OK\ncontent-length: 2\n\nok", "ok"),
    ("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n", ""),
    ("HTTP/1.1 204 No Content\r\nserver: test\r\n\r\n", ""),
];

/// A side process whose service answers each call with the same bytes.
struct Fixture {
    response: Arc<Mutex<Vec<u8>>>,
    client: PeerClient,
    _service: RawServer,
    _side: RunningSide,
    _platform: Platform,
}

impl Fixture {
    async fn start() -> Self {
        let (platform, response) = (Platform::start().await, Arc::<Mutex<Vec<u8>>>::default());
        let bytes = Arc::clone(&response);
        let service = RawServer::start(move |_| bytes.lock().unwrap().clone()).await.unwrap();
        let mut settings = side_settings(&platform, "p1", service.address());
        settings.platform = PlatformSettings { appends_per_s: 10_000, ..settings.platform };
        let side = RunningSide::start(settings, config()).await;
        side.wait_ready().await;
        let client = connect(side.address).await;
        Self { response, client, _service: service, _side: side, _platform: platform }
    }

    /// Makes a call that the service answers with `response`.
    async fn call(&self, response: &[u8], key: Option<[u8; 32]>) -> CallAnswer {
        *self.response.lock().unwrap() = response.to_vec();
        let head = ForwardHead { idempotency_key_sha256: key, body_bytes: Some(0), ..head() };
        call(&self.client, &head, b"").await
    }
}

/// Guards against a response that is cut off at any byte of its head or body and that is passed on as
/// complete or as not run.
#[test]
fn responses_cut_at_any_byte_are_not_complete() {
    run_test(async {
        let fixture = Fixture::start().await;
        for (response, body) in RESPONSES {
            for cut in 0..response.len() {
                let answer = fixture.call(&response.as_bytes()[..cut], None).await;
                let seen = (answer.whole, answer.refused, answer.failed);
                let expected = (false, None, Some(ExecutionState::Unknown));
                assert_eq!(seen, expected, "{cut} bytes of {response:?}");
            }
            let answer = fixture.call(response.as_bytes(), None).await;
            assert!(answer.whole, "{response:?}");
            assert_eq!(answer.body, body.as_bytes(), "{response:?}");
        }
    });
}

/// Guards against the same where the response is kept for repeats of the call, which would then get it too.
#[test]
fn responses_cut_off_are_not_kept_for_repeats() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut key = [0; 32];
        for (response, _) in RESPONSES {
            for cut in (0..response.len()).step_by(9) {
                key[0] += 1;
                for _ in 0..2 {
                    let answer = fixture.call(&response.as_bytes()[..cut], Some(key)).await;
                    let seen = (answer.whole, answer.refused, answer.failed);
                    let expected = (false, None, Some(ExecutionState::Unknown));
                    assert_eq!(seen, expected, "{cut} bytes of {response:?}");
                }
            }
        }
    });
}

/// Guards against a head that is not one of a response and that is passed on: with a folded line, a line
/// without a colon or with a space before it, lengths that differ, or a status that no answer has.
#[test]
fn malformed_heads_are_no_responses() {
    run_test(async {
        let fixture = Fixture::start().await;
        for response in [
            "HTTP/1.1 200 OK\r\nx-long: a\r\n b\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\ncontent-length\r\n\r\nok",
            "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
            "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok",
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 2\r\n\r\n",
            "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 1000 OK\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 999 OK\r\n\r\nok",
            "\r\n\r\n",
        ] {
            let answer = fixture.call(response.as_bytes(), None).await;
            let seen = (answer.whole, answer.refused, answer.failed);
            assert_eq!(seen, (false, None, Some(ExecutionState::Unknown)), "{response:?}");
        }
    });
}

/// Guards against a length beside chunks that is passed on: the caller would get that many bytes of the
/// body, framed as whole.
#[test]
fn a_length_beside_chunks_is_not_passed_on() {
    run_test(async {
        let fixture = Fixture::start().await;
        let response =
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n\
            c\r\na whole body\r\n0\r\n\r\n";
        for key in [None, Some([7; 32])] {
            let answer = fixture.call(response, key).await;
            assert_eq!((answer.whole, answer.body.as_slice()), (true, b"a whole body".as_slice()));
            assert_eq!(answer.header("content-length"), None);
        }
    });
}

/// Guards against a change of protocol that nobody asked for and that is passed on as a complete response.
#[test]
fn a_change_of_protocol_is_no_response() {
    run_test(async {
        let fixture = Fixture::start().await;
        let response =
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
        for key in [None, Some([7; 32])] {
            let answer = fixture.call(response, key).await;
            let seen = (answer.whole, answer.refused, answer.failed);
            assert_eq!(
                seen,
                (false, None, Some(ExecutionState::Unknown)),
                "status {}",
                answer.status
            );
        }
    });
}
