//! Body of an answer to a caller.

use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Parts that may wait for a slow caller before the target is held back.
const PART_BUFFER: usize = 64;

/// The answer can't be completed; the connection is broken off so that the caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerBroken;

impl fmt::Display for AnswerBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for AnswerBroken {}

/// The caller has gone; nobody reads the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

enum Part {
    Data(Bytes),
    End,
}

/// Writes a body in parts. Dropping it before [`PartSender::end`] breaks the answer off.
pub struct PartSender {
    sender: mpsc::Sender<Part>,
    last_word: Rc<RefCell<Option<Bytes>>>,
}

impl PartSender {
    /// Sends a part; waits while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        self.sender.send(Part::Data(bytes)).await.map_err(|_| CallerGone)
    }

    /// Ends the body in order.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn end(self) -> Result<(), CallerGone> {
        self.sender.send(Part::End).await.map_err(|_| CallerGone)
    }

    /// Ends the body with `bytes` in place of all parts that still wait for the caller.
    pub fn end_at_once(self, bytes: Bytes) {
        *self.last_word.borrow_mut() = Some(bytes);
    }

    /// Waits until the caller has gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Body that is known, or that comes in parts.
pub enum CallerBody {
    /// Known.
    Whole(Option<Bytes>),
    /// Comes in parts.
    Parts(Parts),
}

/// Receiving end of a body in parts.
pub struct Parts {
    receiver: mpsc::Receiver<Part>,
    last_word: Rc<RefCell<Option<Bytes>>>,
    length: Option<u64>,
    ended: bool,
}

impl CallerBody {
    /// A known body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body in parts, of `length` bytes if known.
    pub fn parts(length: Option<u64>) -> (PartSender, Self) {
        let (sender, receiver) = mpsc::channel(PART_BUFFER);
        let last_word = Rc::new(RefCell::new(None));
        let parts = Parts { receiver, last_word: Rc::clone(&last_word), length, ended: false };
        (PartSender { sender, last_word }, Self::Parts(parts))
    }
}

impl Parts {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(bytes) = self.last_word.borrow_mut().take() {
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
                match self.last_word.borrow_mut().take() {
                    Some(bytes) => Some(Ok(Frame::data(bytes))),
                    None => Some(Err(AnswerBroken)),
                }
            }
        })
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => parts.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Parts(parts) => parts.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(Parts { length: Some(length), .. }) => SizeHint::with_exact(*length),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
