//! Calls to an engine that sends bytes without end.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use engine::{Engine, EngineError, EngineLimits, GenerateCall, HttpEngine};
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};
use tokio::time::Instant;

/// Time limit of a call, far above the time in which it is cut off.
const LIMIT: Duration = Duration::from_secs(20);

async fn start(head: &str, part: &'static str) -> (EndlessServer, HttpEngine) {
    let answers = vec![EndlessAnswer { head: head.to_owned(), part }];
    let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
    let server = EndlessServer::start(settings).await.unwrap();
    let limits = EngineLimits { call: LIMIT, event: LIMIT, ..EngineLimits::default() };
    let client = HttpEngine::new(server.address(), limits);
    (server, client)
}

/// Guards against a call or a generation that skips interim responses until its time limit.
#[tokio::test]
async fn interim_responses_without_end_are_cut() {
    let (mut server, client) = start("", "HTTP/1.1 102 Processing\r\n\r\n").await;
    let began = Instant::now();
    assert_eq!(client.state().await.map(drop), Err(EngineError::OutcomeUnknown));
    let call = GenerateCall { id: "r1".into(), ..GenerateCall::default() };
    assert_eq!(client.generate(&call).await.map(drop), Err(EngineError::OutcomeUnknown));
    assert!(server.next_closed().await.is_some());
    assert!(server.next_closed().await.is_some());
    assert!(began.elapsed() < LIMIT);
}
