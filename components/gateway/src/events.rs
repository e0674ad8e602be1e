//! Splits the body of an event stream into events.

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
    /// Length of the buffer prefix that was already searched for the end of an event.
    scanned: usize,
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
        let from = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer[from..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
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

/// Position after the empty line that ends an event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').find_map(|(at, _)| {
        let rest = &bytes[at + 1..];
        if rest.starts_with(b"\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
