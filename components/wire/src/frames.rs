//! Typed frames over one direction of an `h2` stream.

use std::future::poll_fn;
use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{MAX_FRAME_BYTES, WireError, decode, encode};

fn length_delimited() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Sends frames; dropping it without [`FrameSender::finish`] resets the stream.
pub struct FrameSender<T> {
    stream: SendStream<Bytes>,
    codec: LengthDelimitedCodec,
    finished: bool,
    frame: PhantomData<fn(T)>,
}

impl<T: Serialize> FrameSender<T> {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream, codec: length_delimited(), finished: false, frame: PhantomData }
    }

    /// Sends one frame; waits while the receiver's flow-control window is full.
    ///
    /// # Errors
    ///
    /// `Closed` if the receiver reset the stream, `TooLarge` for a frame above the limit.
    pub async fn send(&mut self, frame: &T) -> Result<(), WireError> {
        let mut buffer = BytesMut::new();
        self.codec
            .encode(Bytes::from(encode(frame)?), &mut buffer)
            .map_err(|_| WireError::TooLarge)?;
        let mut rest = buffer.freeze();
        while !rest.is_empty() {
            self.stream.reserve_capacity(rest.len());
            let capacity = match poll_fn(|context| self.stream.poll_capacity(context)).await {
                Some(capacity) => capacity?,
                None => return Err(WireError::Closed),
            };
            let part = rest.split_to(capacity.min(rest.len()));
            if !part.is_empty() {
                self.stream.send_data(part, false)?;
            }
        }
        Ok(())
    }

    /// Ends the stream in order.
    ///
    /// # Errors
    ///
    /// `Closed` if the receiver reset the stream.
    pub fn finish(mut self) -> Result<(), WireError> {
        self.finished = true;
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Waits until the receiver resets the stream or the connection ends.
    pub async fn closed(&mut self) {
        // The result only says with which reason; every reason ends the stream.
        let _reason = poll_fn(|context| self.stream.poll_reset(context)).await;
    }
}

impl<T> Drop for FrameSender<T> {
    fn drop(&mut self) {
        if !self.finished {
            self.stream.send_reset(Reason::CANCEL);
        }
    }
}

/// Receives frames; dropping it before the end cancels the stream at the sender.
pub struct FrameReceiver<T> {
    stream: RecvStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    frame: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> FrameReceiver<T> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, codec: length_delimited(), buffer: BytesMut::new(), frame: PhantomData }
    }

    /// The next frame, or none after the sender finished the stream.
    ///
    /// Cancel-safe: a frame is taken from the buffer only when it is returned.
    ///
    /// # Errors
    ///
    /// `Closed` if the stream was reset, `Malformed` if it ends inside a frame or a frame does not
    /// decode, `TooLarge` above the frame limit.
    pub async fn next(&mut self) -> Result<Option<T>, WireError> {
        loop {
            let frame = self.codec.decode(&mut self.buffer).map_err(|_| WireError::TooLarge)?;
            if let Some(frame) = frame {
                return decode(&frame).map(Some);
            }
            match self.stream.data().await {
                Some(chunk) => {
                    let chunk = chunk?;
                    self.stream.flow_control().release_capacity(chunk.len())?;
                    self.buffer.extend_from_slice(&chunk);
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(WireError::Malformed),
            }
        }
    }
}
