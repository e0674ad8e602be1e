//! Closing of one connection after the request in progress.

use std::cell::Cell;

use tokio::sync::Notify;

/// Lets a request handler close its connection after the response is sent.
#[derive(Debug, Default)]
pub struct ConnectionCloser {
    closing: Cell<bool>,
    notify: Notify,
}

impl ConnectionCloser {
    /// Closes the connection after the request in progress.
    pub fn close(&self) {
        self.closing.set(true);
        self.notify.notify_one();
    }

    pub(crate) async fn closed(&self) {
        while !self.closing.get() {
            self.notify.notified().await;
        }
    }
}
