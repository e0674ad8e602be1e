//! Requests whose callers leave before the head of a response.

use std::rc::Rc;

use base::Timestamp;
use compact_str::CompactString;
use telemetry::quote;

use crate::app::App;

/// A request without a response; logs its end if it is dropped in this state, as the HTTP server does
/// when the caller disconnects.
pub(crate) struct UnansweredRequest {
    app: Rc<App>,
    id: CompactString,
    arrived: Timestamp,
    is_answered: bool,
}

impl UnansweredRequest {
    /// A request that arrived at `arrived`.
    pub(crate) const fn new(app: Rc<App>, id: CompactString, arrived: Timestamp) -> Self {
        Self { app, id, arrived, is_answered: false }
    }

    /// Ends the watch: the response has a log line of its own.
    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if !self.is_answered {
            log::info!(
                "event=request_abandoned request_id={} after_ms={}",
                quote(&self.id),
                self.app.clock.now().since(self.arrived).as_millis()
            );
        }
    }
}
