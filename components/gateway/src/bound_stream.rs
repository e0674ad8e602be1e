//! A stream that may go on only at one version of the targets' software.

use std::rc::Rc;

use compact_str::CompactString;

use crate::app::App;

/// Counts a stream as bound to a version until it is dropped.
pub(crate) struct BoundStreamGuard {
    app: Rc<App>,
    model: CompactString,
    software: CompactString,
}

impl BoundStreamGuard {
    pub(crate) fn new(app: &Rc<App>, model: &str, software: &str) -> Self {
        app.bound_demand.borrow_mut().record_begin(model, software);
        Self { app: Rc::clone(app), model: model.into(), software: software.into() }
    }

    /// Returns the version.
    pub(crate) const fn software(&self) -> &CompactString {
        &self.software
    }
}

impl Drop for BoundStreamGuard {
    fn drop(&mut self) {
        let now = self.app.clock.now();
        self.app.bound_demand.borrow_mut().record_end(&self.model, &self.software, now);
    }
}
