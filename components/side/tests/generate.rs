//! Generations through a side process with a stand-in engine.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{Fixture, engine_settings, generate, request, run_test, wait_for};
use standin::answer_text;
use wire::{FinishReason, GenerateFrame, RefuseReason};

/// Guards against tokens lost, duplicated or reordered between engine and entry process.
#[test]
fn resident_model_streams_a_whole_answer() {
    run_test(async {
        let fixture = Fixture::start(engine_settings()).await;
        let request = request("base");
        let (text, last) = generate(&fixture.client, &request).await;
        assert_eq!(text, answer_text("base", None, &request.prompt, 8));
        let expected = GenerateFrame::Finished {
            reason: FinishReason::Length,
            prompt_tokens: 4,
            output_tokens: 8,
        };
        assert_eq!(last, Some(expected));
    });
}

/// Guards against a request for a model or adapter that is not resident being refused or blocked.
#[test]
fn absent_model_and_adapter_are_loaded_on_request() {
    run_test(async {
        let fixture = Fixture::start(engine_settings()).await;
        let (text, last) = generate(&fixture.client, &request("first")).await;
        assert_eq!(text, answer_text("first", None, "one two three four", 8));
        assert!(matches!(last, Some(GenerateFrame::Finished { .. })), "{last:?}");
        let mut with_adapter = request("base");
        with_adapter.adapter = Some("tone".into());
        let (text, _) = generate(&fixture.client, &with_adapter).await;
        assert_eq!(text, answer_text("base", Some("tone"), "one two three four", 8));
        assert_eq!(
            fixture.entry.permits.get(),
            1,
            "one permit for the model, none for the adapter"
        );
        wait_for("the permit is returned", async || fixture.entry.returned.get() == 1).await;
    });
}

/// Guards against requests with unknown names that reach the engine.
#[test]
fn unknown_names_are_refused() {
    run_test(async {
        let fixture = Fixture::start(engine_settings()).await;
        let mut unknown_customer = request("base");
        unknown_customer.customer = "nobody".into();
        let mut unknown_adapter = request("first");
        unknown_adapter.adapter = Some("tone".into());
        for request in [request("nothing"), unknown_customer, unknown_adapter] {
            let (_, last) = generate(&fixture.client, &request).await;
            let expected =
                GenerateFrame::Refused { reason: RefuseReason::Unknown, retry_after_ms: None };
            assert_eq!(last, Some(expected));
        }
        assert!(fixture.engine.journal().runs.is_empty());
    });
}
