//! Exchange of configurations with other gateways and agents.

use std::rc::Rc;
use std::time::Duration;

use base::Timestamp;
use bytes::Bytes;
use calls::HttpCall;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use ingress::serve_internal_http;
use platform::read_configuration;
use tokio::net::TcpListener;
use wire::StoredDocument;

use crate::app::App;

/// Timeout for a call to another gateway.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a request head, also on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the configuration in force to other processes until the task is aborted.
pub(crate) async fn serve_peers(app: Rc<App>, listener: TcpListener) {
    let answer = move |request: &Request<Incoming>| answer(&app, request);
    serve_internal_http(listener, HEAD_TIMEOUT, answer, |error| {
        log::debug!("event=peer_connection_ended error=\"{error}\"");
    })
    .await;
}

fn answer(app: &App, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    let document = app.document.borrow();
    match document.as_ref().filter(|_| request.uri().path() == StoredDocument::PATH) {
        Some(document) => {
            *response.body_mut() = Full::new(document.bytes.clone());
            *response.headers_mut() = document.headers();
        }
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// Fetches a newer configuration from another gateway that has one: from the same data centre, or
/// from another one if this gateway is the relay of its data centre.
pub(crate) async fn fetch_from_peer(app: &App, now: Timestamp) {
    let (newer, may_go_far) = {
        let gateways = app.gateways.borrow();
        (gateways.peers_with_newer_config(app.version(), now), gateways.is_relay(now))
    };
    let source = newer.iter().find(|(_, near)| *near || may_go_far);
    let Some((address, _)) = source.copied() else { return };
    match app.peer_client.call(HttpCall::get(address, StoredDocument::PATH, CALL_TIMEOUT)).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            let document = StoredDocument::from_answer(&answer.headers, answer.body);
            let configuration =
                document.and_then(|document| read_configuration(document.offset, &document.bytes));
            if let Some(configuration) = configuration {
                app.apply_configuration(configuration, "gateway", app.clock.now());
            }
        }
        Ok(answer) => {
            log::info!("event=peer_without_configuration peer={address} status={}", answer.status);
        }
        Err(error) => log::info!("event=peer_call_failed peer={address} error=\"{error}\""),
    }
}
