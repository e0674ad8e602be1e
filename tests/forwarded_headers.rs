//! Headers of callers that a gateway forwards to targets.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::RouteKind;
use support::{CUSTOMER_KEY, HOST, PlainGateway, header_value, id_line, plain_route, read_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// A target that reports the heads of its requests.
async fn target() -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, heads) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let sender = sender.clone();
            tokio::spawn(async move {
                while let Some(head) = read_head(&mut socket).await {
                    let id = id_line(&head);
                    let response = format!(
                        "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-length: 2\r\n\r\nok"
                    );
                    sender.send(head).unwrap();
                    if socket.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, heads)
}

/// Guards against a request that is rejected because of a header that is a key elsewhere but not on the
/// platform, and against a key that reaches a target.
#[tokio::test]
async fn a_header_that_is_no_key_is_forwarded() {
    let (target, mut heads) = target().await;
    let gateway = PlainGateway::start(plain_route("calls", RouteKind::Once), &[target]).await;
    let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
    let request = format!(
        "GET /calls/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         x-api-key: of-the-application\r\n{REQUEST_ID}: request-1\r\n{DEADLINE_MS}: 4000\r\n\
         connection: close\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let head = heads.recv().await.unwrap();
    assert_eq!(header_value(&head, "x-api-key"), Some("of-the-application"));
    assert_eq!(header_value(&head, "authorization"), None);
}
