//! Completeness of a plain target's response.

use api::{EventBoundary, is_event_stream};
use http::HeaderMap;

/// Tells whether a response is complete when its body has ended as its framing states.
///
/// The end of the connection may be all that ends a body, and a target that exits closes its
/// connections too; in an event stream, an event that has begun shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseEnd {
    /// None if the response isn't an event stream.
    boundary: Option<EventBoundary>,
}

impl ResponseEnd {
    /// For a response with these headers.
    pub(crate) fn new(headers: &HeaderMap) -> Self {
        Self { boundary: is_event_stream(headers).then(EventBoundary::default) }
    }

    /// Takes the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if let Some(boundary) = &mut self.boundary {
            for byte in bytes {
                boundary.push(*byte);
            }
        }
    }

    /// Whether the response is complete if its body ends here.
    pub(crate) fn is_complete(&self) -> bool {
        self.boundary.is_none_or(|boundary| !boundary.is_inside_event())
    }
}
