//! Ends requests in progress from outside.

use std::cell::Cell;

use api::ErrorCode;
use tokio::sync::Notify;

/// Tells one request that it must end, and why.
#[derive(Debug, Default)]
pub(crate) struct CancelSignal {
    reason: Cell<Option<ErrorCode>>,
    notify: Notify,
}

impl CancelSignal {
    /// Ends the request; the first reason stays.
    pub(crate) fn cancel(&self, reason: ErrorCode) {
        if self.reason.get().is_none() {
            self.reason.set(Some(reason));
        }
        self.notify.notify_waiters();
    }

    /// Waits until the request must end.
    pub(crate) async fn cancelled(&self) -> ErrorCode {
        loop {
            // Created before the check, so that no notice falls between check and wait.
            let notified = self.notify.notified();
            if let Some(reason) = self.reason.get() {
                return reason;
            }
            notified.await;
        }
    }
}
