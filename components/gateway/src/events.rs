//! Splits the body of an event stream into events.

use api::EventBoundary;
use bytes::{Bytes, BytesMut};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes of the event, including the terminating empty line.
    pub bytes: Bytes,
    /// Numeric id of the event, if it has one.
    pub id: Option<u64>,
}

/// An event of the body exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Buffers bytes until events are complete, since a target may stop in the middle of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer prefix that `boundary` has seen.
    scanned: usize,
    boundary: EventBoundary,
}

impl EventSplitter {
    /// Appends bytes of the body.
    ///
    /// # Errors
    ///
    /// If an event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let unscanned = &self.buffer[self.scanned..];
        let Some(end) = unscanned.iter().position(|byte| self.boundary.push(*byte)) else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(self.scanned + end + 1).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the bytes so far end inside an event; all complete events must have been taken.
    pub const fn is_inside_event(&self) -> bool {
        self.boundary.is_inside_event()
    }

    /// Number of bytes after the last complete event.
    pub fn rest_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the bytes after the last complete event.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
