//! Parsing of generation requests.

use api::{CompletionFormat, GenerationRequest};
use expect_test::expect;

const KEY: &str = "sk-secret-1";

fn parse(dialect: CompletionFormat, body: &str) -> Result<GenerationRequest, String> {
    GenerationRequest::parse(dialect, body.as_bytes(), KEY)
        .map_err(|fault| format!("{}: {}", fault.param.unwrap_or("-"), fault.message))
}

/// Guards against a field of the body that is read wrongly.
#[test]
fn reads_all_fields_of_a_chat() {
    let body = r#"{"model": "m", "messages": [{"role": "system", "content": "Be brief."},
        {"role": "user", "content": [{"type": "text", "text": "Hi "}, {"type": "text", "text": "there"}]}],
        "max_tokens": 5, "max_completion_tokens": 9, "stream": true, "priority": 3,
        "stream_options": {"include_usage": true}, "temperature": 0.5, "stop": ["x"]}"#;
    let call = parse(CompletionFormat::Chat, body).unwrap();
    assert_eq!(call.prompt, "system: Be brief.\nuser: Hi there\n");
    assert_eq!((call.max_output_tokens, call.priority), (Some(9), 3));
    assert_eq!((call.stream, call.include_usage), (true, true));
    assert_eq!(call.prompt_tokens, 9);
    assert_eq!(call.parameters_json, r#"{"stop":["x"],"temperature":0.5}"#);
}

/// Guards against malformed bodies being taken as something else.
#[test]
fn refuses_malformed_bodies_with_the_field_at_fault() {
    let chat = [
        "",
        "{",
        "[]",
        "{}",
        r#"{"model": 3}"#,
        r#"{"model": "m"}"#,
        r#"{"model": "m", "messages": []}"#,
        r#"{"model": "m", "messages": [{"role": "user"}]}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": 3}]}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "n": 2}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "max_tokens": 0}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "max_tokens": -1}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "stream": "yes"}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "priority": 256}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "stream_options": 1}"#,
    ];
    let faults: Vec<String> =
        chat.iter().map(|body| parse(CompletionFormat::Chat, body).unwrap_err()).collect();
    expect![[r"
        -: the body is not valid JSON
        -: the body is not valid JSON
        -: the body is not a JSON object
        model: model must be a non-empty text
        model: model must be a non-empty text
        messages: messages must be a list
        messages: messages must have between 1 and 4096 entries
        messages: each message needs role and content
        messages: content must be text or text parts
        n: n must be 1
        max_tokens: max_tokens must be a whole number above 0
        max_tokens: max_tokens must be a whole number above 0
        stream: must be true or false
        priority: priority must be a whole number from 0 to 255
        stream_options: stream_options must be an object"]]
    .assert_eq(&faults.join("\n"));
    let text =
        parse(CompletionFormat::Text, r#"{"model": "m", "prompt": ["a", "b"]}"#).unwrap_err();
    assert_eq!(text, "prompt: prompt must be one text");
}

/// Guards against a key, `user` or `metadata` on its way to an engine.
#[test]
fn forwards_neither_key_nor_user_nor_metadata() {
    let body = format!(
        r#"{{"model": "m", "prompt": "p", "user": "{KEY}", "metadata": {{"a": "{KEY}"}},
        "stop": ["{KEY}", "end"], "response_format": {{"type": "{KEY}", "{KEY}": 1, "deep": [[{{"x": "{KEY}"}}]]}},
        "temperature": 1, "unknown": "{KEY}"}}"#
    );
    let call = parse(CompletionFormat::Text, &body).unwrap();
    assert_eq!(
        call.parameters_json,
        r#"{"response_format":{"deep":[[{}]]},"stop":["end"],"temperature":1}"#
    );
    let prompt = format!(r#"{{"model": "m", "prompt": "{KEY}"}}"#);
    assert_eq!(
        parse(CompletionFormat::Text, &prompt).unwrap_err(),
        "prompt: prompt must be one text"
    );
}
