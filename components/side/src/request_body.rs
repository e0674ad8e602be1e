//! Streamed request body of a call to a plain service.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The caller's body is incomplete, or does not match its stated length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteBody;

impl std::fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("incomplete request body from the caller")
    }
}

impl std::error::Error for IncompleteBody {}

/// Part of a body.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body that receives its parts through a channel. It is complete only after [`BodyPart::End`] and
/// with its stated length; a channel that closes earlier aborts the request.
#[derive(Debug)]
pub(crate) struct RequestBody {
    parts: mpsc::Receiver<BodyPart>,
    remaining: Option<u64>,
    ended: bool,
}

impl RequestBody {
    pub fn new(length: Option<u64>) -> (mpsc::Sender<BodyPart>, Self) {
        let (sender, parts) = mpsc::channel(4);
        (sender, Self { parts, remaining: length, ended: length == Some(0) })
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(part) = self.parts.poll_recv(context) else { return Poll::Pending };
        match part {
            Some(BodyPart::Data(data)) => {
                let length = u64::try_from(data.len()).unwrap_or(u64::MAX);
                match &mut self.remaining {
                    Some(remaining) if *remaining < length => {
                        return Poll::Ready(Some(Err(IncompleteBody)));
                    }
                    Some(remaining) => *remaining -= length,
                    None => {}
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(BodyPart::End) if self.remaining.is_none_or(|remaining| remaining == 0) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(BodyPart::End) | None => Poll::Ready(Some(Err(IncompleteBody))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
