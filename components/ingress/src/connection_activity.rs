//! When a connection of a draining process may be closed.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time without a request after which a connection is closed while the process drains. A close
/// crosses requests that are on their way: callers that use a connection often have sent one by
/// then, whose response announces the end. A longer one keeps the process from being replaced.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What a connection is doing, for the end of the process.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    is_draining: Cell<bool>,
    has_request: Cell<bool>,
    /// Whether the HTTP server has taken the whole response to the last request.
    has_whole_response: Cell<bool>,
    idle_since: Cell<Instant>,
}

impl ConnectionActivity {
    /// An idle connection.
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            is_draining: Cell::new(false),
            has_request: Cell::new(false),
            has_whole_response: Cell::new(false),
            idle_since: Cell::new(now),
        }
    }

    /// Whether the process drains.
    pub(crate) const fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// The process begins to drain; idle time before it doesn't count.
    pub(crate) fn start_drain(&self, now: Instant) {
        self.is_draining.set(true);
        self.idle_since.set(now);
    }

    /// A request is in progress.
    pub(crate) fn start_request(&self) {
        self.has_request.set(true);
        self.has_whole_response.set(false);
    }

    /// The HTTP server has taken the whole response. It may hold most of it for a caller that reads
    /// slowly, so the request ends with the next flush.
    pub(crate) fn finish_response(&self) {
        self.has_whole_response.set(true);
    }

    /// All that the HTTP server had to send was written to the socket.
    pub(crate) fn record_flush(&self, now: Instant) {
        if self.has_whole_response.replace(false) {
            self.finish_request(now);
        }
    }

    /// No request is in progress.
    pub(crate) fn finish_request(&self, now: Instant) {
        self.has_request.set(false);
        self.idle_since.set(now);
    }

    /// When the connection may have become unused.
    pub(crate) fn next_check(&self, now: Instant) -> Instant {
        let since = if self.has_request.get() { now } else { self.idle_since.get() };
        since + DRAIN_IDLE_TIMEOUT
    }

    /// Whether no request came for so long that the connection may be closed.
    pub(crate) fn is_unused(&self, now: Instant) -> bool {
        !self.has_request.get() && self.next_check(now) <= now
    }
}
