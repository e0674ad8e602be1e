//! A request that waits for a copy of its model.

use std::rc::Rc;

use compact_str::CompactString;

use crate::app::App;
use crate::request::CallerRequest;

/// Counts a request as waiting for a copy of its model until it is dropped.
pub(crate) struct WaitingGuard {
    app: Rc<App>,
    model: CompactString,
}

impl WaitingGuard {
    pub(crate) fn new(app: &Rc<App>, request: &CallerRequest) -> Self {
        let model = request.head.model.clone().unwrap_or_default();
        app.demand.borrow_mut().record_waiting(&model, true);
        Self { app: Rc::clone(app), model }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.app.demand.borrow_mut().record_waiting(&self.model, false);
    }
}
