//! Refusal of a request.

use std::time::Duration;

use wire::Subject;

/// A request that must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Subject in quarantine.
    pub subject: Subject,
    /// Time until a trial is allowed.
    pub remaining: Duration,
}
