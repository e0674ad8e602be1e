//! Stages in the life of a process.

/// How far a process is from its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownStage {
    /// Serves.
    Serving,
    /// Still accepts, but fails its readiness check so that the load balancer looks elsewhere.
    NotReady,
    /// Accepts nothing; finishes what it has.
    Draining,
    /// Answers what it still has with an error.
    Aborting,
    /// Everything ends now.
    Stopped,
}

impl ShutdownStage {
    /// Whether new connections and requests are refused.
    pub fn is_draining(self) -> bool {
        self >= Self::Draining
    }
}
