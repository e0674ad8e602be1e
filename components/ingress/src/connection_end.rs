//! How a caller's connection was closed, and what was lost with it.

/// Why a caller's connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseCause {
    /// The connection broke, or the caller left during a request.
    Broken,
    /// The budget closed it for others.
    Budget,
    /// The process drains.
    Drain,
    /// The head of a request was rejected.
    Fault,
    /// The handler of a request asked for it.
    Handler,
    /// The HTTP server closed it: the caller left, its idle timeout has passed, or a response
    /// announced the end.
    Server,
}

impl CloseCause {
    pub(crate) fn of(result: Result<(), hyper::Error>) -> Self {
        match result {
            Ok(()) => Self::Server,
            Err(error) => {
                log::debug!("event=caller_connection_ended error=\"{error}\"");
                Self::Broken
            }
        }
    }

    /// Value for log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Budget => "budget",
            Self::Drain => "drain",
            Self::Fault => "fault",
            Self::Handler => "handler",
            Self::Server => "server",
        }
    }
}

/// End of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionEnd {
    /// Why it was closed.
    pub cause: CloseCause,
    /// Bytes that had arrived when it was closed and were not passed on to the handler.
    pub unread_bytes: usize,
    /// Bytes that arrived after its sending side was closed.
    pub late_bytes: usize,
}

impl ConnectionEnd {
    /// Logs an end with which bytes of a request may have been lost.
    pub fn log(&self) {
        if self.unread_bytes > 0 || self.late_bytes > 0 {
            log::info!(
                "event=caller_bytes_dropped cause={} unread_bytes={} late_bytes={}",
                self.cause.as_str(),
                self.unread_bytes,
                self.late_bytes
            );
        }
    }
}
