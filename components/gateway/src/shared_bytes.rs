//! Memory that is shared by many holders.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that holders reserve, up to a limit for all of them together.
#[derive(Debug)]
pub(crate) struct SharedBytes {
    used: Rc<Cell<usize>>,
    limit: usize,
}

/// Bytes that are reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct ReservedBytes {
    used: Rc<Cell<usize>>,
    limit: usize,
    bytes: usize,
}

impl SharedBytes {
    /// Nothing is reserved.
    pub(crate) fn new(limit: usize) -> Self {
        Self { used: Rc::default(), limit }
    }

    /// A reservation without bytes.
    pub(crate) fn empty(&self) -> ReservedBytes {
        ReservedBytes { used: Rc::clone(&self.used), limit: self.limit, bytes: 0 }
    }

    /// Reserves `bytes`; none if others have reserved too many.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<ReservedBytes> {
        let mut reserved = self.empty();
        reserved.resize(bytes).then_some(reserved)
    }
}

impl ReservedBytes {
    /// Changes the reservation to `bytes`; returns false, without a change, if others have reserved too
    /// many.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let used = (self.used.get() - self.bytes).saturating_add(bytes);
        if used > self.limit {
            return false;
        }
        self.used.set(used);
        self.bytes = bytes;
        true
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}
