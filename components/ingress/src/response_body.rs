//! Body of an answer to a caller.

use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// StreamingBody that may wait for a slow caller before the target is held back.
const BUFFERED_PARTS: usize = 64;

/// The answer can't be completed; the connection is broken off so that the caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for ResponseAborted {}

/// The caller has gone; nobody reads the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerDisconnected;

enum Part {
    Data(Bytes),
    End,
}

/// Writes a body in parts. Dropping it before [`BodySender::finish`] breaks the answer off.
pub struct BodySender {
    sender: mpsc::Sender<Part>,
    final_bytes: Rc<RefCell<Option<Bytes>>>,
}

impl BodySender {
    /// Sends a part; waits while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        self.sender.send(Part::Data(bytes)).await.map_err(|_| CallerDisconnected)
    }

    /// Ends the body in order.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn finish(self) -> Result<(), CallerDisconnected> {
        self.sender.send(Part::End).await.map_err(|_| CallerDisconnected)
    }

    /// Ends the body with `bytes` in place of all parts that still wait for the caller.
    pub fn finish_with(self, bytes: Bytes) {
        *self.final_bytes.borrow_mut() = Some(bytes);
    }

    /// Waits until the caller has gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Body that is known, or that comes in parts.
pub enum ResponseBody {
    /// Known.
    Full(Option<Bytes>),
    /// Comes in parts.
    Streaming(StreamingBody),
}

/// Receiving end of a body in parts.
pub struct StreamingBody {
    receiver: mpsc::Receiver<Part>,
    final_bytes: Rc<RefCell<Option<Bytes>>>,
    length: Option<u64>,
    ended: bool,
}

impl ResponseBody {
    /// A known body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A body in parts, of `length` bytes if known.
    pub fn streaming(length: Option<u64>) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(BUFFERED_PARTS);
        let final_bytes = Rc::new(RefCell::new(None));
        let parts =
            StreamingBody { receiver, final_bytes: Rc::clone(&final_bytes), length, ended: false };
        (BodySender { sender, final_bytes }, Self::Streaming(parts))
    }
}

impl StreamingBody {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(bytes) = self.final_bytes.borrow_mut().take() {
            self.ended = true;
            self.receiver.close();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.receiver.poll_recv(context).map(|part| match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
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
            Self::Streaming(parts) => parts.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streaming(parts) => parts.ended,
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
