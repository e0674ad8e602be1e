//! What the end of a target's body says about a stream.

use api::RunEnd;
use platform::ResponseFraming;

/// State of a stream at the end of a target's body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunState {
    /// What marked the end of the body.
    pub framing: ResponseFraming,
    /// Whether the body ended inside an event.
    pub inside_event: bool,
    /// Whether the target sent a complete event.
    pub has_events: bool,
    /// Whether the caller has an event of the stream.
    pub caller_has_events: bool,
    /// Whether a target before broke off inside the event that the caller lacks next.
    pub next_event_begun: bool,
}

impl RunState {
    /// Judges the end of a body that the target did not reset.
    pub const fn end(self) -> RunEnd {
        if self.inside_event {
            return RunEnd::Truncated;
        }
        match self.framing {
            ResponseFraming::Chunked | ResponseFraming::Length => RunEnd::Complete,
            ResponseFraming::ConnectionEnd => {
                let lacks_events = !self.caller_has_events || self.next_event_begun;
                if lacks_events && !self.has_events {
                    RunEnd::Truncated
                } else {
                    RunEnd::CompleteIfAlive
                }
            }
        }
    }
}
