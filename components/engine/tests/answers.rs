//! Responses to generations by the stand-in engine, one fault per test.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use engine::{
    Answer, AnswerError, AnswerEvent, Engine, EngineError, EngineLimits, FinishReason,
    GenerateCall, HttpEngine, ResumeFrom,
};
use standin::{EngineServer, EngineSettings, PreloadedModel, answer_text};
use tokio::time::{sleep, timeout};

const PROMPT: &str = "a caption for the harbour";
const LIMITS: EngineLimits = EngineLimits {
    connect: Duration::from_millis(300),
    call: Duration::from_millis(500),
    event: Duration::from_millis(500),
    kv_transfer: Duration::from_secs(1),
    order_margin: Duration::from_millis(200),
};

fn settings() -> EngineSettings {
    let model = PreloadedModel { model: "m".into(), version: "1".into(), memory_mb: 1_000 };
    EngineSettings { models: vec![model], token_us: 1_000, ..Default::default() }
}

async fn start(settings: EngineSettings) -> (EngineServer, HttpEngine) {
    let server = EngineServer::start(settings).await.unwrap();
    let client = HttpEngine::new(server.address(), LIMITS);
    (server, client)
}

fn call(id: &str, max_tokens: u64) -> GenerateCall {
    GenerateCall {
        id: id.into(),
        model: "m".into(),
        prompt: PROMPT.to_owned(),
        max_tokens,
        parameters: serde_json::json!({"temperature": 0.2}),
        ..Default::default()
    }
}

/// Reads a response to its end and returns its text, last event and error.
async fn collect(answer: &mut impl Answer) -> (String, Option<AnswerEvent>, Option<AnswerError>) {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Ok(Some(AnswerEvent::Token { text: part, .. })) => text.push_str(&part),
            Ok(Some(last)) => {
                assert_eq!(answer.next().await, Ok(None));
                return (text, Some(last), None);
            }
            Ok(None) => panic!("an answer ended without its last event and without an error"),
            Err(error) => {
                assert_eq!(answer.next().await, Err(error));
                return (text, None, Some(error));
            }
        }
    }
}

fn finished(output_tokens: u64) -> Option<AnswerEvent> {
    let (reason, prompt_tokens) = (FinishReason::Length, 5);
    Some(AnswerEvent::Finished { reason, prompt_tokens, output_tokens })
}

#[tokio::test]
async fn whole_answer_arrives_with_its_counts() {
    let (server, client) = start(settings()).await;
    let mut answer = client.generate(&call("r1", 20)).await.unwrap();
    let (text, last, _) = collect(&mut answer).await;
    assert_eq!(text, answer_text("m", None, PROMPT, 20));
    assert_eq!(last, finished(20));
    let run = &server.journal().runs[0];
    assert!(run.finished && run.tokens == 20 && run.id == "r1");
}

#[tokio::test]
async fn stop_by_the_engine_is_reported() {
    let (_server, client) = start(EngineSettings { answer_tokens: 4, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 20)).await.unwrap();
    let (_, last, _) = collect(&mut answer).await;
    let reason = FinishReason::Stop;
    let expected = AnswerEvent::Finished { reason, prompt_tokens: 5, output_tokens: 4 };
    assert_eq!(last, Some(expected));
}

/// Guards against a stream without `finished` that is accepted as complete because its body ends
/// cleanly.
#[tokio::test]
async fn truncated_answer_is_reported() {
    for truncate_cleanly in [false, true] {
        let faulty = EngineSettings { truncate_answers: 1, truncate_cleanly, ..settings() };
        let (_server, client) = start(faulty).await;
        let mut answer = client.generate(&call("r1", 20)).await.unwrap();
        let (text, last, error) = collect(&mut answer).await;
        assert_eq!((text, last), (answer_text("m", None, PROMPT, 3), None));
        assert_eq!(error, Some(AnswerError::Truncated));
    }
}

#[tokio::test]
async fn resumed_answer_equals_the_unbroken_one() {
    let (server, client) = start(EngineSettings { truncate_answers: 1, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 20)).await.unwrap();
    let (text, ..) = collect(&mut answer).await;
    let resume = Some(ResumeFrom { tokens: 3, text: text.clone() });
    let mut rest = client.generate(&GenerateCall { resume, ..call("r1-1", 20) }).await.unwrap();
    let (rest, last, _) = collect(&mut rest).await;
    assert_eq!(text + &rest, answer_text("m", None, PROMPT, 20));
    assert_eq!(last, finished(20));
    assert_eq!(server.journal().runs[1].first_index, 3);
}

#[tokio::test]
async fn engine_that_cannot_resume_refuses() {
    let (_server, client) = start(EngineSettings { resumes: false, ..settings() }).await;
    let resume = Some(ResumeFrom { tokens: 3, text: String::new() });
    let error = client.generate(&GenerateCall { resume, ..call("r1", 20) }).await.unwrap_err();
    assert_eq!(error, EngineError::Rejected { status: 400 });
}

/// Guards against events of other requests in a response.
#[tokio::test]
async fn events_of_other_requests_are_dropped_and_counted() {
    let (_server, client) =
        start(EngineSettings { crossed_events_percent: 50, seed: 7, ..settings() }).await;
    let mut first = client.generate(&call("r1", 40)).await.unwrap();
    let mut second = client.generate(&call("r2", 40)).await.unwrap();
    let (first, second) = tokio::join!(collect(&mut first), collect(&mut second));
    for (text, last, _) in [first, second] {
        assert_eq!(text, answer_text("m", None, PROMPT, 40));
        assert_eq!(last, finished(40));
    }
    assert!(client.dropped() > 10, "dropped {}", client.dropped());
}

#[tokio::test]
async fn repeated_tokens_are_dropped_and_counted() {
    let (_server, client) =
        start(EngineSettings { repeated_events_percent: 50, seed: 7, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 40)).await.unwrap();
    let (text, last, _) = collect(&mut answer).await;
    assert_eq!((text, last), (answer_text("m", None, PROMPT, 40), finished(40)));
    assert!(client.dropped() > 5, "dropped {}", client.dropped());
}

/// Guards against an undetected gap after a token was sent to another request.
#[tokio::test]
async fn missing_token_is_a_gap() {
    let (_server, client) = start(EngineSettings { misaddress_events: 1, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 5)).await.unwrap();
    let (text, _, error) = collect(&mut answer).await;
    assert_eq!((text.as_str(), error), ("", Some(AnswerError::Gap)));
    assert_eq!(client.dropped(), 1);
}

/// Guards against an undetected loss of the last token, which only the final count shows.
#[tokio::test]
async fn missing_last_token_is_a_gap() {
    let (_server, client) = start(EngineSettings { misaddress_events: 1, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 1)).await.unwrap();
    assert_eq!(collect(&mut answer).await.2, Some(AnswerError::Gap));
}

#[tokio::test]
async fn answer_under_another_id_is_refused() {
    let (_server, client) = start(EngineSettings { cross_heads: 1, ..settings() }).await;
    let error = client.generate(&call("r1", 5)).await.unwrap_err();
    assert_eq!(error, EngineError::Mismatched);
    assert!(error.may_have_taken_effect());
    assert_eq!(client.dropped(), 1);
}

#[tokio::test]
async fn silent_answer_times_out() {
    let (_server, client) = start(EngineSettings { stall_answers: 1, ..settings() }).await;
    let mut answer = client.generate(&call("r1", 20)).await.unwrap();
    let (text, _, error) = collect(&mut answer).await;
    assert_eq!(text, answer_text("m", None, PROMPT, 3));
    assert_eq!(error, Some(AnswerError::Timeout));
}

#[tokio::test]
async fn late_head_times_out_with_unknown_outcome() {
    let (_server, client) =
        start(EngineSettings { late_answers: 1, late_ms: 5_000, ..settings() }).await;
    let error = client.generate(&call("r1", 5)).await.unwrap_err();
    assert_eq!(error, EngineError::OutcomeUnknown);
}

#[tokio::test]
async fn refusals_report_that_nothing_ran() {
    let (server, client) = start(EngineSettings { refuse_generations: 1, ..settings() }).await;
    assert_eq!(client.generate(&call("r1", 5)).await.unwrap_err(), EngineError::Busy);
    let absent = GenerateCall { model: "absent".into(), ..call("r2", 5) };
    assert_eq!(client.generate(&absent).await.unwrap_err(), EngineError::NotResident);
    let adapter = GenerateCall { adapter: Some("absent".into()), ..call("r3", 5) };
    assert_eq!(client.generate(&adapter).await.unwrap_err(), EngineError::NotResident);
    assert!(server.journal().runs.is_empty());
}

#[tokio::test]
async fn lost_generation_is_an_unknown_outcome() {
    let (_server, client) = start(EngineSettings { lose_generations: 1, ..settings() }).await;
    let error = client.generate(&call("r1", 5)).await.unwrap_err();
    assert_eq!(error, EngineError::OutcomeUnknown);
}

async fn wait_until_empty(server: &EngineServer) {
    let empty = async {
        while server.requests_inside() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), empty).await.expect("the engine still runs the request");
}

/// Guards against a cancelled request that keeps its place in the batch.
#[tokio::test]
async fn dropped_answer_cancels_the_request() {
    let (server, client) = start(settings()).await;
    let mut answer = client.generate(&call("r1", 100_000)).await.unwrap();
    answer.next().await.unwrap();
    assert_eq!(server.requests_inside(), 1);
    drop(answer);
    wait_until_empty(&server).await;
    assert!(!server.journal().runs[0].finished);
}

#[tokio::test]
async fn cancelled_answer_ends_as_truncated() {
    let (server, client) = start(settings()).await;
    let mut answer = client.generate(&call("r1", 100_000)).await.unwrap();
    answer.next().await.unwrap();
    client.cancel("r1").await.unwrap();
    client.cancel("unknown").await.unwrap();
    assert_eq!(collect(&mut answer).await.2, Some(AnswerError::Truncated));
    wait_until_empty(&server).await;
}

#[tokio::test]
async fn engine_crash_truncates_answers_and_loses_models() {
    let (mut server, client) = start(settings()).await;
    let mut answer = client.generate(&call("r1", 100_000)).await.unwrap();
    answer.next().await.unwrap();
    server.stop().await;
    assert_eq!(collect(&mut answer).await.2, Some(AnswerError::Truncated));
    assert_eq!(client.generate(&call("r2", 5)).await.unwrap_err(), EngineError::Unreachable);
    server.restart().await.unwrap();
    assert_eq!(client.generate(&call("r3", 5)).await.unwrap_err(), EngineError::NotResident);
    assert_eq!(client.state().await.unwrap().used_mb, 0);
}

/// Guards against an exceeded batch limit, and against waiting requests that start out of priority
/// order.
#[tokio::test]
async fn waiting_requests_enter_the_batch_by_priority() {
    let (server, client) = start(EngineSettings { batch: 1, max_waiting: 2, ..settings() }).await;
    let running = client.generate(&call("running", 100_000)).await.unwrap();
    let mut low = client.generate(&call("low", 3)).await.unwrap();
    let high = GenerateCall { priority: 9, ..call("high", 100_000) };
    let mut high = client.generate(&high).await.unwrap();
    assert_eq!(client.generate(&call("full", 3)).await.unwrap_err(), EngineError::Busy);
    drop(running);
    assert!(matches!(high.next().await, Ok(Some(AnswerEvent::Token { index: 0, .. }))));
    assert_eq!(server.journal().runs[1].tokens, 0);
    drop(high);
    assert_eq!(collect(&mut low).await.1, finished(3));
}
