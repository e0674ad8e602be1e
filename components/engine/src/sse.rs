//! Lines of a server-sent event stream.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum line length; bounds the memory of the buffer.
const MAX_LINE_BYTES: usize = 1 << 20;
const DATA_FIELD: &[u8] = b"data:";

/// Splits the bytes of a stream into the contents of its `data:` lines.
#[derive(Debug, Default)]
pub(crate) struct SseLines {
    buffer: BytesMut,
}

/// A line exceeds the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LineTooLong;

impl SseLines {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The content of the next complete `data:` line; other lines are skipped.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end).freeze();
            self.buffer.advance(1);
            if let Some(data) = line.strip_prefix(DATA_FIELD) {
                return Ok(Some(line.slice_ref(data.trim_ascii())));
            }
        }
        if self.buffer.len() > MAX_LINE_BYTES { Err(LineTooLong) } else { Ok(None) }
    }
}
