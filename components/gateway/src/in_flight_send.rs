//! A request in flight at a target.

use std::rc::Rc;

use base::Timestamp;
use routing::{DirectPick, SendId, TargetOutcome};

use crate::app::App;

/// An attempt in flight; dropping it removes the request from the target's load.
pub(crate) struct InFlightSend {
    app: Rc<App>,
    /// Chosen target.
    pub pick: DirectPick,
    /// Id of the attempt at the target.
    pub number: SendId,
    /// When it was sent.
    pub sent_at: Timestamp,
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.app.fleet.borrow_mut().record_end(self.pick.key, self.number);
    }
}

impl InFlightSend {
    /// An attempt that starts now.
    pub(crate) const fn new(
        app: Rc<App>,
        pick: DirectPick,
        number: SendId,
        now: Timestamp,
    ) -> Self {
        Self { app, pick, number, sent_at: now }
    }

    /// Records the outcome for the health of the target.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome) {
        let now = self.app.clock.now();
        self.app.fleet.borrow_mut().record_outcome(self.pick.key, outcome, now);
    }

    /// Records the time to the first event of a generation on `model`.
    pub(crate) fn record_first_event(&self, model: &str) {
        let elapsed_ms = self.app.clock.now().since(self.sent_at).as_secs_f64() * 1_000.0;
        self.app.fleet.borrow_mut().record_first_event(&self.pick, model, self.number, elapsed_ms);
    }
}
