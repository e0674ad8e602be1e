//! Checks that the demo runs.

use std::time::{Duration, Instant};

use changes::Change;
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;
use standin::answer_text;

use super::client::{Call, Client, call_once, send_raw, stream_text};
use super::deployment::Deployment;
use super::fixture::{CAPEL_KEY, STIWDIO_BURST, STIWDIO_KEY, WITHDRAWN_KEY, WITHDRAWN_KEY_NAME};
use super::report::Report;

type Error = Box<dyn std::error::Error>;

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
/// Time within which a withdrawn key must stop working.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// Runs all checks.
pub(super) async fn run(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    models(deployment, report).await?;
    generations(deployment, report).await?;
    keys(deployment, report).await?;
    rate(deployment, report).await?;
    payments(deployment, report).await?;
    public_route(deployment, report).await?;
    duplicate_content_length(deployment, report).await?;
    withdrawal(deployment, report).await?;
    credential_leaks(deployment, report);
    metrics(deployment, report).await
}

fn chat(model: &str, tokens: u64, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "A line for Mair"}]);
    json!({"model": model, "max_tokens": tokens, "stream": stream, "messages": messages,
        "user": "someone", "metadata": {"key": CAPEL_KEY}})
    .to_string()
}

/// Prompt that the engine receives for the messages of [`chat`].
const PROMPT: &str = "user: A line for Mair\n";

async fn models(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let call = Call::new(Method::GET, "/v1/models", Some(CAPEL_KEY), String::new());
    let answer = call_once(deployment.callers(0), call).await?;
    let names: Vec<String> = answer.json()["data"]
        .as_array()
        .map(|models| models.iter().filter_map(|m| m["id"].as_str().map(str::to_owned)).collect())
        .unwrap_or_default();
    report.add("models of a customer", "capsiwn teyrnged teyrnged-capel", names.join(" "));
    Ok(())
}

fn compare_text(expected: &str, seen: &str) -> &'static str {
    if expected == seen { "whole" } else { "differs" }
}

async fn generations(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let call = Call::new(Method::POST, CHAT, Some(CAPEL_KEY), chat("teyrnged", 12, false));
    let answer = call_once(deployment.callers(0), call).await?;
    let json = answer.json();
    let text = json["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    let expected = answer_text("teyrnged", None, PROMPT, 12);
    report.add("chat, answer in one piece", "200", answer.summary());
    report.add("- its text", "whole", compare_text(&expected, text));

    let call = Call::new(Method::POST, CHAT, Some(CAPEL_KEY), chat("teyrnged-capel", 30, true));
    let answer = call_once(deployment.callers(1), call).await?;
    let (text, done) = stream_text(&answer.text);
    let expected = answer_text("teyrnged", Some("teyrnged-capel"), PROMPT, 30);
    report.add("chat, streamed, with an adapter", "200", answer.summary());
    report.add("- its text", "whole", compare_text(&expected, &text));
    report.add("- its end", "[DONE]", if done { "[DONE]" } else { "broken" });

    let body = json!({"model": "capsiwn", "prompt": "Caption:", "max_tokens": 8}).to_string();
    let call = Call::new(Method::POST, TEXT, Some(CAPEL_KEY), body);
    let answer = call_once(deployment.callers(0), call).await?;
    let json = answer.json();
    let text = json["choices"][0]["text"].as_str().unwrap_or_default();
    let expected = answer_text("capsiwn", None, "Caption:", 8);
    report.add("completion, model loaded on demand", "200", answer.summary());
    report.add("- its text", "whole", compare_text(&expected, text));
    Ok(())
}

async fn keys(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let cases = [
        ("no key", None, "teyrnged", "401 missing_key not_run"),
        ("unknown key", Some("demo-key-unknown"), "teyrnged", "401 invalid_key not_run"),
        ("model of another customer", Some(CAPEL_KEY), "archeb", "403 not_allowed not_run"),
        ("unknown model", Some(CAPEL_KEY), "nothing", "404 model_not_found not_run"),
    ];
    for (name, key, model, expected) in cases {
        let call = Call::new(Method::POST, CHAT, key, chat(model, 4, false));
        let answer = call_once(deployment.callers(0), call).await?;
        report.add(name, expected, answer.summary());
    }
    Ok(())
}

async fn rate(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let body = |tokens: u64| chat("teyrnged", tokens, false);
    let call = Call::new(Method::POST, CHAT, Some(STIWDIO_KEY), body(STIWDIO_BURST - 10));
    let answer = call_once(deployment.callers(0), call).await?;
    report.add("customer inside its burst", "200", answer.summary());
    let call = Call::new(Method::POST, CHAT, Some(STIWDIO_KEY), body(STIWDIO_BURST - 10));
    let answer = call_once(deployment.callers(1), call).await?;
    report.add("the same again, other entry", "429 rate_exceeded not_run", answer.summary());
    let wait = answer.header("retry-after").parse::<u64>().is_ok_and(|seconds| seconds > 0);
    report.add("- it says when to try again", "yes", if wait { "yes" } else { "no" });
    let call = Call::new(Method::POST, CHAT, Some(STIWDIO_KEY), body(STIWDIO_BURST * 2));
    let answer = call_once(deployment.callers(0), call).await?;
    report.add("more than the burst at once", "400 exceeds_burst not_run", answer.summary());
    Ok(())
}

async fn payments(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let pay = |body: &str| Call {
        method: Method::POST,
        path: "/payments/7",
        key: Some(CAPEL_KEY),
        headers: &[("idempotency-key", "order-7")],
        body: body.to_owned(),
    };
    let first = call_once(deployment.callers(0), pay("amount=20")).await?;
    report.add("payment", "200", first.summary());
    let second = call_once(deployment.callers(1), pay("amount=20")).await?;
    report.add("the same payment, other entry", "200", second.summary());
    report.add("- marked as replayed", "true", second.header("idempotent-replayed"));
    report.add("- same answer", "whole", compare_text(&first.text, &second.text));
    let third = call_once(deployment.callers(0), pay("amount=99")).await?;
    let expected = "422 idempotency_mismatch not_run";
    report.add("other payment, same idempotency key", expected, third.summary());
    let runs =
        deployment.plain.requests().iter().filter(|r| r.ran && r.path == "/payments/7").count();
    report.add("payments run at the service", 1, runs);
    Ok(())
}

async fn public_route(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let path = "/images/1?size=2&api_key=demo-key-in-query";
    let call = Call::new(Method::GET, path, None, String::new());
    let answer = call_once(deployment.callers(1), call).await?;
    report.add("public route without a key", "200", answer.summary());
    let path = deployment.plain.requests().last().map(|request| request.path.to_string());
    report.add("- query without credentials", "/images/1?size=2", path.unwrap_or_default());
    Ok(())
}

async fn duplicate_content_length(
    deployment: &Deployment,
    report: &mut Report,
) -> Result<(), Error> {
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CAPEL_KEY}\r\n\
         Content-Length: 2\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let answer = send_raw(deployment.callers(0), head.as_bytes()).await?;
    let status = answer.lines().next().unwrap_or_default().to_owned();
    report.add("two Content-Length headers", "HTTP/1.1 400 Bad Request", status);
    Ok(())
}

async fn withdrawal(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let mut streaming = Client::connect(deployment.callers(0)).await?;
    let mut idle = Client::connect(deployment.callers(1)).await?;
    let list = || Call::new(Method::GET, "/v1/models", Some(WITHDRAWN_KEY), String::new());
    let answer = idle.call(list()).await?;
    report.add("second key, connection kept open", "200", answer.summary());
    let call = Call::new(Method::POST, CHAT, Some(WITHDRAWN_KEY), chat("teyrnged", 4_000, true));
    let response = streaming.start(call).await?;
    report.add("second key, long stream", "200", response.status().as_u16());
    let mut body = response.into_body();
    let mut events = String::new();
    let mut withdrawn_at = None;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            events += &String::from_utf8_lossy(&data);
        }
        if withdrawn_at.is_none() && events.matches("data: ").count() > 5 {
            deployment.publish(Change::WithdrawKey { name: WITHDRAWN_KEY_NAME.into() }).await?;
            withdrawn_at = Some(Instant::now());
        }
    }
    let in_time = withdrawn_at.is_some_and(|at| at.elapsed() < WITHDRAWAL_LIMIT);
    report.add(
        "- ends after the key's withdrawal",
        "within 3 s",
        if in_time { "within 3 s" } else { "late" },
    );
    let told = events.contains("event: error\ndata: ") && events.contains("\"key_withdrawn\"");
    let (_, done) = stream_text(&events);
    let end = match (told, done) {
        (true, false) => "key_withdrawn",
        (_, true) => "[DONE]",
        (false, false) => "broken",
    };
    report.add("- its last event", "key_withdrawn", end);
    let closed = streaming.closes_in_time().await;
    report.add("- its connection", "closed", if closed { "closed" } else { "open" });
    let answer = loop {
        let answer = idle.call(list()).await?;
        if answer.status != http::StatusCode::OK
            || withdrawn_at.is_none_or(|at| at.elapsed() > WITHDRAWAL_LIMIT)
        {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    report.add("second key on the open connection", "401 invalid_key not_run", answer.summary());
    Ok(())
}

/// Checks that no API key reached a target in headers, body or path.
fn credential_leaks(deployment: &Deployment, report: &mut Report) {
    let keys = [CAPEL_KEY, STIWDIO_KEY, WITHDRAWN_KEY, "demo-key"];
    let engines: Vec<String> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.journal().runs)
        .map(|run| format!("{:?} {}", run.headers, run.body))
        .collect();
    let plain =
        deployment.plain.requests().into_iter().map(|r| format!("{:?} {}", r.headers, r.path));
    let seen: Vec<String> = engines.into_iter().chain(plain).collect();
    let leaks = seen.iter().filter(|text| keys.iter().any(|key| text.contains(key))).count();
    report.add("calls at targets that hold a key", 0, leaks);
}

async fn metrics(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let call = Call::new(Method::GET, "/metrics", None, String::new());
    let answer = call_once(deployment.entries[0].operator_address(), call).await?;
    let series = "time_to_first_token_seconds_count{class=\"whole\",customer=\"capel\"";
    let found = answer.text.lines().any(|line| line.starts_with(series));
    report.add("metrics by customer and class", "yes", if found { "yes" } else { "no" });
    Ok(())
}
