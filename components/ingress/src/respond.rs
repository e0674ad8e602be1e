//! Responses to callers.

use api::ApiError;
use http::header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use crate::response_body::{BodySender, ResponseBody};

/// Response to a caller.
pub type CallerResponse = Response<ResponseBody>;

/// Response header with the id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Adds the request id to a response.
pub fn with_request_id(mut response: CallerResponse, request_id: &str) -> CallerResponse {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// A JSON response with status 200.
pub fn json_response(body: String, request_id: &str) -> CallerResponse {
    let mut response = Response::new(ResponseBody::full(body));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    with_request_id(response, request_id)
}

/// An error response; `close` closes the connection after it.
pub fn error_response(error: &ApiError, request_id: &str, close: bool) -> CallerResponse {
    let mut response = Response::new(ResponseBody::full(error.to_json(request_id)));
    *response.status_mut() = error.code.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    if let Some(seconds) = error.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    with_request_id(response, request_id)
}

/// A streamed response and the sender for its events.
pub fn event_stream_response(request_id: &str) -> (BodySender, CallerResponse) {
    let (sender, body) = ResponseBody::streaming(None);
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream; charset=utf-8"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (sender, with_request_id(response, request_id))
}

/// Raw bytes of an error response, for a connection that the HTTP server no longer handles.
pub fn raw_error_response(error: &ApiError, request_id: &str) -> String {
    let status: StatusCode = error.code.status();
    let body = error.to_json(request_id);
    format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n{REQUEST_ID}: {request_id}\r\n\r\n{body}",
        status.as_u16(),
        status.canonical_reason().unwrap_or("Error"),
        body.len(),
    )
}
