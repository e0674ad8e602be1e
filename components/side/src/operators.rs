//! HTTP endpoints for operators: health, readiness and metrics.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use telemetry::Metrics;
use tokio::net::TcpListener;

use crate::core::Core;

/// Serves `/healthz`, `/readyz` and `/metrics` until the process exits.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    core: Rc<RefCell<Core>>,
    metrics: Rc<Metrics>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            }
        };
        let (core, metrics) = (core.clone(), metrics.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(&request, &core.borrow(), &metrics);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=operator_connection_ended error=\"{error}\"");
            }
        });
    }
}

fn respond(request: &Request<Incoming>, core: &Core, metrics: &Metrics) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n".into());
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".into()),
        "/readyz" if core.ready() => text(StatusCode::OK, "ready\n".into()),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => match metrics.to_text() {
            Ok(metrics) => text(StatusCode::OK, metrics),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "metrics failed\n".into()),
        },
        _ => text(StatusCode::NOT_FOUND, "not found\n".into()),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
