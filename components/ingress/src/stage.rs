//! Stages in the life of a process.

/// How far a process is from its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Serves.
    Serving,
    /// Still accepts, but fails its readiness check so that the load balancer looks elsewhere.
    Notice,
    /// Accepts nothing; finishes what it has.
    Draining,
    /// Answers what it still has with an error.
    Ending,
    /// Everything ends now.
    Stopped,
}

impl Stage {
    /// Whether new connections and requests are refused.
    pub fn is_draining(self) -> bool {
        self >= Self::Draining
    }
}
