//! Whether the response of a target is complete.

/// Conclusion from the end of a target's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The response is complete.
    Complete,
    /// The response is complete if the target did not exit: the kernel closes the connections of a
    /// process that exits in the same way.
    CompleteIfAlive,
    /// The target broke off.
    Truncated,
}
