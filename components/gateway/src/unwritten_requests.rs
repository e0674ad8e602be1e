//! Requests whose response was read before their body was written.

use std::cell::Cell;
use std::rc::Rc;

/// Most bytes of such requests at all targets together: two bodies of the usual largest size, a
/// fifteenth of the memory of the smallest gateways, 120 MB.
const MAX_UNWRITTEN_BYTES: usize = 8 << 20;
/// Bytes that a connection counts besides the body, so that their number is bounded as well.
const CONNECTION_BYTES: usize = 16 << 10;

/// Bytes of the requests that are still being written after their response was read.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenRequests {
    bytes: Rc<Cell<usize>>,
}

/// A request that counts until this is dropped.
#[derive(Debug)]
pub(crate) struct UnwrittenRequest {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl UnwrittenRequests {
    /// Counts a request with a body of `body_bytes`; none if there are too many bytes already.
    pub(crate) fn add(&self, body_bytes: usize) -> Option<UnwrittenRequest> {
        let bytes = body_bytes.saturating_add(CONNECTION_BYTES);
        let total = self.bytes.get().saturating_add(bytes);
        if total > MAX_UNWRITTEN_BYTES {
            return None;
        }
        self.bytes.set(total);
        Some(UnwrittenRequest { total: Rc::clone(&self.bytes), bytes })
    }
}

impl Drop for UnwrittenRequest {
    fn drop(&mut self) {
        self.total.set(self.total.get().saturating_sub(self.bytes));
    }
}
