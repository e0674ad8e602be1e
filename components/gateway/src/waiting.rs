//! A request that waits for a copy of its model.

use std::rc::Rc;

use compact_str::CompactString;

use crate::app::App;
use crate::request::CallerRequest;

/// Counts a request as waiting for a copy of its model until it is dropped.
pub(crate) struct WaitingGuard {
    app: Rc<App>,
    model: CompactString,
    /// Version of the engines' software at which the copy must be; any if none.
    software: Option<CompactString>,
}

impl WaitingGuard {
    pub(crate) fn new(
        app: &Rc<App>,
        request: &CallerRequest,
        software: Option<CompactString>,
    ) -> Self {
        let model = request.head.model.clone().unwrap_or_default();
        let guard = Self { app: Rc::clone(app), model, software };
        guard.record(true);
        guard
    }

    fn record(&self, starts: bool) {
        self.app.demand.borrow_mut().record_waiting(&self.model, starts);
        if let Some(software) = &self.software {
            self.app.bound_demand.borrow_mut().record_waiting(&self.model, software, starts);
        }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.record(false);
    }
}
