//! Responses of an engine that are cut off at each byte.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use engine::{
    Answer, AnswerEvent, Engine, EngineError, EngineLimits, GenerateCall, HttpEngine, Order,
    OrderKind,
};
use standin::RawServer;

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Chunked,
    ConnectionEnd,
    Length,
}

const FRAMINGS: [Framing; 3] = [Framing::Chunked, Framing::ConnectionEnd, Framing::Length];

/// A call to an engine and the body of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    CacheEvents,
    ExportKv,
    Fence,
    Load,
    Order,
    State,
}

impl Call {
    const ALL: [Self; 6] =
        [Self::CacheEvents, Self::ExportKv, Self::Fence, Self::Load, Self::Order, Self::State];

    const fn body(self) -> &'static str {
        match self {
            Self::CacheEvents => r#"{"events":[],"last":0}"#,
            Self::ExportKv => "the memory of a request",
            Self::Fence => r#"{"floor":7}"#,
            Self::Load => {
                r#"{"running":0,"waiting_tokens":0,"kv_used_blocks":0,"kv_blocks":1,"sample_age_ms":0}"#
            }
            Self::Order => r#"{"order":"o1","result":"done"}"#,
            Self::State => {
                r#"{"capacity_mb":1,"used_mb":0,"models":[],"adapters":[],"orders_in_progress":[],"role":"both"}"#
            }
        }
    }

    /// Makes the call; returns its error.
    async fn make(self, client: &HttpEngine) -> Option<EngineError> {
        match self {
            Self::CacheEvents => client.cache_events(0).await.err(),
            Self::ExportKv => client.export_kv("r1").await.err(),
            Self::Fence => client.fence(7).await.err(),
            Self::Load => client.load().await.err(),
            Self::Order => {
                let kind = OrderKind::UnloadModel { model: "m".into() };
                let deadline = Duration::from_secs(2);
                let order = Order { id: "o1".into(), fencing: 1, deadline, kind };
                client.order(&order).await.err()
            }
            Self::State => client.state().await.err(),
        }
    }
}

/// A response to the request with this head.
fn response(head: &str, framing: Framing, body: &str) -> String {
    let id = head.lines().find(|line| line.to_ascii_lowercase().starts_with("x-request-id:"));
    let id = id.unwrap_or_default();
    let (field, body) = match framing {
        Framing::Chunked => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
        Framing::ConnectionEnd => (String::new(), body.to_owned()),
        Framing::Length => (format!("content-length: {}\r\n", body.len()), body.to_owned()),
    };
    format!("HTTP/1.1 200 OK\r\n{id}\r\n{field}\r\n{body}")
}

/// Starts an engine whose responses lack some bytes at their end.
async fn start(framing: Framing, body: &'static str) -> (Arc<AtomicUsize>, RawServer, HttpEngine) {
    let missing = Arc::new(AtomicUsize::new(0));
    let cut = Arc::clone(&missing);
    let respond = move |head: &str| {
        let response = response(head, framing, body);
        let length = response.len().saturating_sub(cut.load(Ordering::Relaxed));
        response.as_bytes()[..length].to_vec()
    };
    let server = RawServer::start(respond).await.unwrap();
    let client = HttpEngine::new(server.address(), EngineLimits::default());
    (missing, server, client)
}

/// Guards against a response that is cut off at any byte and that is taken for an empty state, a shorter
/// list, part of a memory, or the success of an order.
#[tokio::test]
async fn responses_cut_at_any_byte_have_no_outcome() {
    for (call, framing) in Call::ALL.into_iter().flat_map(|call| FRAMINGS.map(|f| (call, f))) {
        let (missing, _server, client) = start(framing, call.body()).await;
        // Nothing tells whether bytes without a form of their own are whole.
        if (call, framing) != (Call::ExportKv, Framing::ConnectionEnd) {
            assert_eq!(call.make(&client).await, None, "{call:?} {framing:?}");
        }
        let longest = response("x-request-id: call-99", framing, call.body()).len();
        for cut in 1..longest {
            missing.store(cut, Ordering::Relaxed);
            let error = call.make(&client).await;
            assert!(
                error.is_some_and(EngineError::may_have_taken_effect),
                "{call:?} {framing:?} without the last {cut} bytes: {error:?}"
            );
        }
    }
}

const EVENTS: &str = "data: {\"id\":\"r1\",\"event\":\"token\",\"index\":0,\"count\":1,\"text\":\"a\"}\n\n\
    data: {\"id\":\"r1\",\"event\":\"finished\",\"reason\":\"stop\",\"prompt_tokens\":1,\"output_tokens\":1}\n\n";

/// Guards against a generation that is cut off at any byte before its last event and that is taken for
/// complete.
#[tokio::test]
async fn generations_cut_before_their_last_event_are_not_complete() {
    for framing in FRAMINGS {
        let (missing, _server, client) = start(framing, EVENTS).await;
        let call = GenerateCall {
            id: "r1".into(),
            model: "m".into(),
            max_tokens: 1,
            ..GenerateCall::default()
        };
        let longest = response("x-request-id: r1", framing, EVENTS).len();
        for cut in 0..longest {
            missing.store(cut, Ordering::Relaxed);
            let mut complete = false;
            if let Ok(mut answer) = client.generate(&call).await {
                while let Ok(Some(event)) = answer.next().await {
                    complete = matches!(event, AnswerEvent::Finished { .. });
                }
            }
            // The empty line and the end of the framing come after the last event.
            let after = match framing {
                Framing::Chunked => "\n\r\n0\r\n\r\n".len(),
                Framing::ConnectionEnd | Framing::Length => "\n".len(),
            };
            assert_eq!(complete, cut <= after, "{framing:?} without the last {cut} bytes");
        }
    }
}
