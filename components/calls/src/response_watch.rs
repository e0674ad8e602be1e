//! Bounds on what a server sends beside the parts of its response.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::ext::on_informational;
use tokio::sync::Notify;

use crate::target_io::READ_BUFFER_BYTES;

/// Most interim responses to a request. Servers send a few while they work on it.
const MAX_INTERIM_RESPONSES: u32 = 64;
/// Most bytes that are received without a head or a part of a body. The HTTP client reads ahead by one
/// buffer and one part; what is more is framing, such as the digits of a chunk size.
const MAX_UNREAD_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// Most bytes of a request that reach the server at once: ten segments, the initial congestion window
/// (RFC 6928). A server that closes its socket has all of them, and then resets the connection or had
/// read them.
const FIRST_FLIGHT_BYTES: usize = 14_600;

/// Counts what the server of a connection sends beside the parts of its response to one request at a time.
/// The HTTP client skips it without end and occupies its thread, if the server sends as fast.
#[derive(Clone, Debug, Default)]
pub struct ResponseWatch {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    interim: AtomicU32,
    exceeded: Notify,
    unread_bytes: AtomicUsize,
    /// Bytes that were written since the current request was given to the connection.
    sent_bytes: AtomicUsize,
    /// Whether a request was given to the connection whose response has not been read.
    is_exchanging: AtomicBool,
}

impl ResponseWatch {
    /// Counts interim responses to `request`, from zero.
    pub fn watch<B>(&self, request: &mut Request<B>) {
        let shared = Arc::clone(&self.shared);
        shared.interim.store(0, Ordering::Relaxed);
        shared.unread_bytes.store(0, Ordering::Relaxed);
        shared.sent_bytes.store(0, Ordering::Relaxed);
        shared.is_exchanging.store(true, Ordering::Relaxed);
        on_informational(request, move |_| {
            let before = shared.interim.fetch_add(1, Ordering::Relaxed);
            if before == MAX_INTERIM_RESPONSES {
                shared.exceeded.notify_one();
            }
        });
    }

    /// Counts what is received between the parts of a response's body.
    pub fn watch_body(&self, response: Response<Incoming>) -> Response<WatchedBody> {
        self.shared.unread_bytes.store(0, Ordering::Relaxed);
        response.map(|body| WatchedBody { body, shared: Arc::clone(&self.shared) })
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.shared.unread_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        self.shared.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Whether a server that closes its socket now may do so before it has received the request, and
    /// while its response is read.
    pub(crate) fn may_lack_request(&self) -> bool {
        self.shared.is_exchanging.load(Ordering::Relaxed)
            && self.shared.sent_bytes.load(Ordering::Relaxed) > FIRST_FLIGHT_BYTES
    }

    /// Whether there is more than servers send.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.shared.interim.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
            || self.shared.unread_bytes.load(Ordering::Relaxed) > MAX_UNREAD_BYTES
    }

    /// Waits until there are more interim responses than servers send.
    pub async fn interim_exceeded(&self) {
        self.shared.exceeded.notified().await;
    }
}

/// Body of a response whose parts show that the server's bytes are read.
#[derive(Debug)]
pub struct WatchedBody {
    body: Incoming,
    shared: Arc<Shared>,
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.shared.is_exchanging.store(false, Ordering::Relaxed);
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if frame.is_ready() {
            self.shared.unread_bytes.store(0, Ordering::Relaxed);
        }
        if matches!(frame, Poll::Ready(None)) {
            self.shared.is_exchanging.store(false, Ordering::Relaxed);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
