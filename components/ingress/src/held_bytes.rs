//! Memory of complete bodies and of responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;

/// Bytes that count against the budget until their last copy is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Vec<u8>,
    counted: u64,
    // `Bytes` requires owners that can be sent to other threads.
    total: Arc<AtomicU64>,
}

impl HeldBytes {
    /// Counts the memory of `bytes` in `total`.
    pub(crate) fn new(bytes: Vec<u8>, total: &Arc<AtomicU64>) -> Self {
        let counted = bytes.capacity() as u64;
        total.fetch_add(counted, Ordering::Relaxed);
        Self { bytes, counted, total: Arc::clone(total) }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Grows the memory to `capacity` bytes.
    pub(crate) fn grow(&mut self, capacity: usize) {
        self.bytes.reserve_exact(capacity.saturating_sub(self.bytes.len()));
        let counted = self.bytes.capacity() as u64;
        self.total.fetch_add(counted - self.counted, Ordering::Relaxed);
        self.counted = counted;
    }

    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
