//! Client end of a connection to a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::frames::{FrameReceiver, FrameSender};
use crate::handshake::greet;
use crate::server::{CALL_PATH, FORWARD_PATH, GENERATE_PATH, WINDOW_BYTES};
use crate::{
    FleetSecret, ForwardDown, ForwardUp, GenerateEvent, GenerateRequest, PeerCall, PeerIdentity,
    PeerReply, WireError,
};

/// Connection to one peer; clones share it.
#[derive(Clone)]
pub struct PeerClient {
    sender: SendRequest<Bytes>,
    peer: PeerIdentity,
}

impl PeerClient {
    /// Connects and runs the handshake; the connection's driver becomes a local task.
    ///
    /// # Errors
    ///
    /// `Timeout` after `limit`, `NotAuthenticated` or `Version` from the handshake, `Io`.
    pub async fn connect(
        address: SocketAddr,
        identity: &PeerIdentity,
        secret: &FleetSecret,
        limit: Duration,
    ) -> Result<Self, WireError> {
        timeout(limit, Self::connect_unbounded(address, identity, secret))
            .await
            .map_err(|_| WireError::Timeout)?
    }

    async fn connect_unbounded(
        address: SocketAddr,
        identity: &PeerIdentity,
        secret: &FleetSecret,
    ) -> Result<Self, WireError> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let peer = greet(&mut stream, identity, secret).await?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES * 4)
            .handshake(stream)
            .await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=peer_connection_ended error=\"{error}\"");
            }
        });
        Ok(Self { sender, peer })
    }

    /// Who is at the other end.
    pub const fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    /// Makes a unary call.
    ///
    /// # Errors
    ///
    /// `Timeout` after `limit`; the call may have taken effect after any error.
    pub async fn call(&self, call: &PeerCall, limit: Duration) -> Result<PeerReply, WireError> {
        let exchange = async {
            let (mut sender, receiver) = self.open(CALL_PATH).await?;
            sender.send(call).await?;
            sender.finish()?;
            receiver.ready().await?.next().await?.ok_or(WireError::Closed)
        };
        timeout(limit, exchange).await.map_err(|_| WireError::Timeout)?
    }

    /// Starts a generation. Dropping the stream cancels it.
    ///
    /// # Errors
    ///
    /// Any error here means that the request may have reached the peer.
    pub async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<FrameReceiver<GenerateEvent>, WireError> {
        let (mut sender, receiver) = self.open(GENERATE_PATH).await?;
        sender.send(request).await?;
        sender.finish()?;
        receiver.ready().await
    }

    /// Starts a call to a plain service; the caller sends the head as the first frame.
    ///
    /// # Errors
    ///
    /// `Closed` or `Io`; nothing has been sent then.
    pub async fn forward(
        &self,
    ) -> Result<(FrameSender<ForwardUp>, PendingReceiver<ForwardDown>), WireError> {
        self.open(FORWARD_PATH).await
    }

    async fn open<U: Serialize, D: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<(FrameSender<U>, PendingReceiver<D>), WireError> {
        let mut sender = self.sender.clone().ready().await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(())
            .map_err(|_| WireError::Malformed)?;
        let (response, stream) = sender.send_request(request, false)?;
        let pending = PendingReceiver { response, frame: std::marker::PhantomData };
        Ok((FrameSender::new(stream), pending))
    }
}

/// Frames of a response whose head has not arrived yet.
pub struct PendingReceiver<T> {
    response: h2::client::ResponseFuture,
    frame: std::marker::PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> PendingReceiver<T> {
    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// `Malformed` if the peer could not decode the request, `Closed` or `Io`.
    pub async fn ready(self) -> Result<FrameReceiver<T>, WireError> {
        let response = self.response.await?;
        if response.status() != StatusCode::OK {
            return Err(WireError::Malformed);
        }
        Ok(FrameReceiver::new(response.into_body()))
    }
}
