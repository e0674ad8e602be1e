//! Completeness of a plain target's response.

use std::net::SocketAddr;

use api::{EventBoundary, ResponseFraming, RunEnd, is_event_stream};
use bytes::Bytes;
use calls::WatchedBody;
use http::Response;
use http_body_util::Empty;
use hyper::body::Body;

use crate::plain_client::PlainConnection;

/// Tells whether a response is complete when its body has ended as its framing states.
///
/// The end of the connection may be all that ends a body, and a target that exits closes its
/// connections too; in an event stream, an event that has begun shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseEnd {
    framing: ResponseFraming,
    /// False if the status or the method excludes a body.
    has_body: bool,
    /// None if the response isn't an event stream.
    boundary: Option<EventBoundary>,
}

impl ResponseEnd {
    /// For a response whose body has not been read.
    pub(crate) fn new(response: &Response<WatchedBody>) -> Self {
        let headers = response.headers();
        Self {
            framing: ResponseFraming::decode(headers),
            has_body: !response.body().is_end_stream(),
            boundary: is_event_stream(headers).then(EventBoundary::default),
        }
    }

    /// Takes the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if let Some(boundary) = &mut self.boundary {
            for byte in bytes {
                boundary.push(*byte);
            }
        }
    }

    /// Whether the response of `target` is complete if its body ends here. Opens a connection to the
    /// target if only the end of the connection ended the body.
    pub(crate) async fn is_complete(&self, target: SocketAddr) -> bool {
        if self.boundary.is_some_and(|boundary| boundary.is_inside_event()) {
            return false;
        }
        match self.framing.end(self.has_body) {
            RunEnd::Complete => true,
            RunEnd::CompleteIfAlive => {
                PlainConnection::<Empty<Bytes>>::open(target).await.is_some()
            }
            RunEnd::Truncated => false,
        }
    }
}
