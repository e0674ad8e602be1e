//! Connection to a server that may send bytes without end.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::InterimResponses;

/// Socket of a connection whose reads fail after too many interim responses.
#[derive(Debug)]
pub struct TargetIo {
    socket: TokioIo<TcpStream>,
    interim: InterimResponses,
}

/// A connection that sends requests, the task that drives it, and the count of interim responses.
type Opened<B> = (SendRequest<B>, Connection<TargetIo, B>, InterimResponses);

/// Begins HTTP on `socket`. Each request must be watched by the count of interim responses.
///
/// # Errors
///
/// If the connection is closed.
pub async fn open_http<B>(socket: TcpStream) -> Result<Opened<B>, hyper::Error>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let interim = InterimResponses::default();
    let io = TargetIo { socket: TokioIo::new(socket), interim: interim.clone() };
    let (sender, connection) = Builder::new().handshake(io).await?;
    Ok((sender, connection, interim))
}

impl Read for TargetIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<(), Error>> {
        if self.interim.is_exceeded() {
            return Poll::Ready(Err(Error::other("too many interim responses")));
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl Write for TargetIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, parts)
    }
}
