//! Stages of a graceful shutdown.

/// Stage of a process, from serving to stopped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownStage {
    /// Normal operation.
    Serving,
    /// Still accepts requests, but fails the readiness check so that the load balancer stops
    /// sending new ones.
    NotReady,
    /// Completes the requests in progress and takes only those that end soon.
    Draining,
    /// Also accepts no connections, so that each one has time for an answer.
    Closing,
    /// Answers the remaining requests with an error.
    Aborting,
    /// All remaining work is aborted.
    Stopped,
}

impl ShutdownStage {
    /// Whether an entry process accepts no connections, and a gateway only requests that end soon.
    pub fn is_draining(self) -> bool {
        self >= Self::Draining
    }
}
