//! Counts of what is in progress.

use std::cell::Cell;
use std::rc::Rc;

/// Counts a connection or request while it lives.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Counts one more until this is dropped.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
