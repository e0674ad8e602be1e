//! Readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::app::App;

/// Longest time to receive the head of a request, also on a connection that is kept.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is aborted.
pub(crate) async fn serve_operators(app: Rc<App>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let app = Rc::clone(&app);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer(&app, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(socket), service)
                .await;
            if let Err(error) = served {
                log::debug!("event=operator_connection_ended error=\"{error}\"");
            }
        });
    }
}

fn answer(app: &App, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/ready" | "/readyz") => match app.not_ready_reason() {
            None => (StatusCode::OK, "ready\n".to_owned()),
            Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")),
        },
        (&Method::GET, "/metrics") => match app.metrics.to_text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        },
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
