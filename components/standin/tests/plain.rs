//! The stand-in plain service and the control of settings over HTTP.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use standin::{PlainServer, PlainSettings, SeenRequest};
use tokio::time::timeout;

async fn send<B>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: B,
) -> Result<Response<Incoming>, Error>
where
    B: Body<Data = Bytes, Error = std::convert::Infallible> + Send + Unpin + 'static,
{
    let client: Client<_, B> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-tag", "t1")
        .body(body)
        .unwrap();
    client.request(request).await
}

fn bytes(text: &'static str) -> Full<Bytes> {
    Full::new(Bytes::from_static(text.as_bytes()))
}

async fn text(response: Response<Incoming>) -> String {
    String::from_utf8(response.into_body().collect().await.unwrap().to_bytes().into()).unwrap()
}

async fn start(settings: PlainSettings) -> PlainServer {
    PlainServer::start(settings).await.unwrap()
}

fn only(server: &PlainServer) -> SeenRequest {
    let [seen] = &server.requests()[..] else { panic!("not one request: {:?}", server.requests()) };
    seen.clone()
}

#[tokio::test]
async fn records_and_echoes_what_it_ran() {
    let server = start(PlainSettings::default()).await;
    let response = send(server.address(), "POST", "/orders/7?x=1", bytes("abc")).await.unwrap();
    assert_eq!(text(response).await, "abc");
    let seen = only(&server);
    assert_eq!((seen.method.as_str(), seen.path.as_str()), ("POST", "/orders/7?x=1"));
    let sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(seen.body_sha256.as_deref(), Some(sha256));
    assert!(seen.ran && seen.headers.iter().any(|h| h.name == "x-tag" && h.value == "t1"));
}

/// A service that answers only after the whole request would hide a proxy that buffers.
#[tokio::test]
async fn echo_streams_both_ways() {
    let server = start(PlainSettings::default()).await;
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(1);
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, std::convert::Infallible>(Frame::data(bytes)), receiver))
    });
    let body = StreamBody::new(Box::pin(frames));
    sender.send(Bytes::from_static(b"one")).await.unwrap();
    let response = send(server.address(), "POST", "/", body).await.unwrap();
    let mut body = response.into_body();
    let first = timeout(Duration::from_secs(5), body.frame()).await.unwrap().unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), "one");
    assert!(!only(&server).ran);
    sender.send(Bytes::from_static(b"two")).await.unwrap();
    drop(sender);
    assert_eq!(body.collect().await.unwrap().to_bytes(), "two");
    assert!(only(&server).ran);
}

#[tokio::test]
async fn lost_answer_still_ran() {
    let server = start(PlainSettings { lose_answers: 2, ..Default::default() }).await;
    for body in ["pay", ""] {
        assert!(send(server.address(), "POST", "/", bytes(body)).await.is_err());
    }
    assert!(server.requests().iter().all(|seen| seen.ran));
    assert_eq!(server.requests().len(), 2);
}

#[tokio::test]
async fn lost_request_did_not_run() {
    let server = start(PlainSettings { lose_requests: 1, ..Default::default() }).await;
    assert!(send(server.address(), "POST", "/", bytes("pay")).await.is_err());
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn broken_answer_ends_in_an_error() {
    let server = start(PlainSettings { break_answers: 2, ..Default::default() }).await;
    for body in ["abc", ""] {
        let response = send(server.address(), "POST", "/", bytes(body)).await.unwrap();
        assert!(response.into_body().collect().await.is_err());
    }
}

#[tokio::test]
async fn settings_change_over_http() {
    let server = start(PlainSettings::default()).await;
    let change = bytes(r#"{"healthy": false, "status": 418, "answer": "no"}"#);
    let response = send(server.address(), "POST", "/control", change).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let expected =
        PlainSettings { healthy: false, status: 418, answer: "no".into(), ..Default::default() };
    assert_eq!(server.settings(), expected);
    assert_eq!(serde_json::from_str::<PlainSettings>(&text(response).await).unwrap(), expected);
    let health = send(server.address(), "GET", "/healthz", bytes("")).await.unwrap();
    assert_eq!(health.status(), StatusCode::SERVICE_UNAVAILABLE);
    let answer = send(server.address(), "GET", "/", bytes("")).await.unwrap();
    assert_eq!(answer.status(), StatusCode::IM_A_TEAPOT);
}

/// A misspelt fault that is accepted would make a test pass without its fault.
#[tokio::test]
async fn unknown_settings_are_refused() {
    let server = start(PlainSettings::default()).await;
    for change in [r#"{"delay": 5}"#, r#"{"delay_ms": "x"}"#, "[]"] {
        let response = send(server.address(), "POST", "/control", bytes(change)).await.unwrap();
        assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    }
    assert_eq!(server.settings(), PlainSettings::default());
}
