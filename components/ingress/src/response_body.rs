//! Body of a response to a caller.

use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{Semaphore, mpsc};

/// Chunks buffered for a slow caller before backpressure stops reading from the target.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Bytes of these chunks. A chunk may be as large as the read buffer of the target's connection, so
/// that their number alone doesn't bound the memory. A larger chunk is buffered alone.
const MAX_BUFFERED_BYTES: u32 = 64 << 10;

/// The response can't be completed; the connection is closed without a regular end so that the
/// caller detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for ResponseAborted {}

/// The caller has disconnected; nobody reads the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerDisconnected;

enum Chunk {
    Data(Bytes),
    End,
}

/// Sends a body in chunks. Dropping it before [`BodySender::finish`] aborts the response.
pub struct BodySender {
    sender: mpsc::Sender<Chunk>,
    room: Rc<Semaphore>,
    final_bytes: Rc<RefCell<Option<Bytes>>>,
}

impl BodySender {
    /// Sends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        let room = self.room.acquire_many(buffered_bytes(&bytes)).await;
        let room = room.map_err(|_| CallerDisconnected)?;
        let slot = self.sender.reserve().await.map_err(|_| CallerDisconnected)?;
        // The receiver of the chunk returns the room.
        room.forget();
        slot.send(Chunk::Data(bytes));
        Ok(())
    }

    /// Ends the body normally.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn finish(self) -> Result<(), CallerDisconnected> {
        self.sender.send(Chunk::End).await.map_err(|_| CallerDisconnected)
    }

    /// Ends the body with `bytes` and discards all buffered chunks.
    pub fn finish_with(self, bytes: Bytes) {
        *self.final_bytes.borrow_mut() = Some(bytes);
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// A complete or streamed body.
pub enum ResponseBody {
    /// Complete body.
    Full(Option<Bytes>),
    /// Body sent in chunks.
    Streaming(StreamingBody),
}

/// Receiving end of a streamed body.
pub struct StreamingBody {
    receiver: mpsc::Receiver<Chunk>,
    room: Rc<Semaphore>,
    final_bytes: Rc<RefCell<Option<Bytes>>>,
    length: Option<u64>,
    ended: bool,
}

impl ResponseBody {
    /// A complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A streamed body, of `length` bytes if known.
    pub fn streaming(length: Option<u64>) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let final_bytes = Rc::new(RefCell::new(None));
        let room = Rc::new(Semaphore::new(MAX_BUFFERED_BYTES as usize));
        let body = StreamingBody {
            receiver,
            room: Rc::clone(&room),
            final_bytes: Rc::clone(&final_bytes),
            length,
            ended: false,
        };
        (BodySender { sender, room, final_bytes }, Self::Streaming(body))
    }
}

/// Bytes of the buffer that a chunk takes.
fn buffered_bytes(chunk: &Bytes) -> u32 {
    u32::try_from(chunk.len()).unwrap_or(u32::MAX).min(MAX_BUFFERED_BYTES)
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.room.close();
    }
}

impl StreamingBody {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(bytes) = self.final_bytes.borrow_mut().take() {
            self.ended = true;
            self.receiver.close();
            self.room.close();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.receiver.poll_recv(context).map(|chunk| match chunk {
            Some(Chunk::Data(bytes)) => {
                self.room.add_permits(buffered_bytes(&bytes) as usize);
                Some(Ok(Frame::data(bytes)))
            }
            Some(Chunk::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                match self.final_bytes.borrow_mut().take() {
                    Some(bytes) => Some(Ok(Frame::data(bytes))),
                    None => Some(Err(ResponseAborted)),
                }
            }
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streaming(body) => body.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streaming(body) => body.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streaming(StreamingBody { length: Some(length), .. }) => {
                SizeHint::with_exact(*length)
            }
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}
