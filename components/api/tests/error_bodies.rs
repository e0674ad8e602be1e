//! Error bodies as callers read them.

use api::{ApiError, ErrorCode, error_event};
use base::ExecutionState;
use expect_test::expect;

const ID: &str = "00000000000000000000000000000001";
const CODES: [ErrorCode; 23] = [
    ErrorCode::BodyTooLarge,
    ErrorCode::ClaimUnsettled,
    ErrorCode::DeadlineExceeded,
    ErrorCode::Draining,
    ErrorCode::ExceedsBurst,
    ErrorCode::HeadersTooLarge,
    ErrorCode::IdempotencyMismatch,
    ErrorCode::InvalidKey,
    ErrorCode::InvalidRequest,
    ErrorCode::KeyWithdrawn,
    ErrorCode::LogUnavailable,
    ErrorCode::MethodNotAllowed,
    ErrorCode::MissingKey,
    ErrorCode::ModelNotFound,
    ErrorCode::NoAuthority,
    ErrorCode::NoCapacity,
    ErrorCode::NotAllowed,
    ErrorCode::OutcomeUnknown,
    ErrorCode::QueueFull,
    ErrorCode::RateExceeded,
    ErrorCode::RequestTimeout,
    ErrorCode::RouteNotFound,
    ErrorCode::UpstreamFailed,
];

/// Guards against a code that changes its status, type or default state of execution.
#[test]
fn every_code_has_its_status_and_type() {
    let lines: Vec<String> = CODES
        .iter()
        .map(|code| {
            let ran = code.default_ran().as_str();
            format!("{} {} {} {ran}", code.status().as_u16(), code.as_str(), code.kind())
        })
        .collect();
    expect![[r"
        413 body_too_large invalid_request_error not_run
        503 claim_unsettled server_error not_run
        504 deadline_exceeded server_error not_run
        503 draining server_error not_run
        400 exceeds_burst invalid_request_error not_run
        431 headers_too_large invalid_request_error not_run
        422 idempotency_mismatch invalid_request_error not_run
        401 invalid_key authentication_error not_run
        400 invalid_request invalid_request_error not_run
        401 key_withdrawn authentication_error not_run
        503 log_unavailable server_error not_run
        405 method_not_allowed invalid_request_error not_run
        401 missing_key authentication_error not_run
        404 model_not_found not_found_error not_run
        503 no_authority server_error not_run
        503 no_capacity server_error not_run
        403 not_allowed permission_error not_run
        409 outcome_unknown conflict_error unknown
        503 queue_full server_error not_run
        429 rate_exceeded rate_limit_error not_run
        408 request_timeout invalid_request_error not_run
        404 route_not_found not_found_error not_run
        502 upstream_failed server_error unknown"]]
    .assert_eq(&lines.join("\n"));
}

/// Guards against a lost or renamed field of the error object.
#[test]
fn error_object_has_all_fields() {
    let error = ApiError::new(ErrorCode::InvalidRequest, "n must be 1").with_param("n");
    expect![[r#"{"error":{"message":"n must be 1","type":"invalid_request_error","code":"invalid_request","param":"n","ran":"not_run","request_id":"00000000000000000000000000000001"}}"#]]
        .assert_eq(&error.to_json(ID));
    let error = ApiError::new(ErrorCode::OutcomeUnknown, "lost").with_ran(ExecutionState::Unknown);
    expect![[r#"{"error":{"message":"lost","type":"conflict_error","code":"outcome_unknown","param":null,"ran":"unknown","request_id":"00000000000000000000000000000001"}}"#]]
        .assert_eq(&error.to_json(ID));
}

/// Guards against a stream error that looks like a normal event.
#[test]
fn stream_error_is_an_event_of_its_own() {
    let error = ApiError::new(ErrorCode::KeyWithdrawn, "the API key was withdrawn");
    expect![[r#"
        event: error
        data: {"error":{"message":"the API key was withdrawn","type":"authentication_error","code":"key_withdrawn","param":null,"ran":"not_run","request_id":"00000000000000000000000000000001"}}

    "#]]
    .assert_eq(&error_event(&error, ID));
}

/// Guards against `Retry-After: 0`, which makes callers come back at once.
#[test]
fn time_to_wait_is_rounded_up_to_whole_seconds() {
    let wait =
        |ms| ApiError::new(ErrorCode::RateExceeded, "").with_retry_after_ms(ms).retry_after_s();
    assert_eq!([wait(0), wait(1), wait(1_000), wait(1_001)], [Some(1), Some(1), Some(1), Some(2)]);
    assert_eq!(ApiError::new(ErrorCode::RateExceeded, "").retry_after_s(), None);
}
