//! Changes of quarantines, for logs and the store.

use std::time::Duration;

use wire::Subject;

/// A quarantine that has begun, changed or ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// The subject is in quarantine.
    Begun {
        /// Subject.
        subject: Subject,
        /// Parts without which requests with it are sent.
        companions: Vec<u64>,
        /// Crashes known of it.
        crashes: usize,
        /// Time until a trial is allowed.
        hold: Duration,
        /// Trials that failed before.
        failed_trials: u32,
        /// Whether a request of this gateway was in one of the crashes.
        is_own: bool,
    },
    /// Answers or crashes told the subject from some of its companions: more requests are refused.
    Narrowed {
        /// Subject.
        subject: Subject,
        /// Companions that are left.
        companions: Vec<u64>,
    },
    /// A target wrote an answer on the subject.
    Released {
        /// Subject.
        subject: Subject,
    },
    /// No request with the subject came after the quarantine.
    Expired {
        /// Subject.
        subject: Subject,
    },
}
