//! Health, readiness and metrics endpoints of a process that serves callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use telemetry::MetricsError;
use tokio::net::TcpListener;

use crate::serve_internal_http;

/// Serves `/healthz`, `/metrics` and the readiness check on `ready_paths` until the task is
/// aborted. `not_ready_reason` returns why the readiness check fails, or `None`; `metrics_text`
/// returns the metrics in the Prometheus text format.
pub async fn serve_operator_endpoints(
    listener: TcpListener,
    head_timeout: Duration,
    ready_paths: &'static [&'static str],
    not_ready_reason: impl Fn() -> Option<&'static str> + 'static,
    metrics_text: impl Fn() -> Result<String, MetricsError> + 'static,
) {
    let handle = move |request: &Request<Incoming>| {
        let (status, text) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/metrics") => match metrics_text() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            },
            (&Method::GET, path) if ready_paths.contains(&path) => match not_ready_reason() {
                None => (StatusCode::OK, "ready\n".to_owned()),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")),
            },
            _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
        };
        plain_text(status, text)
    };
    serve_internal_http(listener, head_timeout, handle, |error| {
        log::debug!("event=operator_connection_ended error=\"{error}\"");
    })
    .await;
}

fn plain_text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
