//! Log values and metric labels.

use std::time::Duration;

use expect_test::expect;
use telemetry::{LabelSet, Metrics, RequestClass, quote};

/// Guards against a value that ends its line or looks like another key.
#[test]
fn values_stay_one_token_of_their_line() {
    let values =
        ["plain-1.2", "", "two words", "a=b", "line\nfeed", "quo\"te", "back\\slash", "caffè"];
    let shown: Vec<String> = values.iter().map(|value| quote(value).to_string()).collect();
    expect![[r#"
        plain-1.2
        ""
        "two words"
        "a=b"
        "line\nfeed"
        "quo\"te"
        "back\\slash"
        "caffè""#]]
    .assert_eq(&shown.join("\n"));
    assert!(quote(&"x".repeat(10_000)).to_string().len() < 300);
}

/// Guards against unbounded label values, which a registry keeps for ever.
#[test]
fn a_label_set_is_bounded() {
    let mut set = LabelSet::new(2);
    set.admit(["b", "a", "c", "a"].into_iter());
    assert_eq!(["a", "b", "c", "d"].map(|name| set.label(name)), ["a", "b", "other", "other"]);
}

/// Guards against lost series and against customers that nobody configured as labels.
#[test]
fn metrics_are_by_customer_and_class() {
    let metrics = Metrics::new().unwrap();
    metrics.admit_customers(["capel"].into_iter());
    for customer in ["capel", "stranger", "another"] {
        metrics.record_request(customer, RequestClass::Streamed);
        metrics.record_first_token(customer, RequestClass::Streamed, Duration::from_millis(300));
        metrics.record_between_tokens(customer, RequestClass::Streamed, Duration::from_millis(30));
        metrics.record_total(customer, RequestClass::Streamed, Duration::from_secs(1), 7);
        metrics.record_queue_wait(customer, RequestClass::Streamed, Duration::from_millis(5));
    }
    metrics.record_refusal("rate_exceeded");
    metrics.record_retry();
    metrics.record_retry_refused();
    metrics.record_late_answer();
    metrics.record_replay();
    metrics.set_in_flight(3);
    let text = metrics.to_text().unwrap();
    let chosen: Vec<String> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.contains("_bucket{"))
        .map(|line| line.replace(",otel_scope_name=\"plantainbeam\"", ""))
        .map(|line| line.replace("{otel_scope_name=\"plantainbeam\"}", ""))
        .map(|line| line.replace("otel_scope_name=\"plantainbeam\",", ""))
        .collect();
    expect![[r#"
        late_answers_total 1
        output_tokens_total{class="streamed",customer="capel"} 7
        output_tokens_total{class="streamed",customer="other"} 14
        queue_wait_seconds_sum{class="streamed",customer="capel"} 0.005
        queue_wait_seconds_count{class="streamed",customer="capel"} 1
        queue_wait_seconds_sum{class="streamed",customer="other"} 0.01
        queue_wait_seconds_count{class="streamed",customer="other"} 2
        refusals_total{reason="rate_exceeded"} 1
        replays_total 1
        request_duration_seconds_sum{class="streamed",customer="capel"} 1
        request_duration_seconds_count{class="streamed",customer="capel"} 1
        request_duration_seconds_sum{class="streamed",customer="other"} 2
        request_duration_seconds_count{class="streamed",customer="other"} 2
        requests_in_flight 3
        requests_total{class="streamed",customer="capel"} 1
        requests_total{class="streamed",customer="other"} 2
        retries_refused_total 1
        retries_total 1
        time_between_tokens_seconds_sum{class="streamed",customer="capel"} 0.03
        time_between_tokens_seconds_count{class="streamed",customer="capel"} 1
        time_between_tokens_seconds_sum{class="streamed",customer="other"} 0.06
        time_between_tokens_seconds_count{class="streamed",customer="other"} 2
        time_to_first_token_seconds_sum{class="streamed",customer="capel"} 0.3
        time_to_first_token_seconds_count{class="streamed",customer="capel"} 1
        time_to_first_token_seconds_sum{class="streamed",customer="other"} 0.6
        time_to_first_token_seconds_count{class="streamed",customer="other"} 2"#]]
    .assert_eq(&chosen.join("\n"));
}
