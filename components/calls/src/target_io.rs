//! Connection to a server that may send bytes without end.

use std::future::Future;
use std::io::{Error, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{Builder, Connection as HttpConnection, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::ResponseWatch;

/// Size of a connection's read buffer, which also bounds the head of a response. A gateway with
/// 120 MB of memory serves 366 callers at once, each with such a connection.
pub const READ_BUFFER_BYTES: usize = 64 << 10;
/// Reads without waiting for the server after which a connection pauses. The HTTP client reads on while
/// bytes arrive that it skips, such as the digits of a chunk size, and no time limit is checked meanwhile.
const READS_PER_TURN: u32 = 8;
/// Most bytes of a read.
const READ_BYTES: usize = 16 << 10;
/// Length of a pause: the shortest that lets the runtime check its timers and sockets. A task that only
/// yields is polled some 60 times before. Such a connection reads 60 to 120 MB/s.
const PAUSE: Duration = Duration::from_millis(1);
/// Time after the last write for which the end of a response is held if the request was large: a round
/// trip between data centres. A server that has closed its socket resets the connection when more of
/// the request arrives, which is seen after the end of its response.
const RESET_WAIT: Duration = Duration::from_millis(100);

/// Socket of a connection that pauses while the server sends faster than it is read, and whose reads fail
/// if the watch says that the server sends too much beside its responses, or if the connection is reset
/// right after the end of a response to a request that the server may not have received.
#[derive(Debug)]
pub struct TargetIo {
    socket: TokioIo<TcpStream>,
    watch: Option<ResponseWatch>,
    /// Reads since the connection paused or waited for the server.
    reads: u32,
    pause: Option<Pin<Box<Sleep>>>,
    /// When the last bytes were written; none while a write waits for the server.
    written_at: Option<Instant>,
    /// Runs after the end of what the server sends, until that end is passed on.
    end: Option<Pin<Box<Sleep>>>,
}

/// A connection that sends requests, the future that drives it, and its watch.
type Opened<B> = (SendRequest<B>, HttpConnection<TargetIo, B>, ResponseWatch);

/// Begins HTTP on `socket`. Each request and each response must be given to the watch.
///
/// # Errors
///
/// If the connection is closed.
pub async fn open_http<B>(socket: TcpStream) -> Result<Opened<B>, hyper::Error>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let watch = ResponseWatch::default();
    let io = TargetIo { watch: Some(watch.clone()), ..TargetIo::new(TokioIo::new(socket)) };
    let (sender, connection) = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(io).await?;
    Ok((sender, connection, watch))
}

impl TargetIo {
    pub(crate) fn new(socket: TokioIo<TcpStream>) -> Self {
        Self { socket, watch: None, reads: 0, pause: None, written_at: None, end: None }
    }

    /// Waits whether a reset follows the end of what the server sends; fails if it does.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let Some(end) = &mut self.end else { return Poll::Ready(Ok(())) };
        if let Some(error) = self.socket.inner().take_error()? {
            return Poll::Ready(Err(error));
        }
        end.as_mut().poll(context).map(Ok)
    }

    fn record_write(&mut self, written: &Poll<Result<usize, Error>>) {
        let Some(watch) = &self.watch else { return };
        match written {
            Poll::Ready(Ok(bytes)) => {
                watch.record_sent(*bytes);
                self.written_at = Some(Instant::now());
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.written_at = None,
        }
    }
}

impl Connection for TargetIo {
    fn connected(&self) -> Connected {
        self.socket.connected()
    }
}

impl Read for TargetIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<(), Error>> {
        if self.watch.as_ref().is_some_and(ResponseWatch::is_exceeded) {
            return Poll::Ready(Err(Error::other("too many bytes beside the response")));
        }
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            self.pause = Some(Box::pin(sleep(PAUSE)));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        if self.end.is_some() {
            return self.poll_end(context);
        }
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let length = buffer.remaining().min(READ_BYTES);
        let mut received = ReadBuf::uninit(&mut bytes[..length]);
        let read = Pin::new(self.socket.inner_mut()).poll_read(context, &mut received);
        self.reads = if read.is_pending() { 0 } else { self.reads + 1 };
        ready!(read)?;
        if let Some(watch) = &self.watch {
            watch.record_received(received.filled().len());
            if received.filled().is_empty() && length > 0 && watch.may_lack_request() {
                let since = self.written_at.unwrap_or_else(Instant::now);
                self.end = Some(Box::pin(sleep_until(since + RESET_WAIT)));
                return self.poll_end(context);
            }
        }
        buffer.put_slice(received.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for TargetIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record_write(&written);
        written
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
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.record_write(&written);
        written
    }
}
