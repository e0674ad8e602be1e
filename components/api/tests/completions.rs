//! Events and answers in the callers' format.

use api::{
    Completion, CompletionFormat, DONE_EVENT, Usage, completion_body, delta_event, finish_event,
    first_event, model_list, usage_event,
};
use expect_test::expect;

fn stream(format: CompletionFormat) -> String {
    let id = format.completion_id("0a");
    let usage = Usage::new(3, 2);
    [
        first_event(format, &id, 7, "teyrnged").unwrap_or_default(),
        delta_event(format, &id, 7, "teyrnged", "line \"one\"\nline two"),
        finish_event(format, &id, 7, "teyrnged", "stop"),
        usage_event(format, &id, 7, "teyrnged", usage),
        DONE_EVENT.to_owned(),
    ]
    .concat()
}

/// Guards against chunks that the usual client libraries can't read.
#[test]
fn chat_stream_in_the_usual_form() {
    expect![[r#"
        data: {"id":"chatcmpl-0a","object":"chat.completion.chunk","created":7,"model":"teyrnged","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}

        data: {"id":"chatcmpl-0a","object":"chat.completion.chunk","created":7,"model":"teyrnged","choices":[{"index":0,"delta":{"content":"line \"one\"\nline two"},"finish_reason":null}]}

        data: {"id":"chatcmpl-0a","object":"chat.completion.chunk","created":7,"model":"teyrnged","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}

        data: {"id":"chatcmpl-0a","object":"chat.completion.chunk","created":7,"model":"teyrnged","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}

        data: [DONE]

    "#]]
    .assert_eq(&stream(CompletionFormat::Chat));
}

/// Guards against chunks that the usual client libraries can't read.
#[test]
fn text_stream_in_the_usual_form() {
    expect![[r#"
        data: {"id":"cmpl-0a","object":"text_completion","created":7,"model":"teyrnged","choices":[{"index":0,"text":"line \"one\"\nline two","finish_reason":null}]}

        data: {"id":"cmpl-0a","object":"text_completion","created":7,"model":"teyrnged","choices":[{"index":0,"text":"","finish_reason":"stop"}]}

        data: {"id":"cmpl-0a","object":"text_completion","created":7,"model":"teyrnged","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}

        data: [DONE]

    "#]]
    .assert_eq(&stream(CompletionFormat::Text));
}

/// Guards against answers that the usual client libraries can't read.
#[test]
fn whole_answers_and_model_list_in_the_usual_form() {
    let answer = |format: CompletionFormat| {
        let id = format.completion_id("0a");
        let usage = Usage::new(3, 2);
        let text = "hello";
        let answer =
            Completion { id: &id, created: 7, model: "m", text, finish_reason: "length", usage };
        completion_body(format, &answer)
    };
    expect![[r#"{"id":"chatcmpl-0a","object":"chat.completion","created":7,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"hello"},"finish_reason":"length"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#]].assert_eq(&answer(CompletionFormat::Chat));
    expect![[r#"{"id":"cmpl-0a","object":"text_completion","created":7,"model":"m","choices":[{"index":0,"text":"hello","finish_reason":"length"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#]].assert_eq(&answer(CompletionFormat::Text));
    expect![[r#"{"object":"list","data":[{"id":"a","object":"model","owned_by":"plantainbeam"},{"id":"b","object":"model","owned_by":"plantainbeam"}]}"#]].assert_eq(&model_list(["a", "b"].into_iter()));
}
