//! Connections between real sockets: handshake, calls, streams, bad input from strangers and peers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role, Tokens};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use wire::{
    FinishReason, FleetSecret, ForwardUp, GenerateEvent, GenerateFrame, GenerateRequest, Incoming,
    PeerCall, PeerClient, PeerIdentity, PeerReply, RequestId, ReserveOutcome, SlotId, WireError,
    serve_connection,
};

const LIMIT: Duration = Duration::from_secs(5);

fn identity(name: &str) -> PeerIdentity {
    let process = ProcessId { name: ProcessName::new(name), incarnation: Incarnation(1) };
    PeerIdentity { process, role: Some(Role::Entry) }
}

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text.as_bytes())
}

struct Server {
    address: SocketAddr,
    incoming: mpsc::Receiver<Incoming>,
    results: mpsc::Receiver<Result<(), WireError>>,
}

/// Accepts connections one after another and reports how each ended.
async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (incoming_sender, incoming) = mpsc::channel(16);
    let (result_sender, results) = mpsc::channel(16);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (incoming, results) = (incoming_sender.clone(), result_sender.clone());
            tokio::spawn(async move {
                let identity = identity("server");
                let result =
                    serve_connection(stream, &identity, &secret("fleet-secret"), incoming).await;
                results.send(result).await.unwrap();
            });
        }
    });
    Server { address, incoming, results }
}

async fn connect(server: &Server) -> PeerClient {
    let (identity, secret) = (identity("client"), secret("fleet-secret"));
    PeerClient::connect(server.address, &identity, &secret, LIMIT).await.unwrap()
}

fn reserve_call() -> PeerCall {
    PeerCall::Reserve {
        slot: SlotId { partition: 0, index: 1 },
        customer: "chapel".into(),
        tokens: Tokens(7),
        config_offset: Offset(3),
    }
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        request_id: RequestId(42),
        attempt: 0,
        customer: "chapel".into(),
        model: "captions".into(),
        adapter: None,
        priority: 0,
        deadline_ms: 1_000,
        prompt_tokens: 3,
        max_output_tokens: 5,
        prompt: "a b c".to_owned(),
        parameters_json: "{}".to_owned(),
        resume: None,
    }
}

#[tokio::test]
async fn call_reaches_the_server_and_its_reply_comes_back() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    assert_eq!(client.peer(), &identity("server"));
    let answer = tokio::spawn(async move { client.call(&reserve_call(), LIMIT).await });
    let Some(Incoming::Call { peer, call, responder }) = server.incoming.recv().await else {
        panic!("expected a call");
    };
    assert_eq!(peer, identity("client"));
    assert_eq!(call, reserve_call());
    responder.reply(PeerReply::Reserve(ReserveOutcome::NotOwner));
    assert_eq!(answer.await.unwrap().unwrap(), PeerReply::Reserve(ReserveOutcome::NotOwner));
}

#[tokio::test]
async fn stream_ends_only_after_its_last_frame() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    let mut frames = client.generate(&generate_request()).await.unwrap();
    let Some(Incoming::Generate { request, mut sender, .. }) = server.incoming.recv().await else {
        panic!("expected a generation");
    };
    assert_eq!(request, generate_request());
    let event = GenerateEvent {
        request_id: request.request_id,
        attempt: 0,
        frame: GenerateFrame::Finished {
            reason: FinishReason::Stop,
            prompt_tokens: 3,
            output_tokens: 1,
        },
    };
    sender.send(&event).await.unwrap();
    sender.finish().unwrap();
    assert_eq!(frames.next().await, Ok(Some(event)));
    assert_eq!(frames.next().await, Ok(None));
}

/// Guards against a truncated answer that looks complete.
#[tokio::test]
async fn stream_dropped_by_the_sender_ends_with_an_error() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    let mut frames = client.generate(&generate_request()).await.unwrap();
    let Some(Incoming::Generate { sender, .. }) = server.incoming.recv().await else {
        panic!("expected a generation");
    };
    drop(sender);
    assert_eq!(frames.next().await, Err(WireError::Closed));
}

/// Guards against work that goes on for a caller that has left.
#[tokio::test]
async fn dropped_receiver_is_seen_by_the_sender() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    let frames = client.generate(&generate_request()).await.unwrap();
    let Some(Incoming::Generate { mut sender, .. }) = server.incoming.recv().await else {
        panic!("expected a generation");
    };
    drop(frames);
    tokio::time::timeout(LIMIT, sender.closed()).await.unwrap();
}

/// Guards against a receiver whose full window blocks every other stream of the connection.
#[tokio::test]
async fn slow_stream_does_not_hold_up_calls() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    let _unread = client.generate(&generate_request()).await.unwrap();
    let Some(Incoming::Generate { mut sender, .. }) = server.incoming.recv().await else {
        panic!("expected a generation");
    };
    let text = "x".repeat(100_000);
    tokio::spawn(async move {
        for index in 0..100 {
            let frame = GenerateFrame::Token { index, count: 1, text: text.clone() };
            let event = GenerateEvent { request_id: RequestId(42), attempt: 0, frame };
            if sender.send(&event).await.is_err() {
                return;
            }
        }
    });
    let answer = tokio::spawn(async move { client.call(&reserve_call(), LIMIT).await });
    let Some(Incoming::Call { responder, .. }) = server.incoming.recv().await else {
        panic!("expected a call");
    };
    responder.reply(PeerReply::Done);
    assert_eq!(answer.await.unwrap(), Ok(PeerReply::Done));
}

#[tokio::test]
async fn client_with_another_secret_is_refused_by_both_ends() {
    let mut server = start_server().await;
    let refused =
        PeerClient::connect(server.address, &identity("client"), &secret("guess"), LIMIT).await;
    assert_eq!(refused.err(), Some(WireError::NotAuthenticated));
    // The client leaves at the server's proof, so the server sees the connection end.
    assert_eq!(server.results.recv().await, Some(Err(WireError::Io)));
    assert!(server.incoming.try_recv().is_err());
}

/// Guards against a peer of the fleet whose broken message changes anything or keeps its connection.
#[tokio::test]
async fn malformed_message_from_a_peer_closes_its_connection() {
    let mut server = start_server().await;
    let client = connect(&server).await;
    // A forward stream must start with its head.
    let (mut sender, _pending) = client.forward().await.unwrap();
    sender.send(&ForwardUp::Data(vec![1, 2, 3])).await.unwrap();
    assert_eq!(server.results.recv().await, Some(Err(WireError::Malformed)));
    assert!(server.incoming.try_recv().is_err());
    let call = client.call(&reserve_call(), LIMIT).await;
    assert!(matches!(call, Err(WireError::Closed | WireError::Io)), "{call:?}");
}

/// Sends raw bytes as a stranger would and returns how the server ended the connection.
async fn end_of_raw_connection(bytes: &[u8]) -> Result<(), WireError> {
    let mut server = start_server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut rest = Vec::new();
    // A reset by the server is as good an end as an orderly close.
    let _ended = stream.read_to_end(&mut rest).await;
    let result = server.results.recv().await.unwrap();
    assert!(server.incoming.try_recv().is_err(), "a stranger reached the process");
    result
}

#[tokio::test]
async fn truncated_greeting_closes_the_connection() {
    assert_eq!(end_of_raw_connection(&[0, 0, 0, 9, 1]).await, Err(WireError::Io));
}

/// Guards against memory taken by a stranger's length prefix.
#[tokio::test]
async fn oversized_greeting_closes_the_connection() {
    assert_eq!(end_of_raw_connection(&[0xff; 64]).await, Err(WireError::TooLarge));
}

#[tokio::test]
async fn greeting_of_another_protocol_closes_the_connection() {
    let result = end_of_raw_connection(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(result, Err(WireError::TooLarge));
}

#[tokio::test]
async fn greeting_of_another_version_closes_the_connection() {
    #[derive(serde::Serialize)]
    struct Hello {
        version: u16,
        identity: PeerIdentity,
        nonce: [u8; 16],
    }
    let hello =
        Hello { version: wire::PROTOCOL_VERSION + 1, identity: identity("client"), nonce: [0; 16] };
    let body = wire::encode(&hello).unwrap();
    let mut bytes = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    assert_eq!(end_of_raw_connection(&bytes).await, Err(WireError::Version));
}
