//! Server end of a connection from a peer.

use std::future::{Future, pending};
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::frames::{FrameReceiver, FrameSender};
use crate::handshake::accept;
use crate::{
    FleetSecret, ForwardDown, ForwardHead, ForwardUp, GenerateEvent, GenerateRequest, PeerCall,
    PeerIdentity, PeerReply, WireError,
};

pub(crate) const CALL_PATH: &str = "/call";
pub(crate) const FORWARD_PATH: &str = "/forward";
pub(crate) const GENERATE_PATH: &str = "/generate";
/// Flow-control window of one stream in bytes.
pub(crate) const WINDOW_BYTES: u32 = 1 << 20;
/// Most streams that one peer may have open.
const MAX_STREAMS: u32 = 16_384;
/// Time for a stranger to complete the handshake.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// Time for the first message of a stream to arrive whole.
const FIRST_MESSAGE_LIMIT: Duration = Duration::from_secs(5);

/// Something that a peer asks for.
pub enum Incoming {
    /// A unary call.
    Call {
        /// Caller.
        peer: PeerIdentity,
        /// Call.
        call: PeerCall,
        /// Where the reply goes.
        responder: Responder,
    },
    /// A generation.
    Generate {
        /// Caller.
        peer: PeerIdentity,
        /// Request.
        request: GenerateRequest,
        /// Where the frames go.
        sender: FrameSender<GenerateEvent>,
    },
    /// A call to a plain service.
    Forward {
        /// Caller.
        peer: PeerIdentity,
        /// First frame.
        head: ForwardHead,
        /// Body.
        body: FrameReceiver<ForwardUp>,
        /// Where the answer goes.
        sender: FrameSender<ForwardDown>,
    },
}

/// Takes the reply to one unary call.
pub struct Responder {
    sender: FrameSender<PeerReply>,
}

impl Responder {
    /// Sends the reply in a task of its own, so that a slow peer does not hold up the loop.
    pub fn reply(self, reply: PeerReply) {
        let mut sender = self.sender;
        tokio::spawn(async move {
            if sender.send(&reply).await.is_ok()
                && let Err(error) = sender.finish()
            {
                log::debug!("event=reply_lost error=\"{error}\"");
            }
        });
    }
}

/// Serves one connection until it ends; what arrives goes to `incoming`.
///
/// # Errors
///
/// The reason for which the connection was closed: a failed handshake, a malformed message, or the
/// transport. Nothing from a peer that failed the handshake reaches `incoming`.
pub async fn serve_connection(
    stream: TcpStream,
    identity: &PeerIdentity,
    secret: &FleetSecret,
    incoming: mpsc::Sender<Incoming>,
) -> Result<(), WireError> {
    serve_connection_until(stream, identity, secret, incoming, pending()).await
}

/// Like [`serve_connection`], but closes the connection in order once `closing` completes: ends when the
/// streams have ended and the peer has read them.
///
/// # Errors
///
/// As [`serve_connection`].
pub async fn serve_connection_until(
    mut stream: TcpStream,
    identity: &PeerIdentity,
    secret: &FleetSecret,
    incoming: mpsc::Sender<Incoming>,
    closing: impl Future<Output = ()>,
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let peer = timeout(HANDSHAKE_LIMIT, accept(&mut stream, identity, secret))
        .await
        .map_err(|_| WireError::Timeout)??;
    // The HTTP library closes its socket when it has written everything. A message from the peer would then
    // reset the connection, and the peer would lose what it has not received.
    let stream = stream.into_std()?;
    let mut kept = TcpStream::from_std(stream.try_clone()?)?;
    let stream = TcpStream::from_std(stream)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(stream)
        .await?;
    let (fail, mut failure) = mpsc::channel::<WireError>(1);
    let mut closing = pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                None => break,
                Some(Err(error)) => return Err(error.into()),
                Some(Ok((request, respond))) => {
                    let (peer, incoming, fail) = (peer.clone(), incoming.clone(), fail.clone());
                    tokio::spawn(async move {
                        if let Err(error) = serve_stream(request, respond, peer, incoming).await
                            && matches!(error, WireError::Malformed | WireError::TooLarge)
                        {
                            // Full means that another stream already closes the connection.
                            let _sent = fail.try_send(error);
                        }
                    });
                }
            },
            Some(error) = failure.recv() => {
                connection.abrupt_shutdown(Reason::PROTOCOL_ERROR);
                return Err(error);
            }
            () = &mut closing, if !is_closing => {
                is_closing = true;
                connection.graceful_shutdown();
            }
        }
    }
    if is_closing {
        // The peer closes its end when it has read everything.
        let mut rest = [0; 4_096];
        while kept.read(&mut rest).await? > 0 {}
    }
    Ok(())
}

async fn serve_stream(
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    peer: PeerIdentity,
    incoming: mpsc::Sender<Incoming>,
) -> Result<(), WireError> {
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    let item = match path.as_str() {
        CALL_PATH => {
            let call = first_message(&mut FrameReceiver::<PeerCall>::new(body)).await?;
            Incoming::Call { peer, call, responder: Responder { sender: start(respond)? } }
        }
        GENERATE_PATH => {
            let request = first_message(&mut FrameReceiver::<GenerateRequest>::new(body)).await?;
            Incoming::Generate { peer, request, sender: start(respond)? }
        }
        FORWARD_PATH => {
            let mut body = FrameReceiver::<ForwardUp>::new(body);
            let ForwardUp::Head(head) = first_message(&mut body).await? else {
                return Err(WireError::Malformed);
            };
            Incoming::Forward { peer, head, body, sender: start(respond)? }
        }
        _ => return Err(WireError::Malformed),
    };
    incoming.send(item).await.map_err(|_| WireError::Closed)
}

async fn first_message<T: DeserializeOwned>(
    receiver: &mut FrameReceiver<T>,
) -> Result<T, WireError> {
    timeout(FIRST_MESSAGE_LIMIT, receiver.next())
        .await
        .map_err(|_| WireError::Timeout)??
        .ok_or(WireError::Malformed)
}

fn start<T: Serialize>(mut respond: SendResponse<Bytes>) -> Result<FrameSender<T>, WireError> {
    let head =
        Response::builder().status(StatusCode::OK).body(()).map_err(|_| WireError::Malformed)?;
    Ok(FrameSender::new(respond.send_response(head, false)?))
}
