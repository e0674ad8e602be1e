//! Classes of requests in metrics.

/// Class of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestClass {
    /// A call to a plain service.
    Plain,
    /// A generation whose answer is streamed.
    Streamed,
    /// A generation whose answer comes whole.
    Whole,
}

impl RequestClass {
    /// The class as a label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Streamed => "streamed",
            Self::Whole => "whole",
        }
    }
}
