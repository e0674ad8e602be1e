//! Splits the body of a stream into its events.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event, whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// The body has an event that is too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Collects bytes until events are whole: a target may stop in the middle of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes of the body.
    ///
    /// # Errors
    ///
    /// If an event does not end within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// The next whole event.
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

    /// Whether there are no bytes of an event that is not whole.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Bytes that belong to no whole event.
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
