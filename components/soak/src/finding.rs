//! What a check has found.

use std::fmt;

/// A promise that is checked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Check {
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// A configuration is in force in time.
    Configuration,
    /// Targets see the customer of the key and never the key.
    Customer,
    /// Targets are given no more time than is left.
    Deadline,
    /// A proper request is not turned away for good.
    Denied,
    /// Two processes never order an engine under one fencing number.
    Fencing,
    /// The last copy of a model stays.
    LastCopy,
    /// No engine is told to hold more than it can.
    Memory,
    /// A stop in order cuts no request.
    PlannedStop,
    /// No customer gets more than its rate in any window.
    Rate,
    /// Requests are served again after the last fault.
    Recovery,
    /// A refusal that says "not run" is true.
    Refusal,
    /// Further sends stay within their budget.
    RetryBudget,
    /// A withdrawn key stops working in time.
    Revocation,
    /// A request runs as it was sent, by the service of its route.
    Unchanged,
    /// Answers are whole, and those of the request.
    WholeAnswer,
}

/// A broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Promise.
    pub check: Check,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.check, self.text)
    }
}
