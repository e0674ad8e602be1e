//! Boundaries between the events of a server-sent event stream.

use http::HeaderMap;
use http::header::CONTENT_TYPE;

/// Whether a response with these headers is a server-sent event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Tracks whether the bytes of an event stream so far end inside an event.
///
/// An empty line ends an event; lines end with `\n` or `\r\n`.
#[derive(Clone, Copy, Debug)]
pub struct EventBoundary {
    inside_event: bool,
    line_is_empty: bool,
}

impl Default for EventBoundary {
    fn default() -> Self {
        Self { inside_event: false, line_is_empty: true }
    }
}

impl EventBoundary {
    /// Takes the next byte; returns true if it completes an event.
    pub const fn push(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => {
                let ends = self.inside_event && self.line_is_empty;
                if ends {
                    self.inside_event = false;
                }
                self.line_is_empty = true;
                ends
            }
            b'\r' => false,
            _ => {
                self.inside_event = true;
                self.line_is_empty = false;
                false
            }
        }
    }

    /// Whether an event has begun that isn't complete.
    pub const fn is_inside_event(&self) -> bool {
        self.inside_event
    }
}
